//! Stand-ins for the platform and the back ends, and the tools that exercise daemons against them.
//!
//! Each subcommand of `tansylead-lab` is one module with two functions: `command()` describes it
//! to clap and `run(matches)` carries it out. [`SUBCOMMANDS`] is the only place that lists them.

pub mod caller;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod http;
pub mod leaf;
pub mod load;
pub mod logging;
pub mod machines;
pub mod process;
pub mod simulation;
pub mod standin;
pub mod store;
pub mod wall_clock;

use clap::{ArgMatches, Command};

/// One subcommand of the program.
pub struct Subcommand {
    /// Describes the subcommand; its name is the word on the command line.
    pub command: fn() -> Command,
    /// Carries it out and returns when it is over. An error makes the exit code non-zero.
    pub run: fn(&ArgMatches) -> eyre::Result<()>,
}

/// All subcommands, in the order of the help text.
pub const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        command: leaf::command,
        run: leaf::run,
    },
    Subcommand {
        command: store::command,
        run: store::run,
    },
    Subcommand {
        command: machines::command,
        run: machines::run,
    },
    Subcommand {
        command: process::daemon_command::command,
        run: process::daemon_command::run,
    },
    Subcommand {
        command: deployment::seed::command,
        run: deployment::seed::run,
    },
    Subcommand {
        command: demo::command,
        run: demo::run,
    },
    Subcommand {
        command: experiment::command,
        run: experiment::run,
    },
    Subcommand {
        command: simulation::command,
        run: simulation::run,
    },
];

/// The command line of the whole program.
pub fn command() -> Command {
    let program = Command::new("tansylead-lab")
        .about("Stand-ins, sample deployments, demo and experiments for tansylead")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true);
    SUBCOMMANDS.iter().fold(program, |program, subcommand| {
        program.subcommand((subcommand.command)())
    })
}

/// Runs the subcommand that the command line names.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let (name, arguments) = matches
        .subcommand()
        .ok_or_else(|| eyre::eyre!("no subcommand given"))?;
    let subcommand = SUBCOMMANDS
        .iter()
        .find(|subcommand| (subcommand.command)().get_name() == name)
        .ok_or_else(|| eyre::eyre!("unknown subcommand `{name}`"))?;
    (subcommand.run)(arguments)
}
