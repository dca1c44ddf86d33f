//! Stand-in for the platform's object API: versioned objects, compare-and-set, list and watch,
//! with switches for outage, slowness, lost answers and older states.

pub mod client;
pub mod faults;
pub mod objects;
pub mod readers;
pub mod server;

pub use client::{StoreControl, seed_objects};
pub use faults::{OutageMode, StoreFaults};
pub use readers::ReadCounts;

use crate::standin;
use clap::{ArgMatches, Command};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("store")
        .about("Run the stand-in of the platform's object store")
        .arg(standin::listen_argument())
        .arg(standin::exit_with_parent_argument())
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    standin::serve_until_told(matches, server::serve)
}
