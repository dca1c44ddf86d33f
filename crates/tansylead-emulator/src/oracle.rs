//! What callers and leafs have seen, and which promises that breaks.

use crate::answer_rules::check_answer;
use crate::arrival_rules::{ArrivalBudget, ArrivalRules};
use crate::cold_rule::ColdRule;
use crate::configuration::RoutePlan;
use crate::fatal_rule::FatalRule;
use crate::leaf::LeafPlan;
use crate::place_rules::PlaceRules;
use crate::roll_out_rules::{RollOutId, RollOutRules};
use crate::seen_roll_out::{RollOutEnd, RollOutOrder, SeenRollOut};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use crate::observations::{CallerEnd, Run, SeenAnswer};

#[derive(Debug)]
struct Asked {
    route: RoutePlan,
    /// Its caller has got an answer, or has left.
    is_over: bool,
}

#[derive(Debug, Default)]
struct Seen {
    asked: HashMap<String, Asked>,
    runs: HashMap<String, Run>,
    arrivals: ArrivalRules,
    draining: HashMap<String, Instant>,
    places: PlaceRules,
    cold: ColdRule,
    fatal: FatalRule,
    roll_outs: RollOutRules,
    refused_unsafe: Vec<String>,
    violations: Vec<String>,
    counts: Counts,
}

/// Numbers of requests by end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests asked.
    pub asked: u64,
    /// Successes.
    pub served: u64,
    /// Successes with parts missing.
    pub partial: u64,
    /// Other answers.
    pub failed: u64,
    /// No answer.
    pub nothing: u64,
}

/// Collects what is seen; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Oracle {
    seen: Arc<Mutex<Seen>>,
}

impl Oracle {
    /// Notes a request before it is sent.
    pub fn ask(&self, request: &str, route: &RoutePlan) {
        let mut seen = self.seen.lock();
        seen.counts.asked += 1;
        let asked = Asked {
            route: route.clone(),
            is_over: false,
        };
        seen.asked.insert(request.to_owned(), asked);
    }

    /// Notes that a caller leaves before its request has ended.
    pub fn leave_request(&self, request: &str) {
        self.seen.lock().end_request(request);
    }

    /// Notes that a request reached a leaf, run or not.
    pub fn arrive(&self, request: &str, leaf: &LeafPlan) {
        let mut seen = self.seen.lock();
        seen.cold.arrive(&leaf.id);
        seen.fatal.arrive(request);
        seen.arrivals.arrive(request, &leaf.service);
        seen.roll_outs.arrive(request, leaf);
    }

    /// Notes that a request is one that ends leafs, before it is sent.
    pub fn ask_fatal(&self, request: &str, identity: String) {
        self.seen.lock().fatal.ask(request, identity);
    }

    /// Notes that a leaf has ended because of a request.
    pub fn end_leaf(&self, request: &str) {
        self.seen.lock().fatal.end_leaf(request);
    }

    /// Leafs that have ended because of requests.
    pub fn ended_leafs(&self) -> usize {
        self.seen.lock().fatal.ended_leafs()
    }

    /// Whether a request has reached a leaf.
    pub fn has_arrived(&self, request: &str) -> bool {
        self.seen.lock().fatal.has_arrived(request)
    }

    /// Notes an answer that is bad because of the leaf's version.
    pub fn answer_badly(&self, leaf: &LeafPlan) {
        self.seen.lock().roll_outs.answer_badly(leaf);
    }

    /// Notes an order to roll out. Earlier ones for the same service no longer stand.
    pub fn order_roll_out(&self, order: RollOutOrder) -> RollOutId {
        self.seen.lock().roll_outs.order(order)
    }

    /// Notes that an order to roll out is taken back.
    pub fn supersede_roll_out(&self, id: RollOutId) {
        self.seen.lock().roll_outs.supersede(id);
    }

    /// Notes how a roll-out has ended, as the store says.
    pub fn end_roll_out(&self, id: RollOutId, end: RollOutEnd) {
        self.seen.lock().roll_outs.end(id, end);
    }

    /// Notes that the store says something else of a roll-out that has ended.
    pub fn turn_roll_out(&self, id: RollOutId, state: &str) {
        self.seen.lock().roll_outs.turn(id, state);
    }

    /// Notes the requests that ran on old leafs when they were stopped.
    pub fn cut(&self, id: RollOutId, requests: &[String]) {
        let mut seen = self.seen.lock();
        let waits = |request: &&String| {
            let asked = seen.asked.get(*request);
            asked.is_some_and(|asked| !asked.is_over)
        };
        let cut = requests.iter().filter(waits).count();
        seen.roll_outs.cut(id, cut);
    }

    /// Notes the beginning of a fault. `is_core` says that it strikes daemons or their links.
    pub fn begin_fault(&self, is_core: bool) {
        let mut seen = self.seen.lock();
        seen.roll_outs.begin_fault(is_core);
        seen.fatal.begin_fault(is_core);
    }

