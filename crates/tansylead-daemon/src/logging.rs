//! Logging. Log lines are for changes of state only; frequent events are counted in metrics.

use eyre::WrapErr;
use std::path::Path;
use std::time::SystemTime;

/// Sends log lines at `level` and above to a file, or to standard error.
pub fn initialize(level: log::LevelFilter, file: Option<&Path>) -> eyre::Result<()> {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {:5} {}: {message}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
            ));
        })
        .level(level);
    let dispatch = match file {
        None => dispatch.chain(std::io::stderr()),
        Some(path) => {
            let opened = fern::log_file(path);
            dispatch.chain(opened.wrap_err_with(|| format!("open log file {}", path.display()))?)
        }
    };
    dispatch.apply().wrap_err("install the logger")
}
