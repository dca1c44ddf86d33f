//! Starts and stops one gateway daemon.

use crate::caller::{CallerServer, serve_ready};
use crate::clock::Clock;
use crate::cluster::{ClusterView, MemberDriver, PeerFeed, SourceFeed, find_daemons, serve_peers};
use crate::headers::HeaderNames;
use crate::memory::relieve;
use crate::metrics::serve_metrics;
use crate::quarantine::{catch_up, exchange, remove_expired, write_to_source};
use crate::roll_out::{RollOutLink, RollOutTask};
use crate::settings::GatewaySettings;
use crate::source::Source;
use crate::state::{Gateway, StopPhase};
use eyre::WrapErr;
use std::collections::BTreeSet;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::{NodeId, PlaceName, StepError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// Share of the time for a planned stop after which idle connections are closed.
const CLOSING_SHARE: f64 = 0.5;
/// Share of that time after which all open requests get their final answer.
const ENDING_SHARE: f64 = 0.9;
/// Time in which final answers reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(150);
/// Period at which a planned stop checks whether anything is still in use.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Period at which the settings file is read again.
const RELOAD_PERIOD: Duration = Duration::from_secs(5);
/// Period at which the lag of tasks is measured.
const LAG_PERIOD: Duration = Duration::from_millis(250);
/// Lags above this are logged.
const LAG_TOLERANCE: Duration = Duration::from_millis(40);
/// Period at which idle connections are checked.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The daemon's zone is not among the zones of the deployment.
    #[error("zone {zone} is in no region")]
    UnknownZone {
        /// The zone.
        zone: String,
    },
    /// A socket could not be bound.
    #[error(transparent)]
    Bind(#[from] StepError),
}

/// Runs a daemon until a planned stop has ended. `reload` reads the settings again.
pub fn run<S: Source>(
    settings: GatewaySettings,
    names: HeaderNames,
    source: S,
    reload: impl Fn() -> eyre::Result<GatewaySettings> + 'static,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, names, source, reload))
}

async fn serve<S: Source>(
    settings: GatewaySettings,
    names: HeaderNames,
    source: S,
    reload: impl Fn() -> eyre::Result<GatewaySettings> + 'static,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("watch for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("watch for SIGINT")?;
    let gateway = Rc::new(Gateway::new(settings, names));
    let view = Rc::new(new_view(&gateway.settings)?);
    start(&gateway, &view, Rc::new(source)).await?;
    spawn_local(reload_on_signal(
        Rc::clone(&gateway),
        Rc::clone(&view),
        reload,
    ));
    log::info!(address:% = gateway.settings.caller_address, zone = gateway.settings.zone.as_str(); "started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&gateway).await;
    log::info!("stopped");
    Ok(())
}

fn place_of(settings: &GatewaySettings) -> Result<PlaceName, RunError> {
    let place = settings.regions.get(&settings.zone);
    place.cloned().ok_or_else(|| RunError::UnknownZone {
        zone: settings.zone.to_string(),
    })
}

fn new_view(settings: &GatewaySettings) -> Result<ClusterView, RunError> {
    let regions: BTreeSet<&PlaceName> = settings.regions.values().collect();
    Ok(ClusterView::new(
        NodeId(settings.peer_address),
        place_of(settings)?,
        regions.len(),
        settings.seeds.clone(),
    ))
}

async fn start<S: Source>(
    gateway: &Rc<Gateway>,
    view: &Rc<ClusterView>,
    source: Rc<S>,
) -> Result<(), RunError> {
    let place = place_of(&gateway.settings)?;
    let server = CallerServer::bind(Rc::clone(gateway)).await?;
    let roll_outs = Rc::new(RollOutLink::default());
    let link = Rc::clone(&roll_outs);
    let members = MemberDriver::bind(Rc::clone(gateway), Rc::clone(view), link, place).await?;
    spawn_local(server.run());
    spawn_local(members.run());
    spawn_local(PeerFeed::new(Rc::clone(gateway), Rc::clone(view)).run());
    spawn_local(until_failed("readiness", serve_ready(Rc::clone(gateway))));
    spawn_local(until_failed("peers", serve_peers(Rc::clone(gateway))));
    for &topic in gateway.settings.bounds.topics() {
        let feed = SourceFeed::new(
            Rc::clone(gateway),
            Rc::clone(view),
            Rc::clone(&source),
            topic,
        );
        spawn_local(feed.run());
    }
    if gateway.settings.bounds.follow_roll_outs {
        let (gateway, view) = (Rc::clone(gateway), Rc::clone(view));
        let task = RollOutTask::new(gateway, view, roll_outs, Rc::clone(&source));
        spawn_local(task.run());
    }
    if let Some(address) = gateway.settings.metrics_address {
        let metrics = serve_metrics(Rc::clone(gateway), address);
        spawn_local(until_failed("metrics", metrics));
    }
    spawn_local(exchange(
        Rc::clone(gateway),
        Rc::clone(view),
        Rc::clone(&source),
    ));
    spawn_local(write_to_source(
        Rc::clone(gateway),
        Rc::clone(view),
        Rc::clone(&source),
    ));
    spawn_local(remove_expired(
        Rc::clone(gateway),
        Rc::clone(view),
        Rc::clone(&source),
    ));
    spawn_local(find_daemons(Rc::clone(gateway), Rc::clone(view), source));
    spawn_local(relieve(Rc::clone(gateway)));
    spawn_local(sweep(Rc::clone(gateway)));
    spawn_local(watch_lag(Rc::clone(gateway), Rc::clone(view)));
    Ok(())
}

async fn until_failed(what: &'static str, serving: impl Future<Output = Result<(), StepError>>) {
    if let Err(error) = serving.await {
        log::error!(what = what, error:% = error; "listener failed");
    }
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        gateway
            .caller_connections
            .wake_overdue(&gateway.caller_limits());
        gateway.close_expired();
        gateway.roots.close_expired(Clock.now());
        gateway.count_daemons();
    }
}

/// Logs when tasks wait long for the processor: then everything in this process is late.
async fn watch_lag(gateway: Rc<Gateway>, view: Rc<ClusterView>) {
    loop {
        let due = Clock.now() + LAG_PERIOD;
        tokio::time::sleep(LAG_PERIOD).await;
        let lag = Clock.now().since(due);
        gateway.processor_lag().set(lag);
        if lag > LAG_TOLERANCE {
            log::warn!(lag_ms = lag.as_millis() as u64; "tasks wait for the processor");
        }
        let is_resumed = Clock.record_lag(lag);
        gateway.quarantine.tick(Clock.now());
        if is_resumed {
            log::warn!(paused_ms = lag.as_millis() as u64; "did not run");
            gateway.metrics.on_pause();
            spawn_local(catch_up(Rc::clone(&gateway), Rc::clone(&view)));
        }
    }
}

/// Reads the settings again on SIGHUP and periodically: the file may change without a signal.
async fn reload_on_signal(
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    reload: impl Fn() -> eyre::Result<GatewaySettings>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut seeds = Vec::new();
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_PERIOD) => false,
        };
        match reload() {
            Ok(settings) => {
                gateway.set_resources(&settings.resources);
                let are_seeds_new = settings.seeds != seeds;
                if are_seeds_new {
                    seeds = settings.seeds;
                    view.set_seeds(seeds.clone());
                }
                if are_seeds_new || is_signalled {
                    log::info!(seeds = seeds.len(); "settings read again");
                }
            }
            Err(error) => log::warn!(error:% = format!("{error:#}"); "settings kept"),
        }
    }
}

/// A planned stop: immediately reports not ready, continues to serve, closes idle connections, and ends in time.
async fn stop(gateway: &Gateway) {
    let limit = gateway.settings.bounds.stop_limit();
    let started = Clock.now();
    gateway.set_stop_phase(StopPhase::Draining);
    Clock
        .sleep_until(started + limit.mul_f64(CLOSING_SHARE))
        .await;
    gateway.set_stop_phase(StopPhase::Closing);
    let ending = started + limit.mul_f64(ENDING_SHARE);
    let is_in_use = || gateway.caller_connections.count() + gateway.running_for_peers().get() > 0;
    while is_in_use() && Clock.now() < ending {
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    if is_in_use() {
        gateway.set_stop_phase(StopPhase::Ending);
        tokio::time::sleep(FLUSH_TIME).await;
    }
}
