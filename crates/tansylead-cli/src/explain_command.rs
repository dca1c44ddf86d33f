//! `tansylead explain`: the likely cause of one request's outcome, or a summary of all requests that
//! ended badly, from the logs alone.

use crate::commands::Subcommand;
use crate::exit_code::ExitStatus;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use std::path::{Path, PathBuf};
use tansylead_gateway::explain::{DaemonLog, explain, summarize};

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("explain")
        .about("Tells what gateway daemons' logs say of one request, and its likely cause")
        .arg(
            Arg::new("summary")
                .long("summary")
                .help("Sum up what all requests that ended badly waited for; takes no REQUEST-ID")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("Id of the request, as its caller sent it")
                .required_unless_present("summary"),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .help("Logs of daemons; a daemon is named by its file")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .num_args(1..)
                .required_unless_present("summary"),
        )
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let first = matches.get_one::<String>("request");
    let paths = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    if matches.get_flag("summary") {
        // With `--summary`, the first positional argument is a log too.
        let first = first.map(PathBuf::from);
        let logs = read_all(first.iter().chain(paths))?;
        if logs.is_empty() {
            return Err(eyre::eyre!("no log given"));
        }
        output!("{}", summarize(&logs));
        return Ok(ExitStatus::Success);
    }
    let request = first.ok_or_else(|| eyre::eyre!("no request id given"))?;
    let explanation = explain(request, &read_all(paths)?);
    output!("{explanation}");
    if explanation.histories.is_empty() {
        return Ok(ExitStatus::Failure);
    }
    Ok(ExitStatus::Success)
}

fn read_all<'a>(paths: impl Iterator<Item = &'a PathBuf>) -> eyre::Result<Vec<DaemonLog>> {
    paths.map(|path| read(path)).collect()
}

fn read(path: &Path) -> eyre::Result<DaemonLog> {
    let bytes = std::fs::read(path).wrap_err_with(|| format!("read log {}", path.display()))?;
    let name = path.file_stem().unwrap_or(path.as_os_str());
    Ok(DaemonLog {
        name: name.to_string_lossy().into_owned(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
