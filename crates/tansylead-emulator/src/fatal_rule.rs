//! Checks that a request that crashes every leaf that runs it soon reaches no more leafs, and that no other request
//! is refused as such a one.

use crate::observations::SeenAnswer;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Prefix of the last path segment of such a request.
pub const FATAL_ITEM: &str = "fatal-";
/// Number of crashed leafs after which a request is known to crash leafs.
const CRASHES_UNTIL_KNOWN: usize = 3;
/// Time in which all daemons must learn of such a request once it is known.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// Number of copies of such a request that may reach leafs even after [`PROPAGATION_LIMIT`].
const TOLERATED_REQUESTS: usize = 3;
/// Text in the answer to a request that was refused because it crashes leafs.
const REFUSAL: &[u8] = b"ends_leafs";

/// Whether a request with this path crashes the leaf that runs it.
pub(crate) fn is_fatal(path: &str) -> bool {
    let item = path.rsplit('/').next().unwrap_or(path);
    item.starts_with(FATAL_ITEM)
}

/// Observations of such requests.
#[derive(Debug, Default)]
pub(crate) struct FatalRule {
    /// Identity of each request.
    identities: HashMap<String, String>,
    /// When leafs crashed, by identity.
    crashes: HashMap<String, Vec<Instant>>,
    /// Requests that reached leafs, and when; not during faults that affect daemons, nor within [`PROPAGATION_LIMIT`]
    /// after them.
    arrivals: Vec<(Instant, String)>,
    arrived: HashSet<String>,
    /// Number of ongoing faults that affect daemons.
    core_faults: u32,
    core_fault_ended: Option<Instant>,
}

impl FatalRule {
    /// Records a request before it is sent.
    pub(crate) fn record_request(&mut self, request: &str, identity: String) {
        self.identities.insert(request.to_owned(), identity);
    }

    /// Records that a request reached a leaf.
    pub(crate) fn record_arrival(&mut self, request: &str) {
        if !self.identities.contains_key(request) {
            return;
        }
        self.arrived.insert(request.to_owned());
        if self.is_undisturbed() {
            self.arrivals.push((Instant::now(), request.to_owned()));
        }
    }

    /// Records that a request has crashed a leaf.
    pub(crate) fn record_crash(&mut self, request: &str) {
        if let Some(identity) = self.identities.get(request) {
            let crashes = self.crashes.entry(identity.clone()).or_default();
            crashes.push(Instant::now());
        }
    }

    /// Number of leafs that have crashed.
    pub(crate) fn crashed_leafs(&self) -> usize {
        self.crashes.values().map(Vec::len).sum()
    }

    /// Whether a leaf was reached by this request, which must be one that crashes leafs.
    pub(crate) fn has_arrived(&self, request: &str) -> bool {
        self.arrived.contains(request)
    }

    /// Records the start of a fault.
    pub(crate) fn begin_fault(&mut self, is_core: bool) {
        self.core_faults += u32::from(is_core);
    }

    /// Records the end of a fault.
    pub(crate) fn end_fault(&mut self, is_core: bool) {
        if is_core {
            self.core_faults = self.core_faults.saturating_sub(1);
            self.core_fault_ended = Some(Instant::now());
        }
    }

    fn is_undisturbed(&self) -> bool {
        let has_recovered = self
            .core_fault_ended
            .is_none_or(|ended| ended.elapsed() > PROPAGATION_LIMIT);
        self.core_faults == 0 && has_recovered
    }

    /// Returns the violation of a request that was refused as one that crashes leafs although it does not.
    pub(crate) fn check_refusal(&self, request: &str, answer: &SeenAnswer) -> Option<String> {
        let is_refused = answer.status == 503
            && answer
                .body
                .windows(REFUSAL.len())
                .any(|part| part == REFUSAL);
        let is_harmless = !self.identities.contains_key(request);
        (is_refused && is_harmless)
            .then(|| format!("INNOCENT: {request} was refused as one that crashes leafs"))
    }

    /// Violations of requests that continued to reach leafs.
    pub(crate) fn violations(&self) -> Vec<String> {
        let violations = self.crashes.iter().filter_map(|(identity, crashes)| {
            let known_from = *crashes.get(CRASHES_UNTIL_KNOWN - 1)? + PROPAGATION_LIMIT;
            let late = self.arrivals.iter().filter(|(at, request)| {
                *at > known_from && self.identities.get(request) == Some(identity)
            });
            let requests: HashSet<&String> = late.map(|(_, request)| request).collect();
            (requests.len() > TOLERATED_REQUESTS).then(|| {
                format!(
                    "FATAL: {identity} reached leafs in {} more requests; {} crashed in all",
                    requests.len(),
                    crashes.len()
                )
            })
        });
        violations.collect()
    }
}
