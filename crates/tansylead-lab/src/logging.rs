//! Log lines of the lab's own processes, on standard error.

use log::LevelFilter;

/// Starts logging; a second call is ignored.
pub fn init(level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{time} {} {message}", record.level()));
        })
        .level(level)
        .chain(std::io::stderr());
    // Only a logger that is already set makes this fail, and then log lines go there.
    let _ = dispatch.apply();
}
