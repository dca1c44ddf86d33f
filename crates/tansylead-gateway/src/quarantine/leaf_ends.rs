//! Looks whether a leaf has ended under the requests whose connections to it were lost.

use crate::leaf::{EndEvidence, LeafState, LostRequest, Probe, probe, watch_entry};
use crate::state::Gateway;
use std::collections::BTreeSet;
use std::rc::Rc;
use tansylead_route::{RequestFingerprint, Strike};
use tokio::task::spawn_local;

/// Fingerprints named in the line on one leaf's end.
const MAXIMUM_TOLD: usize = 4;

/// Notes that the connection to a leaf was lost under a request, and looks whether the leaf has ended.
pub(crate) fn on_lost(gateway: &Rc<Gateway>, leaf: &Rc<LeafState>, run: LostRequest) {
    if leaf.lost_requests().add(run) {
        let (gateway, leaf) = (Rc::clone(gateway), Rc::clone(leaf));
        spawn_local(check(gateway, leaf));
    }
}

async fn check(gateway: Rc<Gateway>, leaf: Rc<LeafState>) {
    let probed = probe(&leaf).await;
    let runs = leaf.lost_requests().take_unprobed();
    match probed {
        Probe::Refused => {
            let watched = leaf.lost_requests().take_watched();
            for run in &runs {
                run.care.on_checked(!leaf.is_leaving());
            }
            on_ended(
                &gateway,
                &leaf,
                EndEvidence::Refused,
                &[watched, runs].concat(),
            );
        }
        Probe::Open => {
            for run in &runs {
                run.care.on_checked(false);
            }
            let Some(lost) = runs.iter().map(|run| run.lost).min() else {
                return;
            };
            if !leaf.lost_requests().watch(runs) {
                return;
            }
            let sign = watch_entry(&leaf, lost).await;
            let watched = leaf.lost_requests().end_watch();
            if let Some(sign) = sign {
                on_ended(&gateway, &leaf, sign, &watched);
            }
        }
    }
}

/// A leaf has ended under requests: a strike against each that no leaf has answered. One that said it was leaving
/// has ended for that.
fn on_ended(gateway: &Gateway, leaf: &LeafState, sign: EndEvidence, runs: &[LostRequest]) {
    if leaf.is_leaving() {
        return;
    }
    tell(gateway, leaf, sign, runs);
    let ended = leaf.entry().run();
    let lost = runs.iter().map(|run| run.lost).min();
    let abandoned = lost.map_or(Vec::new(), |lost| leaf.lost_requests().take_abandoned(lost));
    for run in runs
        .iter()
        .chain(&abandoned)
        .filter(|run| !run.care.is_answered())
    {
        let strike = Strike::new(&ended, run.sent, run.lost, run.fingerprints.caller);
        gateway.quarantine.on_strike(&run.fingerprints, strike);
    }
    // What was decided concerns requests that wait.
    for run in runs {
        run.care.on_decided();
    }
}

fn tell(gateway: &Gateway, leaf: &LeafState, sign: EndEvidence, runs: &[LostRequest]) {
    gateway.metrics.on_leaf_ended(sign.label());
    let fingerprints: BTreeSet<RequestFingerprint> =
        runs.iter().map(|run| run.fingerprints.exact).collect();
    let told: Vec<String> = fingerprints
        .iter()
        .take(MAXIMUM_TOLD)
        .map(RequestFingerprint::to_string)
        .collect();
    let entry = leaf.entry();
    log::info!(
        leaf = entry.leaf.as_str(),
        service = entry.service.as_str(),
        sign = sign.label(),
        requests = fingerprints.len(),
        fingerprints = told.join(" ").as_str();
        "leaf ended under requests"
    );
}
