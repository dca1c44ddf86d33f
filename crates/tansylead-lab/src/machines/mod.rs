//! Stand-in for the platform's list of machines that are live and leaving. It shows the list as it
//! was a settable time ago.

pub mod client;
pub mod history;
pub mod server;

pub use client::MachinesControl;
pub use server::MachinesFaults;

use crate::standin;
use clap::{ArgMatches, Command};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("machines")
        .about("Run the stand-in of the platform's machine list")
        .arg(standin::listen_argument())
        .arg(standin::exit_with_parent_argument())
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    standin::serve_until_told(matches, server::serve)
}
