//! Keeps what daemons hold of requests under which leafs end the same: news are sent at once (`state`), and
//! what is lost on the way comes again with digests.
//!
//! A daemon that has just started learns from others what was quarantined before. Only if none can tell, since
//! all have started together, some ask the source.

use super::state::QuarantineState;
use crate::cluster::ClusterView;
use crate::roll_out::PauseGuard;
use crate::source::{Freshness, Source};
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// Period at which a daemon that holds anything compares it with another: three rounds reach all of a small
/// fleet that a datagram has missed, within half of the shortest time in which the users count a machine as in
/// touch (5 s).
const PERIOD: Duration = Duration::from_millis(800);
/// Period at which a daemon that has just started asks others.
const START_PERIOD: Duration = Duration::from_millis(250);
/// Longest pause between tries of a daemon that nobody has told.
const LONGEST_START_PAUSE: Duration = Duration::from_secs(4);
/// Daemons that one that has just started asks at once.
const START_PEERS: usize = 3;
/// A daemon that no other has told by then asks the source, whoever it is.
const SOURCE_WAIT: Duration = Duration::from_secs(3);

/// Learns what was quarantined before this daemon started, then compares until the task is ended.
pub(crate) async fn exchange<S: Source>(
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    source: Rc<S>,
) {
    learn(&gateway, &view, source.as_ref()).await;
    loop {
        tokio::time::sleep(jittered(PERIOD)).await;
        let state = &gateway.quarantine;
        if state.has_records() {
            ask(state, &view, 1);
        }
    }
}

async fn learn<S: Source>(gateway: &Gateway, view: &ClusterView, source: &S) {
    let mut pause = START_PERIOD;
    while !gateway.quarantine.is_complete() {
        // Daemons that watch the source are few in any fleet, and seeds until it has formed.
        if view.is_watcher() || gateway.uptime() > SOURCE_WAIT {
            read_source(gateway, source).await;
        }
        ask(&gateway.quarantine, view, START_PEERS);
        tokio::time::sleep(jittered(pause)).await;
        pause = (pause * 2).min(LONGEST_START_PAUSE);
    }
}

async fn read_source<S: Source>(gateway: &Gateway, source: &S) {
    match source.quarantined(Freshness::Cached).await {
        Ok(fingerprints) => gateway.quarantine.restore(&fingerprints),
        Err(error) => log::info!(error:% = error; "quarantined requests could not be read"),
    }
}

fn ask(state: &QuarantineState, view: &ClusterView, peers: usize) {
    for peer in view.random_peers(peers) {
        state.ask(peer);
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// Compares with several daemons, after this one did not run for a while.
pub(crate) async fn catch_up(gateway: Rc<Gateway>, view: Rc<ClusterView>) {
    tokio::time::sleep(PauseGuard::DISTRUST).await;
    ask(&gateway.quarantine, &view, START_PEERS);
}
