//! Ejection of one leaf: for a while it is used only where no other replica is left.
//!
//! Stragglers are found by comparison ([`is_straggler`]); their share is bounded by the leaf
//! table. A leaf whose attempts fail in a row is ejected without regard to the share. When an
//! ejection ends the leaf is probed with slow start; another one lasts twice as long.

use std::time::Duration;
use tansylead_types::Moment;

/// Failures in a row (connection, error, nothing sent) that eject a leaf.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection.
const SHORTEST_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// A leaf that stays in service this long after an ejection starts over at the shortest.
const FORGIVE_AFTER: Duration = Duration::from_secs(60);
/// A straggler's latency is at least this multiple of the median of all leafs.
const STRAGGLER_FACTOR: f64 = 3.0;
/// And at least this much above it.
const STRAGGLER_MARGIN: Duration = Duration::from_millis(5);

/// Why a leaf is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// Much slower than the others.
    Straggler,
    /// Attempts failed in a row.
    Failures,
}

#[derive(Debug, Clone, Copy)]
struct Ejected {
    until: Moment,
    cause: EjectionCause,
}

/// Ejection state of one leaf.
#[derive(Debug, Clone, Default)]
pub(crate) struct EjectionState {
    ejected: Option<Ejected>,
    failures: u32,
    streak: u32,
    returned_at: Option<Moment>,
}

impl EjectionState {
    /// Whether the leaf is ejected.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected.is_some_and(|ejected| now < ejected.until)
    }

    /// Whether the leaf is ejected for failures.
    pub(crate) fn is_failing(&self, now: Moment) -> bool {
        self.ejected
            .is_some_and(|ejected| ejected.cause == EjectionCause::Failures && now < ejected.until)
    }

    /// Notes an answer or a refusal: the leaf lives.
    pub(crate) fn on_reply(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed attempt. Returns whether the leaf must now be ejected.
    pub(crate) fn on_failure(&mut self, now: Moment) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT && !self.is_failing(now)
    }

    /// Ejects the leaf; returns when the ejection ends.
    pub(crate) fn eject(&mut self, now: Moment, cause: EjectionCause) -> Moment {
        let forgiven = self
            .returned_at
            .is_none_or(|at| now.since(at) >= FORGIVE_AFTER);
        self.streak = if forgiven { 0 } else { self.streak + 1 };
        let factor = 2_u32.saturating_pow(self.streak.min(16));
        let duration = SHORTEST_EJECTION
            .saturating_mul(factor)
            .min(LONGEST_EJECTION);
        let until = now + duration;
        self.ejected = Some(Ejected { until, cause });
        until
    }

    /// Ends an ejection that is due. Returns whether there was one.
    pub(crate) fn end_if_due(&mut self, now: Moment) -> bool {
        let due = self.ejected.is_some_and(|ejected| ejected.until <= now);
        if due {
            self.ejected = None;
            // One more failure ejects again.
            self.failures = FAILURES_TO_EJECT - 1;
            self.returned_at = Some(now);
        }
        due
    }
}

/// Whether a latency is that of a straggler.
pub(crate) fn is_straggler(latency: Duration, median: Duration) -> bool {
    let above_factor = latency.as_secs_f64() >= median.as_secs_f64() * STRAGGLER_FACTOR;
    above_factor && latency >= median + STRAGGLER_MARGIN
}
