//! Looks whether a leaf has ended under the requests whose connections to it were lost, and tells so.

use crate::leaf::{EndSign, LeafState, LostRun, Probe, probe, watch_entry};
use crate::state::Gateway;
use std::collections::BTreeSet;
use std::rc::Rc;
use tansylead_route::RequestFingerprint;
use tokio::task::spawn_local;

/// Fingerprints named in the line on one leaf's end.
const MAXIMUM_TOLD: usize = 4;

/// Notes that the connection to a leaf was lost under a request, and looks whether the leaf has ended.
pub(crate) fn on_lost(gateway: &Rc<Gateway>, leaf: &Rc<LeafState>, run: LostRun) {
    let lost = run.lost;
    if !leaf.add_lost_run(run) {
        return;
    }
    let (gateway, leaf) = (Rc::clone(gateway), Rc::clone(leaf));
    spawn_local(async move {
        let sign = match probe(&leaf).await {
            Probe::Refused => Some(EndSign::Refused),
            Probe::Open => watch_entry(&leaf, lost).await,
        };
        let runs = leaf.take_lost_runs();
        if let Some(sign) = sign {
            on_ended(&gateway, &leaf, sign, &runs);
        }
    });
}

/// A leaf has ended under requests.
fn on_ended(gateway: &Gateway, leaf: &LeafState, sign: EndSign, runs: &[LostRun]) {
    gateway.metrics.on_leaf_ended(sign.label());
    let fingerprints: BTreeSet<RequestFingerprint> =
        runs.iter().map(|run| run.fingerprint).collect();
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