    /// Notes the end of a fault.
    pub fn end_fault(&self, is_core: bool) {
        let mut seen = self.seen.lock();
        seen.roll_outs.end_fault(is_core);
        seen.fatal.end_fault(is_core);
    }

    /// What was seen of each roll-out, in the order of the orders.
    pub fn roll_outs(&self) -> Vec<SeenRollOut> {
        self.seen.lock().roll_outs.seen()
    }

    /// Notes a run, under its signature.
    pub fn run(&self, signature: &str, run: Run) {
        let mut seen = self.seen.lock();
        let broken = match seen.asked.get(&run.request) {
            Some(asked) => seen.places.check(&run, &asked.route.homes),
            None => Some(format!("UNASKED: {} ran {}", run.leaf, run.request)),
        };
        seen.violations.extend(broken);
        seen.runs.insert(signature.to_owned(), run);
    }

    /// Notes that a leaf's word that it is leaving was acknowledged.
    pub fn leave(&self, leaf: &str) {
        let mut seen = self.seen.lock();
        seen.draining.insert(leaf.to_owned(), Instant::now());
    }

    /// Notes that a leaf has started: what its id said in an earlier run is over.
    pub fn start_leaf(&self, leaf: &str) {
        self.seen.lock().draining.remove(leaf);
    }

    /// Notes that a leaf says that it is cold for a while.
    pub fn turn_cold(&self, leaf: &str, length: Duration) {
        self.seen.lock().cold.turn_cold(leaf, length);
    }

    /// Notes that the order to empty a zone was acknowledged.
    pub fn evacuate(&self, zone: &str) {
        self.seen.lock().places.evacuate(zone);
    }

    /// Notes that the order to empty a zone is taken back.
    pub fn end_evacuation(&self, zone: &str) {
        self.seen.lock().places.end_evacuation(zone);
    }

    /// Checks the end of a request.
    pub fn end(&self, request: &str, end: &CallerEnd) {
        let mut seen = self.seen.lock();
        seen.end_request(request);
        match end {
            CallerEnd::Nothing => seen.counts.nothing += 1,
            CallerEnd::Answer(answer) => {
                if let Some(text) = seen.check(request, answer) {
                    seen.violations.push(text);
                }
                seen.count(answer);
            }
        }
    }

    /// Numbers so far.
    pub fn counts(&self) -> Counts {
        self.seen.lock().counts
    }

    /// Runs of one request.
    pub fn runs(&self, request: &str) -> Vec<Run> {
        let seen = self.seen.lock();
        let runs = seen.runs.values().filter(|run| run.request == request);
        runs.cloned().collect()
    }

    /// Everything that was broken. `drain` is the time after which a leaving leaf gets nothing,
    /// `budget` bounds extra arrivals.
    pub fn violations(&self, drain: Duration, budget: ArrivalBudget) -> Vec<String> {
        let seen = self.seen.lock();
        let mut violations = seen.violations.clone();
        violations.extend(seen.doubled());
        violations.extend(seen.refused_but_run());
        violations.extend(seen.late_at_leaving(drain));
        violations.extend(seen.arrivals.violations(budget));
        violations.extend(seen.cold.violations());
        violations.extend(seen.roll_outs.violations());
        violations.extend(seen.fatal.violations());
        violations
    }
}

impl Seen {
    fn end_request(&mut self, request: &str) {
        if let Some(asked) = self.asked.get_mut(request) {
            asked.is_over = true;
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
        let route = self.asked.get(request)?.route.clone();
        if let Some(broken) = self.fatal.check_refusal(request, answer) {
            return Some(broken);
        }
        if matches!(answer.status, 408 | 421 | 429 | 503) && !route.safe {
            self.refused_unsafe.push(request.to_owned());
        }
        check_answer(&self.runs, request, &route, answer)
    }

    fn doubled(&self) -> Vec<String> {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for run in self.runs.values() {
            *runs.entry(run.request.as_str()).or_default() += 1;
        }
        let unsafe_twice = runs.into_iter().filter(|(request, count)| {
            let asked = self.asked.get(*request);
            *count > 1 && asked.is_some_and(|asked| !asked.route.safe)
        });
        unsafe_twice
            .map(|(request, count)| format!("TWICE: {request} ran {count} times"))
            .collect()
    }

    fn refused_but_run(&self) -> Vec<String> {
        let run = |request: &String| self.runs.values().any(|run| run.request == *request);
        let broken = self.refused_unsafe.iter().filter(|request| run(request));
        broken
            .map(|request| format!("REFUSED: {request} was refused and has run"))
            .collect()
    }

    fn late_at_leaving(&self, drain: Duration) -> Vec<String> {
        let late = self.runs.values().filter(|run| {
            let left = self.draining.get(&run.leaf);
            left.is_some_and(|left| run.at.saturating_duration_since(*left) > drain)
        });
        late.map(|run| format!("DRAIN: {} ran {} after it left", run.leaf, run.request))
            .collect()
    }
}
