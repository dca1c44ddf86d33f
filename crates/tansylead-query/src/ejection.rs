//! Ejection of one leaf: for a limited time it is used only where no other replica is left.
//!
//! Stragglers are found by comparison with the other leafs ([`is_straggler`]); the leaf table
//! bounds the fraction of leafs ejected as stragglers. A leaf with consecutive failures is ejected
//! whatever that fraction is. When an ejection ends the leaf is probed with slow start; the next
//! ejection lasts twice as long.

use std::time::Duration;
use tansylead_types::Moment;

/// Consecutive failures (connection, error, nothing sent) that eject a leaf.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Upper bound on the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// After this long in service the next ejection of a leaf lasts [`MIN_EJECTION`] again.
const EJECTION_COUNT_RESET_AFTER: Duration = Duration::from_secs(60);
/// A straggler's latency is at least this multiple of the median of all leafs.
const STRAGGLER_FACTOR: f64 = 3.0;
/// A straggler's latency is also at least this much above the median.
const STRAGGLER_MARGIN: Duration = Duration::from_millis(5);

/// Why a leaf is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// Much slower than the others.
    Straggler,
    /// Consecutive attempts failed.
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
    consecutive_failures: u32,
    consecutive_ejections: u32,
    returned_at: Option<Moment>,
}

impl EjectionState {
    /// Whether the leaf is ejected.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected.is_some_and(|ejected| now < ejected.until)
    }

    /// Whether the leaf is ejected for failures.
    pub(crate) fn is_ejected_for_failures(&self, now: Moment) -> bool {
        self.ejected
            .is_some_and(|ejected| ejected.cause == EjectionCause::Failures && now < ejected.until)
    }

    /// Records an answer or a refusal, which shows that the leaf is alive.
    pub(crate) fn on_reply(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed attempt. Returns whether the leaf must now be ejected.
    pub(crate) fn on_failure(&mut self, now: Moment) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            && !self.is_ejected_for_failures(now)
    }

    /// Ejects the leaf; returns when the ejection ends.
    pub(crate) fn eject(&mut self, now: Moment, cause: EjectionCause) -> Moment {
        let resets_count = self
            .returned_at
            .is_none_or(|at| now.since(at) >= EJECTION_COUNT_RESET_AFTER);
        self.consecutive_ejections = if resets_count {
            0
        } else {
            self.consecutive_ejections + 1
        };
        let factor = 2_u32.saturating_pow(self.consecutive_ejections.min(16));
        let duration = MIN_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        let until = now + duration;
        self.ejected = Some(Ejected { until, cause });
        until
    }

    /// Ends an ejection that is due. Returns whether there was one.
    pub(crate) fn end_if_due(&mut self, now: Moment) -> bool {
        let due = self.ejected.is_some_and(|ejected| ejected.until <= now);
        if due {
            self.ejected = None;
            // The next failure ejects the leaf again.
            self.consecutive_failures = CONSECUTIVE_FAILURES_TO_EJECT - 1;
            self.returned_at = Some(now);
        }
        due
    }
}

/// Whether a leaf with this latency is a straggler.
pub(crate) fn is_straggler(latency: Duration, median: Duration) -> bool {
    let above_factor = latency.as_secs_f64() >= median.as_secs_f64() * STRAGGLER_FACTOR;
    above_factor && latency >= median + STRAGGLER_MARGIN
}
