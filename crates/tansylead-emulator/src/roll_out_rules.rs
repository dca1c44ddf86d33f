//! Checks the guarantees that hold while a service is rolled out to another version of its leafs.

use crate::leaf::LeafPlan;
use crate::seen_roll_out::{RollOutEnd, RollOutOrder, SeenRollOut};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Bound on sends to a bad version, as a share of the requests to its service; given by the users.
pub const EXPOSURE_SHARE: f64 = 0.1;
/// Sends to a bad version that are allowed beyond [`EXPOSURE_SHARE`]; given by the users.
pub const EXPOSURE_SLACK: f64 = 50.0;
/// Time after which a bad version must get nothing, once its answers have proven it bad; given by the
/// users.
pub const ROLL_BACK_LIMIT: Duration = Duration::from_millis(5_000);
/// Number of bad answers that prove a version bad; given by the users.
const PROOF_ANSWERS: u32 = 50;
/// Slack in time limits for a busy machine and for daemons that have just restarted.
const TIME_SLACK: Duration = Duration::from_millis(2_000);

/// Identifies a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RollOutId(usize);

#[derive(Debug)]
struct RollOutRecord {
    seen: SeenRollOut,
    ordered_at: Instant,
    requests: HashSet<String>,
    bad_answers: u32,
    proven_at: Option<Instant>,
    violations: Vec<String>,
}

impl RollOutRecord {
    fn name(&self) -> String {
        let order = &self.seen.order;
        format!("{} to {} ({})", order.service, order.target, order.kind)
    }

    fn is_target(&self, leaf: &LeafPlan) -> bool {
        let order = &self.seen.order;
        order.service == leaf.service && order.target == leaf.version.name
    }

    /// Records a violation of a rule, unless it has been recorded before.
    fn add_violation(&mut self, rule: &str, text: &str) {
        let text = format!("{rule}: {}: {text}", self.name());
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    fn record_arrival(&mut self, request: &str, leaf: &LeafPlan) {
        let now = Instant::now();
        let since_order = now.duration_since(self.ordered_at);
        let is_before_deadline = since_order <= self.seen.order.duration;
        if is_before_deadline {
            self.requests.insert(request.to_owned());
        }
        if !self.is_target(leaf) || self.seen.is_superseded {
            return;
        }
        if is_before_deadline {
            self.seen.sends += 1;
        }
        if let Some((RollOutEnd::RolledBack, after)) = self.seen.end
            && since_order > after + ROLL_BACK_LIMIT
        {
            self.add_violation("BACK", "a request after it was rolled back");
        }
        if let Some(proven_at) = self.proven_at {
            let since_proof = now.duration_since(proven_at);
            self.seen.last_send_after_proof = Some(since_proof);
            if since_proof > ROLL_BACK_LIMIT + TIME_SLACK {
                self.add_violation("EXPOSURE", "a request too long after its bad answers");
            }
        }
    }

    fn exposure_violation(&self) -> Option<String> {
        let order = &self.seen.order;
        let seen = self.seen();
        let is_over = order.is_bad && f64::from(seen.sends) > seen.allowed();
        is_over.then(|| {
            let (sends, allowed) = (seen.sends, seen.allowed());
            format!("EXPOSURE: {}: {sends} sends of {allowed:.0}", self.name())
        })
    }

    fn outcome_violation(&self) -> Option<String> {
        let (end, after) = self.seen.end?;
        let is_violated = self.seen.is_wrong() && !self.seen.is_disturbed;
        is_violated.then(|| format!("OUTCOME: {}: {end:?} after {after:?}", self.name()))
    }

    fn seen(&self) -> SeenRollOut {
        SeenRollOut {
            requests: self.requests.len(),
            ..self.seen.clone()
        }
    }
}

/// All roll-outs of a deployment.
#[derive(Debug, Default)]
pub(crate) struct RollOutRules {
    records: Vec<RollOutRecord>,
    /// Number of ongoing faults that affect daemons or their links.
    core_faults: usize,
    /// Bad answers before this do not count, because the daemons were affected by faults.
    stable_from: Option<Instant>,
}

impl RollOutRules {
    /// Records an order. Earlier ones for its service are superseded.
    pub(crate) fn record_order(&mut self, order: RollOutOrder) -> RollOutId {
        let service = order.service.as_str();
        let earlier = self.records.iter_mut();
        for record in earlier.filter(|record| record.seen.order.service == service) {
            record.seen.is_superseded = true;
        }
        self.records.push(RollOutRecord {
            seen: SeenRollOut {
                order,
                end: None,
                is_superseded: false,
                is_disturbed: self.core_faults > 0,
                requests: 0,
                sends: 0,
                last_send_after_proof: None,
                interrupted: 0,
            },
            ordered_at: Instant::now(),
            requests: HashSet::new(),
            bad_answers: 0,
            proven_at: None,
            violations: Vec::new(),
        });
        RollOutId(self.records.len() - 1)
    }

