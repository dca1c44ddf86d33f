//! Circuit breaker of one leaf: keeps new requests away from a leaf that has stopped answering.
//!
//! One overdue answer opens the breaker. After a single failure any answer allows a probe at once,
//! since short pauses are ordinary. After further failures the leaf gets one probe request at a
//! time, with exponential backoff, until a probe is answered in time.

use std::time::Duration;
use tansylead_types::Moment;

/// Longest wait before the next probe.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Upper bound on the doublings of the wait.
const MAXIMUM_DOUBLINGS: u32 = 6;
/// A failure to connect counts as this many failures: the leaf is most likely gone.
const UNREACHABLE_WEIGHT: u32 = 2;

/// Whether a leaf may get a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakerVerdict {
    /// The breaker is closed.
    Healthy,
    /// The breaker is half-open: one probe request may be sent.
    Probe,
    /// The breaker is open: use the leaf only if no other is left.
    Avoid,
}

/// State of the breaker.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    /// Failures since the breaker was last closed.
    failures: u32,
    /// The leaf is avoided until this moment.
    avoid_until: Moment,
    /// Requests sent before this moment say nothing about the leaf's present state.
    relevant_from: Moment,
    /// When the probe request in flight was sent.
    probe_since: Option<Moment>,
}

impl Breaker {
    /// Whether the leaf may get a new request now.
    pub fn verdict(&self, now: Moment) -> BreakerVerdict {
        if self.failures == 0 {
            BreakerVerdict::Healthy
        } else if now < self.avoid_until || self.probe_since.is_some() {
            BreakerVerdict::Avoid
        } else {
            BreakerVerdict::Probe
        }
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: Moment) {
        if self.failures > 0 && self.probe_since.is_none() {
            self.probe_since = Some(now);
        }
    }

    /// Records that a request sent at `sent` has had no answer within `delay`. Returns whether this
    /// opened the breaker.
    pub fn on_overdue(&mut self, now: Moment, sent: Moment, delay: Duration) -> bool {
        if sent < self.relevant_from {
            return false;
        }
        self.add_failures(now, delay, 1)
    }

    /// Records that the leaf could not be reached. Returns whether this opened the breaker.
    pub fn on_unreachable(&mut self, now: Moment, delay: Duration) -> bool {
        self.add_failures(now, delay, UNREACHABLE_WEIGHT)
    }

    /// Records an answer to a request sent at `sent`; `timely` if it was not overdue. Returns whether
    /// this closed the breaker.
    pub fn on_answer(&mut self, now: Moment, sent: Moment, timely: bool) -> bool {
        let was_open = self.failures > 0;
        if self.probe_since.is_some_and(|since| sent >= since) {
            self.probe_since = None;
        }
        let is_relevant = sent >= self.relevant_from;
        if was_open && timely && is_relevant {
            self.failures = 0;
            self.probe_since = None;
            return true;
        }
        // The end of a single pause: allow a probe at once.
        if self.failures == 1 {
            self.avoid_until = now;
        }
        false
    }

    /// Records that the probe request ended without telling anything about the leaf.
    pub fn on_abandoned(&mut self, sent: Moment) {
        if self.probe_since.is_some_and(|since| sent >= since) {
            self.probe_since = None;
        }
    }

    fn add_failures(&mut self, now: Moment, delay: Duration, failures: u32) -> bool {
        let opened = self.failures == 0;
        self.failures = self.failures.saturating_add(failures);
        let doublings = (self.failures - 1).min(MAXIMUM_DOUBLINGS);
        let wait = (delay * 2_u32.pow(doublings)).min(LONGEST_WAIT);
        self.avoid_until = now + wait;
        self.relevant_from = now;
        self.probe_since = None;
        opened
    }
}
