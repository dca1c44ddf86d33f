//! A request that ends each leaf which begins to run it must soon reach none any more; others must not be
//! taken for such a one.

use crate::observations::SeenAnswer;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How the last part of such a request's path begins.
pub const FATAL_ITEM: &str = "fatal-";
/// Leafs after whose end a request is known to end leafs.
const KNOWN_AFTER: usize = 3;
/// Time in which all daemons must know of it.
const CONTACT: Duration = Duration::from_secs(5);
/// Requests that may reach leafs all the same.
const TOLERATED: usize = 3;
/// What the answer to a request says that was refused because leafs end under it.
const REFUSAL: &[u8] = b"ends_leafs";

/// Whether the leaf that runs a request with this path ends.
pub(crate) fn is_fatal(path: &str) -> bool {
    let item = path.rsplit('/').next().unwrap_or(path);
    item.starts_with(FATAL_ITEM)
}

/// What is seen of such requests.
#[derive(Debug, Default)]
pub(crate) struct FatalRule {
    /// Identity of each request.
    identities: HashMap<String, String>,
    /// When leafs ended, by identity.
    ends: HashMap<String, Vec<Instant>>,
    /// Requests that reached leafs, and when: only those sent while no fault struck daemons.
    arrivals: Vec<(Instant, String)>,
    arrived: HashSet<String>,
    /// Faults that strike daemons and last.
    core_faults: u32,
    core_fault_ended: Option<Instant>,
}

impl FatalRule {
    /// Notes a request before it is sent.
    pub(crate) fn ask(&mut self, request: &str, identity: String) {
        self.identities.insert(request.to_owned(), identity);
    }

    /// Notes that a request reached a leaf.
    pub(crate) fn arrive(&mut self, request: &str) {
        if !self.identities.contains_key(request) {
            return;
        }
        self.arrived.insert(request.to_owned());
        if self.is_in_touch() {
            self.arrivals.push((Instant::now(), request.to_owned()));
        }
    }

    /// Notes that a leaf has ended because of a request.
    pub(crate) fn end_leaf(&mut self, request: &str) {
        if let Some(identity) = self.identities.get(request) {
            let ends = self.ends.entry(identity.clone()).or_default();
            ends.push(Instant::now());
        }
    }

    /// Leafs that have ended.
    pub(crate) fn ended_leafs(&self) -> usize {
        self.ends.values().map(Vec::len).sum()
    }

    /// Whether a request has reached a leaf.
    pub(crate) fn has_arrived(&self, request: &str) -> bool {
        self.arrived.contains(request)
    }

    /// Notes the beginning of a fault.
    pub(crate) fn begin_fault(&mut self, is_core: bool) {
        self.core_faults += u32::from(is_core);
    }

    /// Notes the end of a fault.
    pub(crate) fn end_fault(&mut self, is_core: bool) {
        if is_core {
            self.core_faults = self.core_faults.saturating_sub(1);
            self.core_fault_ended = Some(Instant::now());
        }
    }

    fn is_in_touch(&self) -> bool {
        let rested = self
            .core_fault_ended
            .is_none_or(|ended| ended.elapsed() > CONTACT);
        self.core_faults == 0 && rested
    }

    /// Whether a request was refused as one that ends leafs, and is none.
    pub(crate) fn check_refusal(&self, request: &str, answer: &SeenAnswer) -> Option<String> {
        let is_refused = answer.status == 503
            && answer
                .body
                .windows(REFUSAL.len())
                .any(|part| part == REFUSAL);
        let is_innocent = !self.identities.contains_key(request);
        (is_refused && is_innocent)
            .then(|| format!("INNOCENT: {request} was refused as one that ends leafs"))
    }

    /// Requests that went on reaching leafs.
    pub(crate) fn violations(&self) -> Vec<String> {
        let broken = self.ends.iter().filter_map(|(identity, ends)| {
            let known_from = *ends.get(KNOWN_AFTER - 1)? + CONTACT;
            let late = self.arrivals.iter().filter(|(at, request)| {
                *at > known_from && self.identities.get(request) == Some(identity)
            });
            let requests: HashSet<&String> = late.map(|(_, request)| request).collect();
            (requests.len() > TOLERATED).then(|| {
                format!(
                    "FATAL: {identity} reached leafs in {} more requests; {} ended in all",
                    requests.len(),
                    ends.len()
                )
            })
        });
        broken.collect()
    }
}
