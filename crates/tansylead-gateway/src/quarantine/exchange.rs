//! Keeps the records of requests under which leafs end in sync between daemons: changes are sent at once
//! (`state`), and lost messages are made up for by exchanging digests.
//!
//! A daemon that has just started learns from others what was quarantined before. Only if none knows, since
//! all have started together, some read it from the source: at first what the source has cached, which is there at
//! once but may lack what was quarantined last, and then what is current.

use super::state::QuarantineState;
use crate::cluster::ClusterView;
use crate::roll_out::PauseGuard;
use crate::source::{Freshness, Source};
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Period at which a daemon with records sends its digest to another: three rounds reach all daemons of a small
/// fleet that missed a datagram, within half of the shortest time without a disturbance after which the users hold
/// a machine to their time limits (5 s).
const PERIOD: Duration = Duration::from_millis(800);
/// Initial backoff between the digests that a daemon sends until it knows what was quarantined before.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest such backoff.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(4);
/// Daemons to which a daemon that has just started sends its digest at once.
const START_PEERS: usize = 3;
/// After this time a daemon that got no answer reads the source itself, also if it does not watch it.
const SOURCE_DELAY: Duration = Duration::from_secs(3);

/// Learns what was quarantined before this daemon started, then sends digests until the task is ended.
pub(crate) async fn exchange<S: Source>(
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    source: Rc<S>,
) {
    let has_read_cached = learn_quarantined(&gateway, &view, source.as_ref()).await;
    if has_read_cached {
        spawn_local(read_current(Rc::clone(&gateway), source));
    }
    loop {
        tokio::time::sleep(jittered(PERIOD)).await;
        let state = &gateway.quarantine;
        if state.has_records() {
            send_digests(state, &view, 1);
        }
    }
}

/// Waits until this daemon knows what was quarantined. Returns whether it has read that from the source.
async fn learn_quarantined<S: Source>(gateway: &Gateway, view: &ClusterView, source: &S) -> bool {
    let mut backoff = INITIAL_BACKOFF;
    let mut has_read = false;
    while !gateway.quarantine.is_complete() {
        // Only a few daemons of a fleet watch the source; until the fleet has formed, its seeds do.
        if view.is_watcher() || gateway.uptime() > SOURCE_DELAY {
            has_read |= read_source(gateway, source, Freshness::Cached).await;
        }
        send_digests(&gateway.quarantine, view, START_PEERS);
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAXIMUM_BACKOFF);
    }
    has_read
}

/// Reads what is current, as often as it takes. Other daemons learn of it by digests.
async fn read_current<S: Source>(gateway: Rc<Gateway>, source: Rc<S>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        tokio::time::sleep(jittered(backoff)).await;
        if read_source(&gateway, source.as_ref(), Freshness::Current).await {
            return;
        }
        backoff = (backoff * 2).min(MAXIMUM_BACKOFF);
    }
}

/// Adds the requests that the source has as quarantined. Returns whether it answered.
async fn read_source<S: Source>(gateway: &Gateway, source: &S, freshness: Freshness) -> bool {
    match source.quarantined(freshness).await {
        Ok(fingerprints) => {
            gateway.quarantine.restore(&fingerprints);
            true
        }
        Err(error) => {
            log::info!(error:% = error; "quarantined requests could not be read");
            false
        }
    }
}

fn send_digests(state: &QuarantineState, view: &ClusterView, peers: usize) {
    for peer in view.random_peers(peers) {
        state.send_digest(peer);
    }
}

fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(rand::random_range(0.5..1.5))
}

/// Sends digests to several daemons, after this process did not run for a while.
pub(crate) async fn catch_up(gateway: Rc<Gateway>, view: Rc<ClusterView>) {
    tokio::time::sleep(PauseGuard::DISCARD_PERIOD).await;
    send_digests(&gateway.quarantine, &view, START_PEERS);
}
