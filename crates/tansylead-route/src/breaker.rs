//! Circuit breaker of one leaf: keeps new requests away from a leaf that has stopped answering.
//!
//! One overdue answer opens the breaker. After a single strike any answer closes it again, since
//! short pauses are ordinary. After further strikes the leaf gets one probing request at a time,
//! after growing waits, until a probe is answered in time.

use std::time::Duration;
use tansylead_types::Moment;

/// Longest wait before the next probe.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Doublings of the wait at most.
const MAXIMUM_DOUBLINGS: u32 = 6;
/// Strikes for a failure to connect: the leaf is most likely gone.
const UNREACHABLE_STRIKES: u32 = 2;

/// Whether a leaf may get a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakerVerdict {
    /// Closed.
    Healthy,
    /// Open, and due for one probing request.
    Probe,
    /// Open; use the leaf only if nothing else is left.
    Avoid,
}

/// State of the breaker.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    strikes: u32,
    /// The leaf is avoided until then.
    avoid_until: Moment,
    /// Requests sent before this say nothing about the leaf's present state.
    judged_from: Moment,
    /// A probing request is out since then.
    probe_since: Option<Moment>,
}

impl Breaker {
    /// Whether the leaf may get a new request now.
    pub fn verdict(&self, now: Moment) -> BreakerVerdict {
        if self.strikes == 0 {
            BreakerVerdict::Healthy
        } else if now < self.avoid_until || self.probe_since.is_some() {
            BreakerVerdict::Avoid
        } else {
            BreakerVerdict::Probe
        }
    }

    /// Notes that a request was sent.
    pub fn on_sent(&mut self, now: Moment) {
        if self.strikes > 0 && self.probe_since.is_none() {
            self.probe_since = Some(now);
        }
    }

    /// Notes that a request sent at `sent` has had no answer within `delay`. Returns whether this
    /// opened the breaker.
    pub fn on_overdue(&mut self, now: Moment, sent: Moment, delay: Duration) -> bool {
        if sent < self.judged_from {
            return false;
        }
        self.strike(now, delay, 1)
    }

    /// Notes that the leaf could not be reached. Returns whether this opened the breaker.
    pub fn on_unreachable(&mut self, now: Moment, delay: Duration) -> bool {
        self.strike(now, delay, UNREACHABLE_STRIKES)
    }

    /// Notes an answer to a request sent at `sent`; `timely` if it was not overdue. Returns whether
    /// this closed the breaker.
    pub fn on_answer(&mut self, now: Moment, sent: Moment, timely: bool) -> bool {
        let was_open = self.strikes > 0;
        if self.probe_since.is_some_and(|since| sent >= since) {
            self.probe_since = None;
        }
        let judged = sent >= self.judged_from;
        if was_open && timely && judged {
            self.strikes = 0;
            self.probe_since = None;
            return true;
        }
        // The end of a first pause: probe at once.
        if self.strikes == 1 {
            self.avoid_until = now;
        }
        false
    }

    /// Notes that the probing request ended without saying anything about the leaf.
    pub fn on_abandoned(&mut self, sent: Moment) {
        if self.probe_since.is_some_and(|since| sent >= since) {
            self.probe_since = None;
        }
    }

    fn strike(&mut self, now: Moment, delay: Duration, strikes: u32) -> bool {
        let opened = self.strikes == 0;
        self.strikes = self.strikes.saturating_add(strikes);
        let doublings = (self.strikes - 1).min(MAXIMUM_DOUBLINGS);
        let wait = (delay * 2_u32.pow(doublings)).min(LONGEST_WAIT);
        self.avoid_until = now + wait;
        self.judged_from = now;
        self.probe_since = None;
        opened
    }
}