    /// Records that an order is replaced or withdrawn.
    pub(crate) fn record_superseded(&mut self, id: RollOutId) {
        self.records[id.0].seen.is_superseded = true;
    }

    /// Records the outcome that the store states for a roll-out that is not superseded.
    pub(crate) fn record_outcome(&mut self, id: RollOutId, end: RollOutEnd) {
        let record = &mut self.records[id.0];
        match record.seen.end {
            None => record.seen.end = Some((end, record.ordered_at.elapsed())),
            Some((earlier, _)) if earlier != end => {
                record.add_violation("TURNED", "it had ended otherwise before");
            }
            Some(_) => {}
        }
    }

    /// Records that the store shows an unknown state, or no outcome although the roll-out has ended.
    pub(crate) fn record_changed_outcome(&mut self, id: RollOutId, state: &str) {
        let text = format!("{state} after its end");
        self.records[id.0].add_violation("TURNED", &text);
    }

    /// Records how many requests were interrupted when the old leafs were stopped.
    pub(crate) fn record_interrupted(&mut self, id: RollOutId, interrupted: usize) {
        let record = &mut self.records[id.0];
        record.seen.interrupted += interrupted;
        if interrupted > 0 && !record.seen.is_disturbed {
            record.add_violation("CUT", "requests ran on old leafs at its completion");
        }
    }

    /// Records that a request reached a leaf.
    pub(crate) fn record_arrival(&mut self, request: &str, leaf: &LeafPlan) {
        let records = self.records.iter_mut();
        for record in records.filter(|record| record.seen.order.service == leaf.service) {
            record.record_arrival(request, leaf);
        }
    }

    /// Records an answer that is bad because of the leaf's version.
    pub(crate) fn record_bad_answer(&mut self, leaf: &LeafPlan) {
        let is_stable = self.stable_from.is_none_or(|from| Instant::now() >= from);
        if self.core_faults > 0 || !is_stable {
            return;
        }
        for record in self.records.iter_mut().filter(|r| r.is_target(leaf)) {
            record.bad_answers += 1;
            if record.bad_answers == PROOF_ANSWERS {
                record.proven_at = Some(Instant::now());
            }
        }
    }

    /// Records the start of a fault. `is_core` tells whether it affects daemons or their links.
    pub(crate) fn begin_fault(&mut self, is_core: bool) {
        for record in &mut self.records {
            record.seen.is_disturbed |= record.seen.end.is_none();
            if is_core {
                record.bad_answers = 0;
                record.proven_at = None;
            }
        }
        self.core_faults += usize::from(is_core);
    }

    /// Records the end of a fault.
    pub(crate) fn end_fault(&mut self, is_core: bool) {
        self.core_faults = self.core_faults.saturating_sub(usize::from(is_core));
        if is_core {
            self.stable_from = Some(Instant::now() + TIME_SLACK);
        }
    }

    /// Observations of all roll-outs, in the sequence of their orders.
    pub(crate) fn seen(&self) -> Vec<SeenRollOut> {
        self.records.iter().map(RollOutRecord::seen).collect()
    }

    /// All violations.
    pub(crate) fn violations(&self) -> Vec<String> {
        let records = self.records.iter();
        let violations = records.flat_map(|record| {
            let recorded = record.violations.iter().cloned();
            recorded
                .chain(record.exposure_violation())
                .chain(record.outcome_violation())
        });
        violations.collect()
    }
}
