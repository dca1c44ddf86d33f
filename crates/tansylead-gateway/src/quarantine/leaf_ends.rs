//! Checks whether a leaf has ended while requests ran there whose connections were lost.

use crate::leaf::{EndEvidence, LeafState, LostRequest, Probe, probe, watch_entry};
use crate::state::Gateway;
use std::collections::BTreeSet;
use std::rc::Rc;
use tansylead_route::{RequestFingerprint, Strike};
use tokio::task::spawn_local;

/// Fingerprints listed in the log line on one leaf's end.
const MAXIMUM_LOGGED: usize = 4;

/// Records that the connection to a leaf was lost under a request, and checks whether the leaf has ended.
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
                run.limiter.on_checked(!leaf.is_leaving());
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
                run.limiter.on_checked(false);
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

/// Adds a strike for each request that ran on a leaf that has ended, unless a leaf has answered the request. A leaf
/// that said it was leaving has ended for that reason: no strikes then.
fn on_ended(gateway: &Gateway, leaf: &LeafState, sign: EndEvidence, runs: &[LostRequest]) {
    if leaf.is_leaving() {
        return;
    }
    report_end(gateway, leaf, sign, runs);
    let ended = leaf.entry().run();
    let lost = runs.iter().map(|run| run.lost).min();
    let abandoned = lost.map_or(Vec::new(), |lost| leaf.lost_requests().take_abandoned(lost));
    for run in runs
        .iter()
        .chain(&abandoned)
        .filter(|run| !run.limiter.is_answered())
    {
        let strike = Strike::new(&ended, run.sent, run.lost, run.fingerprints.caller)
            .against(&run.fingerprints);
        gateway.quarantine.on_strike(&run.fingerprints, strike);
    }
    // Requests that wait may be admitted or refused now.
    for run in runs {
        run.limiter.on_decided();
    }
}

fn report_end(gateway: &Gateway, leaf: &LeafState, sign: EndEvidence, runs: &[LostRequest]) {
    gateway.metrics.on_leaf_ended(sign.label());
    let fingerprints: BTreeSet<RequestFingerprint> =
        runs.iter().map(|run| run.fingerprints.exact).collect();
    let listed: Vec<String> = fingerprints
        .iter()
        .take(MAXIMUM_LOGGED)
        .map(RequestFingerprint::to_string)
        .collect();
    let entry = leaf.entry();
    let run = Strike::hash_of(&entry.run());
    log::info!(
        leaf = entry.leaf.as_str(),
        run = format!("{run:016x}").as_str(),
        service = entry.service.as_str(),
        sign = sign.label(),
        requests = fingerprints.len(),
        fingerprints = listed.join(" ").as_str();
        "leaf ended under requests"
    );
}
