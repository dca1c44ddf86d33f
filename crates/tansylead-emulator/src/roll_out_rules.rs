//! What holds while a service is rolled out to another version of its leafs.

use crate::leaf::LeafPlan;
use crate::seen_roll_out::{RollOutEnd, RollOutOrder, SeenRollOut};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Sends to a bad version, as a share of the requests to its service, and beyond that share: the users'
/// bounds.
pub const EXPOSURE_SHARE: f64 = 0.1;
/// See [`EXPOSURE_SHARE`].
pub const EXPOSURE_SLACK: f64 = 50.0;
/// A bad version gets nothing this long after its answers have shown it: the users' bound.
pub const ROLL_BACK_LIMIT: Duration = Duration::from_millis(5_000);
/// Bad answers that show a bad version: the users' figure.
const TELLING_ANSWERS: u32 = 50;
/// Room in time limits for a busy machine, and for daemons that have just started again.
const MACHINE_ROOM: Duration = Duration::from_millis(2_000);

/// Names a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RollOutId(usize);

#[derive(Debug)]
struct Record {
    seen: SeenRollOut,
    ordered_at: Instant,
    requests: HashSet<String>,
    bad_answers: u32,
    told_at: Option<Instant>,
    violations: Vec<String>,
}

impl Record {
    fn name(&self) -> String {
        let order = &self.seen.order;
        format!("{} to {} ({})", order.service, order.target, order.kind)
    }

    fn is_target(&self, leaf: &LeafPlan) -> bool {
        let order = &self.seen.order;
        order.service == leaf.service && order.target == leaf.version.name
    }

    /// Breaks a rule; the first of each kind is enough.
    fn violate(&mut self, rule: &str, text: &str) {
        let text = format!("{rule}: {}: {text}", self.name());
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    fn arrive(&mut self, request: &str, leaf: &LeafPlan) {
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
            self.violate("BACK", "a request after it was rolled back");
        }
        if let Some(told_at) = self.told_at {
            let back = now.duration_since(told_at);
            self.seen.back = Some(back);
            if back > ROLL_BACK_LIMIT + MACHINE_ROOM {
                self.violate("EXPOSURE", "a request too long after its bad answers");
            }
        }
    }

    fn over_exposure(&self) -> Option<String> {
        let order = &self.seen.order;
        let seen = self.seen();
        let is_over = order.is_bad && f64::from(seen.sends) > seen.allowed();
        is_over.then(|| {
            let (sends, allowed) = (seen.sends, seen.allowed());
            format!("EXPOSURE: {}: {sends} sends of {allowed:.0}", self.name())
        })
    }

    fn wrong_end(&self) -> Option<String> {
        let (end, after) = self.seen.end?;
        let is_broken = self.seen.is_wrong() && !self.seen.is_disturbed;
        is_broken.then(|| format!("OUTCOME: {}: {end:?} after {after:?}", self.name()))
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
    records: Vec<Record>,
    /// Faults that strike daemons or their links and last.
    core_troubles: usize,
    /// Bad answers before this do not count: the daemons were in trouble.
    stable_from: Option<Instant>,
}

impl RollOutRules {
    /// Notes an order. Earlier ones for its service are superseded.
    pub(crate) fn order(&mut self, order: RollOutOrder) -> RollOutId {
        let service = order.service.as_str();
        let earlier = self.records.iter_mut();
        for record in earlier.filter(|record| record.seen.order.service == service) {
            record.seen.is_superseded = true;
        }
        self.records.push(Record {
            seen: SeenRollOut {
                order,
                end: None,
                is_superseded: false,
                is_disturbed: self.core_troubles > 0,
                requests: 0,
                sends: 0,
                back: None,
                cut: 0,
            },
            ordered_at: Instant::now(),
            requests: HashSet::new(),
            bad_answers: 0,
            told_at: None,
            violations: Vec::new(),
        });
        RollOutId(self.records.len() - 1)
    }

    /// Notes that an order is taken back.
    pub(crate) fn supersede(&mut self, id: RollOutId) {
        self.records[id.0].seen.is_superseded = true;
    }

    /// Notes what the store says of a roll-out that is not superseded.
    pub(crate) fn end(&mut self, id: RollOutId, end: RollOutEnd) {
        let record = &mut self.records[id.0];
        match record.seen.end {
            None => record.seen.end = Some((end, record.ordered_at.elapsed())),
            Some((earlier, _)) if earlier != end => {
                record.violate("TURNED", "it had ended otherwise before");
            }
            Some(_) => {}
        }
    }

    /// Notes that what the store says of an ended roll-out was taken back.
    pub(crate) fn turn(&mut self, id: RollOutId, state: &str) {
        let text = format!("{state} after its end");
        self.records[id.0].violate("TURNED", &text);
    }

    /// Notes that requests were cut when the old leafs were stopped.
    pub(crate) fn cut(&mut self, id: RollOutId, cut: usize) {
        let record = &mut self.records[id.0];
        record.seen.cut += cut;
        if cut > 0 && !record.seen.is_disturbed {
            record.violate("CUT", "requests ran on old leafs at its completion");
        }
    }

    /// Notes that a request reached a leaf.
    pub(crate) fn arrive(&mut self, request: &str, leaf: &LeafPlan) {
        let records = self.records.iter_mut();
        for record in records.filter(|record| record.seen.order.service == leaf.service) {
            record.arrive(request, leaf);
        }
    }

    /// Notes an answer that is bad because of the leaf's version.
    pub(crate) fn answer_badly(&mut self, leaf: &LeafPlan) {
        let is_stable = self.stable_from.is_none_or(|from| Instant::now() >= from);
        if self.core_troubles > 0 || !is_stable {
            return;
        }
        for record in self.records.iter_mut().filter(|r| r.is_target(leaf)) {
            record.bad_answers += 1;
            if record.bad_answers == TELLING_ANSWERS {
                record.told_at = Some(Instant::now());
            }
        }
    }

    /// Notes the beginning of a fault. `is_core` says that it strikes daemons or their links.
    pub(crate) fn begin_fault(&mut self, is_core: bool) {
        for record in &mut self.records {
            record.seen.is_disturbed |= record.seen.end.is_none();
            if is_core {
                record.bad_answers = 0;
                record.told_at = None;
            }
        }
        self.core_troubles += usize::from(is_core);
    }

    /// Notes the end of a fault.
    pub(crate) fn end_fault(&mut self, is_core: bool) {
        self.core_troubles = self.core_troubles.saturating_sub(usize::from(is_core));
        if is_core {
            self.stable_from = Some(Instant::now() + MACHINE_ROOM);
        }
    }

    /// What was seen of each roll-out, in the order of the orders.
    pub(crate) fn seen(&self) -> Vec<SeenRollOut> {
        self.records.iter().map(Record::seen).collect()
    }

    /// What was broken.
    pub(crate) fn violations(&self) -> Vec<String> {
        let records = self.records.iter();
        let broken = records.flat_map(|record| {
            let noted = record.violations.iter().cloned();
            noted
                .chain(record.over_exposure())
                .chain(record.wrong_end())
        });
        broken.collect()
    }
}
