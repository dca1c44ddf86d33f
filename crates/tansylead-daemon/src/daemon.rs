//! One daemon: starts its parts and stops them in order.

use crate::clock::Clock;
use crate::configuration::{ConfigurationView, StoreReader, StoreReaderLimits};
use crate::frontend::Frontend;
use crate::http::{CallerServer, Router, ServerLimits};
use crate::metrics::Metrics;
use crate::platform::StoreClient;
use crate::root::{RootDirectory, RootLimits, RootSupervisor};
use crate::state::DaemonState;
use crate::tuning::Tuning;
use eyre::WrapErr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{InstanceId, NodeId, Settings};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// How a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainResult {
    /// Everything open was answered.
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
    drain: CancellationToken,
    drain_limit: Duration,
    server: AbortOnDropHandle<()>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl Daemon {
    /// Binds the addresses and starts everything.
    pub async fn start(settings: Settings, tuning: Tuning) -> eyre::Result<Self> {
        let tuning = Arc::new(tuning);
        let metrics = Arc::new(Metrics::new().wrap_err("register metrics")?);
        let (view_sender, view) = watch::channel(Arc::new(ConfigurationView::default()));
        let roots = RootDirectory::default();
        let state = Arc::new(DaemonState::new(
            settings.clone(),
            Arc::clone(&metrics),
            view.clone(),
            roots.clone(),
        ));
        let server = caller_server(&settings, &tuning, &state, &view, &roots).await?;
        let caller_address = server.local_address()?;
        let drain = CancellationToken::new();

        let reader = store_reader(&settings, &tuning, view_sender, &metrics);
        let supervisor = root_supervisor(&settings, &tuning, &metrics, roots);
        let tasks = vec![
            AbortOnDropHandle::new(tokio::spawn(reader.run())),
            AbortOnDropHandle::new(tokio::spawn(supervisor.run(view))),
        ];
        let server = AbortOnDropHandle::new(tokio::spawn(server.run(drain.clone())));
        log::info!("listening for callers on {caller_address}");
        Ok(Self {
            state,
            caller_address,
            drain,
            drain_limit: Duration::from_millis(settings.timing.drain_limit_millis),
            server,
            _tasks: tasks,
        })
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Shared state.
    pub fn state(&self) -> &Arc<DaemonState> {
        &self.state
    }

    /// Planned stop: not ready from now on, answers what is open and what still arrives, then
    /// ends. `cut` ends it at once.
    pub async fn drain(mut self, cut: impl Future<Output = ()>) -> DrainResult {
        self.state.set_draining();
        self.drain.cancel();
        log::info!("planned stop: draining");
        let cause = tokio::select! {
            _ = &mut self.server => {
                log::info!("planned stop: everything open was answered");
                return DrainResult::Clean;
            }
            () = tokio::time::sleep(self.drain_limit) => "the drain limit passed",
            () = cut => "a second request to stop came",
        };
        let open_queries = self.state.queries_in_progress();
        log::warn!("planned stop: {cause} with {open_queries} queries open");
        DrainResult::Cut { open_queries }
    }
}

/// Requests to stop, as they come from signals or from a test.
#[derive(Debug)]
pub struct StopRequests {
    receiver: tokio::sync::mpsc::Receiver<()>,
}

impl StopRequests {
    /// Where to send requests to stop, and what [`run`] takes.
    pub fn channel() -> (tokio::sync::mpsc::Sender<()>, Self) {
        let (sender, receiver) = tokio::sync::mpsc::channel(STOP_REQUESTS_HELD);
        (sender, Self { receiver })
    }

    /// Waits for the next request; never returns once no more can come.
    pub async fn next(&mut self) {
        if self.receiver.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

const STOP_REQUESTS_HELD: usize = 4;

/// Runs a daemon until it is asked to stop and has drained.
pub async fn run(
    settings: Settings,
    tuning: Tuning,
    mut stop: StopRequests,
) -> eyre::Result<DrainResult> {
    let daemon = Daemon::start(settings, tuning).await?;
    stop.next().await;
    Ok(daemon.drain(stop.next()).await)
}

async fn caller_server(
    settings: &Settings,
    tuning: &Tuning,
    state: &Arc<DaemonState>,
    view: &watch::Receiver<Arc<ConfigurationView>>,
    roots: &RootDirectory,
) -> eyre::Result<CallerServer> {
    let frontend = Frontend::new(
        settings.place.clone(),
        view.clone(),
        roots.clone(),
        tuning.default_retry_after,
    );
    let router = Router::new(Arc::clone(state), frontend, settings.timing.clone());
    let limits = ServerLimits {
        header_read: tuning.header_read_limit,
        drain_idle: tuning.drain_idle,
        drain_minimum: tuning.drain_minimum,
    };
    let address = settings.caller_address;
    let server = CallerServer::bind(address, Arc::new(router), Arc::clone(state), limits).await?;
    Ok(server)
}

fn store_reader(
    settings: &Settings,
    tuning: &Tuning,
    view: watch::Sender<Arc<ConfigurationView>>,
    metrics: &Arc<Metrics>,
) -> StoreReader {
    let limits = StoreReaderLimits {
        watch_wait: tuning.store_watch_wait,
        first_pause: tuning.store_first_pause,
        longest_pause: tuning.store_longest_pause,
    };
    let store = StoreClient::new(settings.store_address);
    StoreReader::new(store, limits, view, Arc::clone(metrics))
}

fn root_supervisor(
    settings: &Settings,
    tuning: &Arc<Tuning>,
    metrics: &Arc<Metrics>,
    roots: RootDirectory,
) -> RootSupervisor {
    let instance = InstanceId {
        node: NodeId(settings.peer_address),
        boot: Clock.wall_micros(),
    };
    let limits = RootLimits {
        health_period: Duration::from_millis(settings.timing.health_period_millis),
        tuning: Arc::clone(tuning),
    };
    RootSupervisor::new(
        instance,
        settings.place.clone(),
        limits,
        Arc::clone(metrics),
        roots,
    )
}
