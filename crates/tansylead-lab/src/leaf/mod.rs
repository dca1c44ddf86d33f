//! Stand-ins for back ends: many leafs in one process, each on a port of its own, speaking exactly
//! the leaf protocol of `tansylead-types`.

pub mod control;
pub mod counters;
pub mod execution_log;
pub mod faults;
pub mod health;
pub mod latency;
pub mod result;
pub mod server;
pub mod spec;
pub mod standin_leaf;

pub use control::{HoldingsRequest, LeafControl, LeafStatus};
pub use counters::LeafCounters;
pub use execution_log::{
    ExecutionEnd, ExecutionEntry, ExecutionEvent, ExecutionPage, ExecutionStart,
};
pub use faults::{DrainMode, HealthMode, LeafFaults, LeafFaultsRequest};
pub use spec::{ColdStartSpec, Holding, LatencySpec, LeafBehaviour, LeafProcessSpec, LeafSpec};

use crate::standin;
use clap::{Arg, ArgMatches, Command};
use execution_log::ExecutionLog;
use eyre::WrapErr;
use standin_leaf::StandInLeaf;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("leaf")
        .about("Run stand-in leafs, each on a port of its own")
        .arg(
            Arg::new("spec")
                .required(true)
                .value_name("FILE")
                .value_parser(clap::value_parser!(PathBuf))
                .help("JSON file that describes the leafs"),
        )
        .arg(standin::listen_argument().help("Address of the control interface"))
        .arg(standin::exit_with_parent_argument())
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let address = standin::listen_address(matches)?;
    let file = matches
        .get_one::<PathBuf>("spec")
        .ok_or_else(|| eyre::eyre!("no file given"))?;
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("read leafs from {}", file.display()))?;
    let spec: LeafProcessSpec = serde_json::from_str(&text)
        .wrap_err_with(|| format!("read leafs from {}", file.display()))?;
    standin::run_until_told(matches, |stop| async move {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("listen on {address}"))?;
        let control_address = listener.local_addr()?;
        let process = start_leafs(spec, &stop).await?;
        standin::announce(control_address)?;
        control::serve(listener, process.leafs, process.log, stop).await;
        Ok(())
    })
}

/// Leafs that run in this process, and what they log.
pub struct RunningLeafs {
    /// Leafs.
    pub leafs: Arc<Vec<Arc<StandInLeaf>>>,
    /// Their common execution log.
    pub log: Arc<ExecutionLog>,
}

/// Starts leafs on the current runtime; they end when the token is cancelled.
pub async fn start_leafs(
    spec: LeafProcessSpec,
    stop: &CancellationToken,
) -> eyre::Result<RunningLeafs> {
    let log = Arc::new(ExecutionLog::new(spec.execution_log));
    let mut leafs = Vec::with_capacity(spec.leafs.len());
    for leaf_spec in spec.leafs {
        let listener = TcpListener::bind(leaf_spec.address)
            .await
            .wrap_err_with(|| {
                format!("leaf {}: listen on {}", leaf_spec.leaf, leaf_spec.address)
            })?;
        let address = listener.local_addr()?;
        let seed = xxh3_64_with_seed(leaf_spec.leaf.as_str().as_bytes(), spec.seed);
        let leaf = Arc::new(StandInLeaf::new(leaf_spec, address, seed, Arc::clone(&log)));
        leafs.push(Arc::clone(&leaf));
        tokio::spawn(server::run_leaf(leaf, listener, stop.clone()));
    }
    Ok(RunningLeafs {
        leafs: Arc::new(leafs),
        log,
    })
}
