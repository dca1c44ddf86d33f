//! What callers and leafs have seen, and which promises that breaks.

use crate::cold_rule::ColdRule;
use crate::configuration::{RoutePlan, RouteTarget};
use crate::place_rules::PlaceRules;
use parking_lot::Mutex;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of a record.
const RECORD_BYTES: usize = 16;

/// One request run by a leaf.
#[derive(Debug, Clone)]
pub struct Run {
    /// The caller's id.
    pub request: String,
    /// Service of the leaf.
    pub service: String,
    /// Leaf.
    pub leaf: String,
    /// Zone of the leaf.
    pub zone: String,
    /// Status the leaf answered with.
    pub status: u16,
    /// Body the leaf answered with.
    pub body: Vec<u8>,
    /// When it ran.
    pub at: Instant,
}

/// An answer as its caller sees it.
#[derive(Debug, Clone)]
pub struct SeenAnswer {
    /// Status.
    pub status: u16,
    /// The leaf's signature.
    pub signature: Option<String>,
    /// Signatures of parts.
    pub parts: Option<Vec<String>>,
    /// Shards said to be missing.
    pub missing: usize,
    /// Body.
    pub body: Vec<u8>,
}

/// How a caller's request ended.
#[derive(Debug, Clone)]
pub enum CallerEnd {
    /// With an answer.
    Answer(SeenAnswer),
    /// Without one: the connection ended or the time was up.
    Nothing,
}

#[derive(Debug)]
struct Asked {
    route: RoutePlan,
}

#[derive(Debug, Default)]
struct Seen {
    asked: HashMap<String, Asked>,
    runs: HashMap<String, Run>,
    runs_of: HashMap<String, Vec<String>>,
    arrivals: Vec<Arrival>,
    draining: HashMap<String, Instant>,
    places: PlaceRules,
    cold: ColdRule,
    refused_unsafe: Vec<String>,
    violations: Vec<String>,
    counts: Counts,
}

#[derive(Debug, Clone)]
struct Arrival {
    at: Instant,
    service: String,
    is_extra: bool,
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
        };
        seen.asked.insert(request.to_owned(), asked);
    }

    /// Notes that a request reached a leaf, run or not.
    pub fn arrive(&self, request: &str, service: &str, leaf: &str) {
        let mut seen = self.seen.lock();
        seen.cold.arrive(leaf);
        let earlier = seen.arrivals.len();
        let key = format!("{request}/{service}");
        let runs = seen.runs_of.entry(key).or_default();
        let is_extra = !runs.is_empty();
        runs.push(earlier.to_string());
        seen.arrivals.push(Arrival {
            at: Instant::now(),
            service: service.to_owned(),
            is_extra,
        });
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
        violations.extend(seen.over_budget(budget));
        violations.extend(seen.cold.violations());
        violations
    }
}

/// Bound on arrivals beyond the first of each request.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalBudget {
    /// For each request.
    pub ratio: f64,
    /// Beyond the ratio.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

impl Seen {
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
        let success = (200..300).contains(&answer.status);
        if matches!(answer.status, 408 | 421 | 429 | 503) && !route.safe {
            self.refused_unsafe.push(request.to_owned());
        }
        match (&route.target, success) {
            (RouteTarget::Services(_), _) => self.check_single(request, answer, success),
            (RouteTarget::Shards { .. }, true) => self.check_merged(request, &route, answer),
            (RouteTarget::Shards { .. }, false) => None,
        }
    }

    fn check_single(&self, request: &str, answer: &SeenAnswer, success: bool) -> Option<String> {
        let Some(signature) = &answer.signature else {
            return success.then(|| format!("MIXED: {request}: success without signature"));
        };
        let Some(run) = self.runs.get(signature) else {
            return Some(format!("MIXED: {request}: unknown signature {signature}"));
        };
        let fits = run.request == request
            && run.status == answer.status
            && (!success || run.body == answer.body);
        (!fits).then(|| {
            format!(
                "MIXED: {request}: not the answer of its run at {}",
                run.leaf
            )
        })
    }

    fn check_merged(
        &self,
        request: &str,
        route: &RoutePlan,
        answer: &SeenAnswer,
    ) -> Option<String> {
        let RouteTarget::Shards {
            shards,
            top,
            minimum_coverage,
        } = &route.target
        else {
            return None;
        };
        let Some(parts) = &answer.parts else {
            return Some(format!("MIXED: {request}: merged answer without parts"));
        };
        let mut services = BTreeSet::new();
        let mut records: Vec<&[u8]> = Vec::new();
        for signature in parts {
            let Some(run) = self.runs.get(signature) else {
                return Some(format!("MIXED: {request}: unknown part {signature}"));
            };
            let good = run.request == request
                && run.status == 200
                && shards.contains(&run.service)
                && services.insert(run.service.as_str());
            if !good {
                return Some(format!(
                    "MIXED: {request}: part {signature} does not belong"
                ));
            }
            records.extend(run.body.chunks_exact(RECORD_BYTES));
        }
        records.sort_unstable();
        records.reverse();
        records.truncate(*top);
        let covered = parts.len() as f64 >= minimum_coverage * shards.len() as f64 - 1e-9;
        if parts.len() + answer.missing != shards.len() || !covered || parts.is_empty() {
            return Some(format!(
                "MIXED: {request}: coverage is not true or too small"
            ));
        }
        (records.concat() != answer.body)
            .then(|| format!("MIXED: {request}: not the greatest records of its parts"))
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

    fn over_budget(&self, budget: ArrivalBudget) -> Vec<String> {
        let services: BTreeSet<&str> = self.arrivals.iter().map(|a| a.service.as_str()).collect();
        let broken = services.into_iter().filter(|service| {
            let arrivals: Vec<&Arrival> = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.service == *service)
                .collect();
            exceeds(&arrivals, budget)
        });
        broken
            .map(|service| format!("BUDGET: extra arrivals at {service}"))
            .collect()
    }
}

fn exceeds(arrivals: &[&Arrival], budget: ArrivalBudget) -> bool {
    let firsts = |from: Instant, until: Instant| {
        let inside = arrivals
            .iter()
            .filter(|arrival| !arrival.is_extra && arrival.at >= from && arrival.at < until);
        inside.count()
    };
    arrivals.iter().any(|start| {
        let until = start.at + budget.window;
        let window = arrivals
            .iter()
            .filter(|arrival| arrival.at >= start.at && arrival.at < until);
        let extra = window.filter(|arrival| arrival.is_extra).count();
        if extra as f64 <= budget.slack {
            return false;
        }
        let before = start.at.checked_sub(budget.window).unwrap_or(start.at);
        let requests = firsts(start.at, until).max(firsts(before, start.at));
        extra as f64 > budget.ratio * requests as f64 + budget.slack
    })
}
