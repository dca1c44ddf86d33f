//! Collects what callers and leafs observe and finds violations of the platform's guarantees.

use crate::answer_rules::check_answer;
use crate::arrival_rules::{ArrivalBudget, ArrivalRules};
use crate::cold_rule::ColdRule;
use crate::configuration::{RoutePlan, RouteTarget};
use crate::disruptions::Disruptions;
use crate::drain_rule::{Departure, DrainRule};
use crate::fatal_rule::FatalRule;
use crate::leaf::LeafPlan;
use crate::place_rules::PlaceRules;
use crate::roll_out_rules::{RollOutId, RollOutRules};
use crate::seen_roll_out::{RollOutEnd, RollOutOrder, SeenRollOut};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use crate::observations::{CallerEnd, Run, SeenAnswer};

#[derive(Debug)]
struct RequestRecord {
    route: RoutePlan,
    /// The daemon that its caller sent it to, if known.
    daemon: Option<SocketAddr>,
    /// Whether its caller has got an answer or has left.
    is_finished: bool,
}

#[derive(Debug, Default)]
struct Observations {
    requests: HashMap<String, RequestRecord>,
    runs: HashMap<String, Run>,
    arrivals: ArrivalRules,
    drain: DrainRule,
    places: PlaceRules,
    cold: ColdRule,
    fatal: FatalRule,
    roll_outs: RollOutRules,
    refused_unsafe: Vec<String>,
    violations: Vec<String>,
    counts: Counts,
}

/// Number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent by callers.
    pub asked: u64,
    /// Successes.
    pub served: u64,
    /// Successes with parts missing.
    pub partial: u64,
    /// Other answers.
    pub failed: u64,
    /// Requests without an answer.
    pub unanswered: u64,
}

/// Collects observations; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Oracle {
    seen: Arc<Mutex<Observations>>,
}

impl Oracle {
    /// Records a request before it is sent.
    pub fn record_request(&self, request: &str, route: &RoutePlan) {
        let mut seen = self.seen.lock();
        seen.counts.asked += 1;
        let record = RequestRecord {
            route: route.clone(),
            daemon: None,
            is_finished: false,
        };
        seen.requests.insert(request.to_owned(), record);
    }

    /// Records which daemon a request is sent to.
    pub fn record_daemon(&self, request: &str, daemon: SocketAddr) {
        if let Some(record) = self.seen.lock().requests.get_mut(request) {
            record.daemon = Some(daemon);
        }
    }

    /// Adds the store, whose disruptions excuse late reactions.
    pub fn add_store(&self, store: Disruptions) {
        self.seen.lock().drain.add_store(store);
    }

    /// Adds a daemon by its address for callers, with the disruptions of its process and of its link to the store.
    pub fn add_daemon(&self, address: SocketAddr, process_and_link: [Disruptions; 2]) {
        let mut seen = self.seen.lock();
        seen.drain.add_daemon(address, process_and_link);
    }

    /// Adds the link to a leaf.
    pub fn add_leaf_link(&self, leaf: &str, link: Disruptions) {
        self.seen.lock().drain.add_leaf_link(leaf, link);
    }

    /// Records that a caller disconnects before its request has ended.
    pub fn record_abandoned(&self, request: &str) {
        self.seen.lock().end_request(request);
    }

    /// Records that a request reached a leaf, whether it was run or not.
    pub fn record_arrival(&self, request: &str, leaf: &LeafPlan) {
        let mut seen = self.seen.lock();
        seen.cold.record_arrival(&leaf.id);
        seen.fatal.record_arrival(request);
        seen.arrivals.record_arrival(request, &leaf.service);
        seen.roll_outs.record_arrival(request, leaf);
        let sender = seen.sender(request);
        seen.drain.record_arrival(request, &leaf.id, sender);
    }

    /// Records that a request crashes leafs, before it is sent.
    pub fn record_fatal_request(&self, request: &str, identity: String) {
        self.seen.lock().fatal.record_request(request, identity);
    }

