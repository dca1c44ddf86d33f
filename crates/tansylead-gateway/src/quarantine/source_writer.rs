//! Writes quarantined requests to the source, so that they stay refused after all daemons were lost.
//!
//! The daemon whose evidence decided writes at once. Those that watch the source write a little later, in case
//! that daemon was lost right then; a request that the source has already costs them one call.

use super::source_writes::SourceWrite;
use crate::cluster::ClusterView;
use crate::source::{Source, SourceError};
use crate::state::Gateway;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::RequestFingerprint;
use tokio::task::spawn_local;

/// Least delay after which daemons other than the one whose evidence decided write too.
const OTHERS_DELAY: Duration = Duration::from_secs(2);
/// Backoff after the first failed call, doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff after a failed call.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(4);
/// Calls for one write, over some two minutes: longer than any outage of the source seen so far (5 s).
const MAXIMUM_CALLS: u32 = 32;
/// Period at which expired records are removed.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

/// Writes changes to the source until the task is ended.
pub(crate) async fn write_to_source<S: Source>(
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    source: Rc<S>,
) {
    loop {
        for write in gateway.quarantine.take_source_writes().await {
            match write {
                SourceWrite::Quarantined {
                    fingerprint,
                    is_own,
                } => {
                    if is_own || view.is_watcher() {
                        spawn_local(keep(Rc::clone(&source), fingerprint, is_own));
                    }
                }
                SourceWrite::Cleared(fingerprint) => {
                    spawn_local(release(Rc::clone(&source), fingerprint));
                }
            }
        }
    }
}

/// Removes expired records, on daemons that watch the source from the source too.
pub(crate) async fn remove_expired<S: Source>(
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    source: Rc<S>,
) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        for fingerprint in gateway.quarantine.remove_expired() {
            if view.is_watcher() {
                spawn_local(release(Rc::clone(&source), fingerprint));
            }
        }
    }
}

async fn keep<S: Source>(source: Rc<S>, fingerprint: RequestFingerprint, is_own: bool) {
    if !is_own {
        tokio::time::sleep(OTHERS_DELAY.mul_f64(rand::random_range(1.0..2.0))).await;
    }
    retry(|| source.keep_quarantined(fingerprint)).await;
}

async fn release<S: Source>(source: Rc<S>, fingerprint: RequestFingerprint) {
    retry(|| source.release_quarantined(fingerprint)).await;
}

/// Repeats a call until it succeeds, at most [`MAXIMUM_CALLS`] times.
async fn retry<F>(mut call: impl FnMut() -> F)
where
    F: Future<Output = Result<(), SourceError>>,
{
    let mut backoff = INITIAL_BACKOFF;
    for _ in 0..MAXIMUM_CALLS {
        match call().await {
            Ok(()) => return,
            Err(error) => log::info!(error:% = error; "quarantine not kept by the source yet"),
        }
        tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.5))).await;
        backoff = (backoff * 2).min(MAXIMUM_BACKOFF);
    }
}
