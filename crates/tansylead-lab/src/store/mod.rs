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
use eyre::WrapErr;
use tokio::net::TcpListener;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("store")
        .about("Run the stand-in of the platform's object store")
        .arg(standin::listen_argument())
        .arg(standin::exit_with_parent_argument())
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let address = standin::listen_address(matches)?;
    standin::run_until_told(matches, |stop| async move {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("listen on {address}"))?;
        standin::announce(listener.local_addr()?)?;
        server::serve(listener, stop).await;
        Ok(())
    })
}
