//! One daemon: starts its parts and stops them in order.

use crate::assembly::{self, Assembly};
use crate::claims::Claims;
use crate::cluster::ClusterHandle;
use crate::state::DaemonState;
use crate::tuning::Tuning;
use eyre::WrapErr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::Settings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// Capacity of the queue of stop requests.
const STOP_REQUEST_CAPACITY: usize = 4;
/// Time allowed for the last packets to peers.
const EXIT_LIMIT: Duration = Duration::from_millis(500);

/// Period of checking whether the claims are handed over.
const HANDOVER_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// How a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainResult {
    /// All open queries were answered.
    Clean,
    /// The drain limit passed, or a second request to stop came, with queries still open.
    Cut {
        /// Queries that were open.
        open_queries: i64,
    },
}

/// A running daemon. Dropping it ends all its tasks at once.
#[derive(Debug)]
pub struct Daemon {
    state: Arc<DaemonState>,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    cluster: ClusterHandle,
    claims: Arc<Claims>,
    handover_limit: Duration,
    drain: CancellationToken,
    drain_limit: Duration,
    server: AbortOnDropHandle<()>,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Binds the addresses and starts all tasks.
    pub async fn start(settings: Settings, tuning: Tuning) -> eyre::Result<Self> {
        let drain_limit = Duration::from_millis(settings.timing.drain_limit_millis);
        let handover_limit = tuning.claim_handover_limit;
        let Assembly {
            state,
            cluster,
            claims,
            drain,
            server,
            peer_address,
            tasks,
        } = assembly::assemble(settings, tuning).await?;
        let caller_address = server.local_address()?;
        let server = AbortOnDropHandle::new(tokio::spawn(server.run(drain.clone())));
        log::info!("listening for callers on {caller_address}, for peers on {peer_address}");
        Ok(Self {
            state,
            caller_address,
            peer_address,
            cluster,
            claims,
            handover_limit,
            drain,
            drain_limit,
            server,
            tasks,
        })
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address for other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Shared state.
    pub fn state(&self) -> &Arc<DaemonState> {
        &self.state
    }

    /// Waits until one of the daemon's tasks ends, which happens only on a fault.
    async fn wait_for_fault(&mut self) -> eyre::Report {
        match self.tasks.join_next().await {
            Some(Err(error)) => eyre::eyre!("a task of the daemon ended: {error}"),
            Some(Ok(())) | None => eyre::eyre!("a task of the daemon ended"),
        }
    }

    /// Planned stop: reports not ready and leaving from now on, answers open queries and those that
    /// still arrive, then ends. Completion of `abort` ends it at once.
    pub async fn drain(mut self, abort: impl Future<Output = ()>) -> DrainResult {
        self.state.set_draining();
        self.cluster.leave();
        self.drain.cancel();
        log::info!("planned stop: draining");
        let drain_limit = self.drain_limit;
        let cause = tokio::select! {
            () = self.wait_until_drained() => None,
            () = tokio::time::sleep(drain_limit) => Some("the drain limit passed"),
            () = abort => Some("a second request to stop came"),
        };
        let result = match cause {
            None => {
                log::info!("planned stop: all open queries were answered");
                DrainResult::Clean
            }
            Some(cause) => {
                let open_queries = self.state.queries_in_progress();
                log::warn!("planned stop: {cause} with {open_queries} queries open");
                match open_queries {
                    0 => DrainResult::Clean,
                    _ => DrainResult::Cut { open_queries },
                }
            }
        };
        let _ = tokio::time::timeout(EXIT_LIMIT, self.cluster.exit()).await;
        result
    }
}

impl Daemon {
    /// Waits until all open queries are answered, and then, up to the handover limit, until others
    /// hold this daemon's claims.
    async fn wait_until_drained(&mut self) {
        let _ = (&mut self.server).await;
        let handover = async {
            while self.claims.is_needed() && self.state.has_peers() {
                tokio::time::sleep(HANDOVER_CHECK_PERIOD).await;
            }
        };
        let handed_over = tokio::time::timeout(self.handover_limit, handover).await;
        if handed_over.is_err() {
            log::warn!("planned stop: claims were not handed over in time");
        }
    }
}

/// Receiver of stop requests, from signals or from a test.
#[derive(Debug)]
pub struct StopRequests {
    receiver: mpsc::Receiver<()>,
}

impl StopRequests {
    /// A sender of stop requests, and the receiver that [`run`] takes.
    pub fn channel() -> (mpsc::Sender<()>, Self) {
        let (sender, receiver) = mpsc::channel(STOP_REQUEST_CAPACITY);
        (sender, Self { receiver })
    }

    /// Stop requests from SIGTERM and SIGINT. Must be called inside a runtime.
    pub fn from_signals() -> eyre::Result<Self> {
        let (sender, requests) = Self::channel();
        forward_signal(SignalKind::terminate(), sender.clone())?;
        forward_signal(SignalKind::interrupt(), sender)?;
        Ok(requests)
    }

    /// Waits for the next request; never returns once no more can come.
    pub async fn next(&mut self) {
        if self.receiver.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

fn forward_signal(kind: SignalKind, stop: mpsc::Sender<()>) -> eyre::Result<()> {
    let mut signals = signal(kind).wrap_err("install a signal handler")?;
    tokio::spawn(async move {
        while signals.recv().await.is_some() {
            if stop.send(()).await.is_err() {
                return;
            }
        }
    });
    Ok(())
}

/// Runs a daemon until it has drained, after a stop request or after another run took its address.
pub async fn run(
    settings: Settings,
    tuning: Tuning,
    mut stop: StopRequests,
) -> eyre::Result<DrainResult> {
    let mut daemon = Daemon::start(settings, tuning).await?;
    let state = Arc::clone(&daemon.state);
    tokio::select! {
        () = stop.next() => {}
        () = state.wait_until_replaced() => {}
        // The process exits; whatever started it is expected to start it again.
        fault = daemon.wait_for_fault() => return Err(fault),
    }
    Ok(daemon.drain(stop.next()).await)
}