    /// Records that a request has crashed a leaf.
    pub fn record_crash(&self, request: &str) {
        self.seen.lock().fatal.record_crash(request);
    }

    /// Number of leafs that requests have crashed.
    pub fn crashed_leafs(&self) -> usize {
        self.seen.lock().fatal.crashed_leafs()
    }

    /// Whether a leaf was reached by this request, which must be one that crashes leafs.
    pub fn has_arrived(&self, request: &str) -> bool {
        self.seen.lock().fatal.has_arrived(request)
    }

    /// Records an answer that is bad because of the leaf's version.
    pub fn record_bad_answer(&self, leaf: &LeafPlan) {
        self.seen.lock().roll_outs.record_bad_answer(leaf);
    }

    /// Records an order to roll out. It supersedes earlier ones for the same service.
    pub fn record_order(&self, order: RollOutOrder) -> RollOutId {
        self.seen.lock().roll_outs.record_order(order)
    }

    /// Records that an order to roll out is replaced or withdrawn.
    pub fn record_superseded(&self, id: RollOutId) {
        self.seen.lock().roll_outs.record_superseded(id);
    }

    /// Records the outcome of a roll-out, as stated in the store.
    pub fn record_outcome(&self, id: RollOutId, end: RollOutEnd) {
        self.seen.lock().roll_outs.record_outcome(id, end);
    }

    /// Records that the store shows an unknown state, or no outcome although the roll-out has ended.
    pub fn record_changed_outcome(&self, id: RollOutId, state: &str) {
        self.seen.lock().roll_outs.record_changed_outcome(id, state);
    }

    /// Records the requests that were running on old leafs when these were stopped.
    pub fn record_interrupted(&self, id: RollOutId, requests: &[String]) {
        let mut seen = self.seen.lock();
        let is_awaited = |request: &&String| {
            let record = seen.requests.get(*request);
            record.is_some_and(|record| !record.is_finished)
        };
        let interrupted = requests.iter().filter(is_awaited).count();
        seen.roll_outs.record_interrupted(id, interrupted);
    }

    /// Records the start of a fault. `is_core` tells whether it affects daemons or their links.
    pub fn begin_fault(&self, is_core: bool) {
        let mut seen = self.seen.lock();
        seen.roll_outs.begin_fault(is_core);
        seen.fatal.begin_fault(is_core);
    }

    /// Records the end of a fault.
    pub fn end_fault(&self, is_core: bool) {
        let mut seen = self.seen.lock();
        seen.roll_outs.end_fault(is_core);
        seen.fatal.end_fault(is_core);
    }

    /// Observations of all roll-outs, in the sequence of their orders.
    pub fn roll_outs(&self) -> Vec<SeenRollOut> {
        self.seen.lock().roll_outs.seen()
    }

    /// Records a run under its signature.
    pub fn record_run(&self, signature: &str, run: Run) {
        let mut seen = self.seen.lock();
        let violation = match seen.requests.get(&run.request) {
            Some(record) => seen.places.check(&run, &record.route.homes),
            None => Some(format!("UNASKED: {} ran {}", run.leaf, run.request)),
        };
        seen.violations.extend(violation);
        seen.runs.insert(signature.to_owned(), run);
    }

    /// Records that the store has acknowledged a leaf's announcement that it leaves.
    pub fn record_draining(&self, leaf: &str) {
        self.seen
            .lock()
            .drain
            .record_left(leaf, Departure::Draining);
    }

    /// Records that the store has removed a leaf's entry.
    pub fn record_gone(&self, leaf: &str) {
        self.seen.lock().drain.record_left(leaf, Departure::Gone);
    }

    /// Records that a store that was restored from a copy has an entry of a leaf, which may have been gone.
    pub fn record_restored_entry(&self, leaf: &str) {
        self.seen.lock().drain.record_restored_entry(leaf);
    }

    /// Records that a leaf has started: announcements of an earlier run under its id no longer hold.
    pub fn record_leaf_start(&self, leaf: &str) {
        self.seen.lock().drain.record_start(leaf);
    }

