//! `tansylead explain`: from a request's id to its cause, by the logs alone.

use crate::commands::Subcommand;
use crate::exit_code::ExitStatus;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use std::path::{Path, PathBuf};
use tansylead_gateway::explain::{DaemonLog, explain};

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("explain")
        .about("Tells what gateway daemons' logs say of one request, and its likely cause")
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("Id of the request, as its caller sent it")
                .required(true),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .help("Logs of daemons; a daemon is named by its file")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .num_args(1..)
                .required(true),
        )
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let request = matches
        .get_one::<String>("request")
        .ok_or_else(|| eyre::eyre!("no request id given"))?;
    let paths = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let logs = paths
        .map(|path| read(path))
        .collect::<eyre::Result<Vec<_>>>()?;
    let explanation = explain(request, &logs);
    output!("{explanation}");
    if explanation.stories.is_empty() {
        return Ok(ExitStatus::Failure);
    }
    Ok(ExitStatus::Success)
}

fn read(path: &Path) -> eyre::Result<DaemonLog> {
    let bytes = std::fs::read(path).wrap_err_with(|| format!("read log {}", path.display()))?;
    let name = path.file_stem().unwrap_or(path.as_os_str());
    Ok(DaemonLog {
        name: name.to_string_lossy().into_owned(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
