//! Has the source keep which requests are quarantined, so that they stay refused after all daemons were lost.
//!
//! The daemon whose evidence decided writes at once. Those that watch the source write a little later, in case
//! it was lost right then; a request that is kept already costs them one call.

use super::kept_changes::KeptChange;
use crate::cluster::ClusterView;
use crate::source::{Source, SourceError};
use crate::state::Gateway;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::RequestFingerprint;
use tokio::task::spawn_local;

/// Time that the daemon whose evidence decided has before others write too, at least.
const OTHERS_WAIT: Duration = Duration::from_secs(2);
/// First wait after a failed call, doubled after each further one.
const FIRST_RETRY: Duration = Duration::from_millis(250);
/// Longest wait after a failed call.
const LONGEST_RETRY: Duration = Duration::from_secs(4);
/// Calls for one change, over some two minutes: longer than any outage of the source seen so far (5 s).
const MAXIMUM_CALLS: u32 = 32;
/// Period at which what is old is forgotten.
const FORGET_PERIOD: Duration = Duration::from_secs(5);

/// Brings changes to the source until the task is ended.
pub(crate) async fn keep_changes<S: Source>(
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    source: Rc<S>,
) {
    loop {
        for change in gateway.quarantine.changes_to_keep().await {
            match change {
                KeptChange::Quarantined {
                    fingerprint,
                    is_own,
                } => {
                    if is_own || view.is_watcher() {
                        spawn_local(write(Rc::clone(&source), fingerprint, is_own));
                    }
                }
                KeptChange::Cleared(fingerprint) => {
                    spawn_local(remove(Rc::clone(&source), fingerprint));
                }
            }
        }
    }
}

/// Forgets what is old, here and, on daemons that watch the source, there.
pub(crate) async fn forget_old<S: Source>(
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    source: Rc<S>,
) {
    loop {
        tokio::time::sleep(FORGET_PERIOD).await;
        for fingerprint in gateway.quarantine.forget_old() {
            if view.is_watcher() {
                spawn_local(remove(Rc::clone(&source), fingerprint));
            }
        }
    }
}

async fn write<S: Source>(source: Rc<S>, fingerprint: RequestFingerprint, is_own: bool) {
    if !is_own {
        tokio::time::sleep(OTHERS_WAIT.mul_f64(rand::random_range(1.0..2.0))).await;
    }
    repeat(|| source.keep_quarantined(fingerprint)).await;
}

async fn remove<S: Source>(source: Rc<S>, fingerprint: RequestFingerprint) {
    repeat(|| source.release_quarantined(fingerprint)).await;
}

/// Calls until the source has taken the change, or for too long.
async fn repeat<F>(mut call: impl FnMut() -> F)
where
    F: Future<Output = Result<(), SourceError>>,
{
    let mut pause = FIRST_RETRY;
    for _ in 0..MAXIMUM_CALLS {
        match call().await {
            Ok(()) => return,
            Err(error) => log::info!(error:% = error; "quarantine not kept by the source yet"),
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
        pause = (pause * 2).min(LONGEST_RETRY);
    }
}