    /// Records a leaf's announcement that it is cold for some time.
    pub fn record_cold(&self, leaf: &str, duration: Duration) {
        self.seen.lock().cold.record_cold(leaf, duration);
    }

    /// Records that the order to evacuate a zone was acknowledged.
    pub fn record_evacuation(&self, zone: &str) {
        self.seen.lock().places.record_evacuation(zone);
    }

    /// Records that the order to evacuate a zone is withdrawn.
    pub fn record_evacuation_end(&self, zone: &str) {
        self.seen.lock().places.record_evacuation_end(zone);
    }

    /// Records the end of a request and checks its answer.
    pub fn check_end(&self, request: &str, end: &CallerEnd) {
        let mut seen = self.seen.lock();
        seen.end_request(request);
        match end {
            CallerEnd::NoAnswer => seen.counts.unanswered += 1,
            CallerEnd::Answer(answer) => {
                if let Some(text) = seen.check(request, answer) {
                    seen.violations.push(text);
                }
                seen.count(answer);
            }
        }
    }

    /// Counts so far.
    pub fn counts(&self) -> Counts {
        self.seen.lock().counts
    }

    /// Runs of one request.
    pub fn runs(&self, request: &str) -> Vec<Run> {
        let seen = self.seen.lock();
        let runs = seen.runs.values().filter(|run| run.request == request);
        runs.cloned().collect()
    }

    /// All violations. `drain_limit` is the time after which a leaving leaf must get nothing, `budget`
    /// bounds extra arrivals.
    pub fn violations(&self, drain_limit: Duration, budget: ArrivalBudget) -> Vec<String> {
        let seen = self.seen.lock();
        let mut violations = seen.violations.clone();
        violations.extend(seen.duplicate_runs());
        violations.extend(seen.refused_but_run());
        violations.extend(seen.drain.violations(drain_limit));
        violations.extend(seen.arrivals.violations(budget));
        violations.extend(seen.cold.violations());
        violations.extend(seen.roll_outs.violations());
        violations.extend(seen.fatal.violations());
        violations
    }
}

impl Observations {
    /// The daemon that sends a request to leafs; none if it is not known: queries may run at another daemon.
    fn sender(&self, request: &str) -> Option<SocketAddr> {
        let record = self.requests.get(request)?;
        match record.route.target {
            RouteTarget::Shards { .. } => None,
            RouteTarget::Services(_) => record.daemon,
        }
    }

    fn end_request(&mut self, request: &str) {
        if let Some(record) = self.requests.get_mut(request) {
            record.is_finished = true;
        }
    }

    fn count(&mut self, answer: &SeenAnswer) {
        if (200..300).contains(&answer.status) {
            self.counts.served += 1;
            if answer.missing > 0 {
                self.counts.partial += 1;
            }
        } else {
            self.counts.failed += 1;
        }
    }

    fn check(&mut self, request: &str, answer: &SeenAnswer) -> Option<String> {
        let route = self.requests.get(request)?.route.clone();
        if let Some(violation) = self.fatal.check_refusal(request, answer) {
            return Some(violation);
        }
        if matches!(answer.status, 408 | 421 | 429 | 503) && !route.safe {
            self.refused_unsafe.push(request.to_owned());
        }
        check_answer(&self.runs, request, &route, answer)
    }

    fn duplicate_runs(&self) -> Vec<String> {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for run in self.runs.values() {
            *runs.entry(run.request.as_str()).or_default() += 1;
        }
        let unsafe_twice = runs.into_iter().filter(|(request, count)| {
            let record = self.requests.get(*request);
            *count > 1 && record.is_some_and(|record| !record.route.safe)
        });
        unsafe_twice
            .map(|(request, count)| format!("TWICE: {request} ran {count} times"))
            .collect()
    }

    fn refused_but_run(&self) -> Vec<String> {
        let has_run = |request: &String| self.runs.values().any(|run| run.request == *request);
        let violating = self
            .refused_unsafe
            .iter()
            .filter(|request| has_run(request));
        violating
            .map(|request| format!("REFUSED: {request} was refused and has run"))
            .collect()
    }
}
