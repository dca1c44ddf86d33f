//! Registry of the subcommands. To add one, write a module and add an entry to [`SUBCOMMANDS`].

use crate::exit_code::ExitStatus;
use crate::{
    check_command, explain_command, gateway_command, query_command, serve_command, status_command,
    table_commands,
};
use clap::{ArgMatches, Command};

/// One subcommand.
pub struct Subcommand {
    /// Its arguments and help.
    pub command: fn() -> Command,
    /// Runs it.
    pub run: fn(&ArgMatches) -> eyre::Result<ExitStatus>,
}

const SUBCOMMANDS: &[Subcommand] = &[
    serve_command::SUBCOMMAND,
    check_command::SUBCOMMAND,
    query_command::SUBCOMMAND,
    status_command::SUBCOMMAND,
    table_commands::SUBCOMMAND,
    gateway_command::SUBCOMMAND,
    explain_command::SUBCOMMAND,
];

const EXAMPLES: &str = "\
Examples:
  tansylead serve --config /etc/tansylead.toml
  tansylead serve --config base.toml --place bangkok --zone bangkok-a --caller-address 10.0.0.7:8080
  tansylead check /etc/tansylead.toml
  tansylead query screening '{\"tenant\": \"T-1024\"}' --daemon 10.0.0.7:8080 --deadline-ms 400
  tansylead status --daemon 10.0.0.7:8080
  tansylead gateway --settings gateway.toml --routes routes.toml
  tansylead explain 9c41d07be2a35f68 daemon-1.log daemon-2.log

Exit codes:
  0 done                        5 query: not run, safe to try again
  1 failed                      6 query: may have run
  2 wrong usage                 7 serve: stopped with requests still open
  3 settings cannot be used     8 no answer from the daemon or the store
  4 query: partial answer       9 status: the daemon is not ready
  10 to 14: see `tansylead table --help`";

/// The definition of the whole command line.
pub fn program() -> Command {
    let subcommands = SUBCOMMANDS.iter().map(|subcommand| (subcommand.command)());
    Command::new("tansylead")
        .about("Query tier between callers and back ends that hold shards")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXAMPLES)
        .subcommands(subcommands)
}

/// Runs the chosen subcommand.
pub fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let (name, arguments) = matches
        .subcommand()
        .ok_or_else(|| eyre::eyre!("no subcommand given"))?;
    let chosen = SUBCOMMANDS
        .iter()
        .find(|subcommand| (subcommand.command)().get_name() == name)
        .ok_or_else(|| eyre::eyre!("unknown subcommand {name}"))?;
    (chosen.run)(arguments)
}
