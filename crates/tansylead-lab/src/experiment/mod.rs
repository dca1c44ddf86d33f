//! Side-by-side experiments on tail latency, coverage and extra load.

pub mod figures;
pub mod file;
pub mod plot;
pub mod statistics;
pub mod usage;

use clap::{Arg, ArgMatches, Command};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("experiment")
        .about("Run the experiments described in a TOML file")
        .arg(Arg::new("file").required(true).value_name("FILE"))
}

/// Carries it out.
pub fn run(_matches: &ArgMatches) -> eyre::Result<()> {
    eyre::bail!("the experiment command is not built yet")
}
