//! Slowness of one leaf: its latency relative to the typical one of a kind of request.
//!
//! A short pause delays all answers that are in flight at once, but tells nothing about later
//! requests. A leaf is slow if the answer to a request sent after a late answer is late too. Each
//! further request that measures how slow it is would also be late, so a daemon that detects a slow
//! leaf tells others of its region, and they avoid the leaf without trying it themselves.

use crate::latency::OVERDUE_FACTOR;
use std::time::Duration;
use tansylead_types::Moment;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Upper bound on a factor reported by another daemon.
const LARGEST_REPORTED: f64 = 20.0;
/// Slowness expires after this many usual gaps between requests without an answer, so that one request
/// in this many tests whether the leaf is still slow.
const LIFETIME_GAPS: u32 = 8;
/// Lower and upper bound of the time after which slowness expires.
const SHORTEST_LIFETIME: Duration = Duration::from_secs(1);
const LONGEST_LIFETIME: Duration = Duration::from_secs(5);

/// Slowness of one leaf; 1 is average.
#[derive(Debug, Clone, Copy)]
pub struct Slowness {
    factor: f64,
    answered_at: Moment,
    /// When an answer or a report of another daemon last updated the factor.
    learned_at: Moment,
    /// When the first late answer since the last timely one came.
    late_at: Option<Moment>,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            answered_at: Moment::default(),
            learned_at: Moment::default(),
            late_at: None,
        }
    }
}

impl Slowness {
    /// When the leaf last answered.
    pub fn answered_at(&self) -> Moment {
        self.answered_at
    }

    /// Records a timely answer that took `ratio` times the typical latency. Returns whether this shows
    /// that a leaf that counted as slow is not.
    pub fn on_timely(&mut self, now: Moment, ratio: f64) -> bool {
        let was_slow = self.factor > OVERDUE_FACTOR;
        self.answered_at = now;
        self.learned_at = now;
        self.late_at = None;
        // With a greater factor the answer would have been late.
        self.factor = self.factor.min(OVERDUE_FACTOR);
        self.add(ratio);
        was_slow
    }

    /// Records a late answer to a request sent at `sent`. Returns whether this shows that the leaf is
    /// slow.
    pub fn on_late(&mut self, now: Moment, sent: Moment, ratio: f64) -> bool {
        self.answered_at = now;
        self.learned_at = now;
        let is_slow = self.late_at.is_some_and(|late_at| sent >= late_at);
        if is_slow {
            self.factor = self.factor.max(ratio);
        }
        self.late_at.get_or_insert(now);
        is_slow
    }

    /// Handles another daemon's report that the leaf takes `factor` times the typical latency.
    pub fn on_reported(&mut self, now: Moment, factor: f64) {
        self.factor = factor.clamp(1.0, LARGEST_REPORTED);
        self.learned_at = now;
    }

    /// Records that a request has waited `ratio` times the typical latency although others are answered.
    pub fn on_waiting(&mut self, ratio: f64) {
        self.add(ratio);
    }

    /// The factor at `now`; `usual_gap` is the usual gap between requests to the leaf.
    pub fn factor(&self, now: Moment, usual_gap: Duration) -> f64 {
        let gaps = usual_gap.saturating_mul(LIFETIME_GAPS);
        let lifetime = gaps.clamp(SHORTEST_LIFETIME, LONGEST_LIFETIME);
        let is_fresh = now.since(self.learned_at) < lifetime;
        if is_fresh { self.factor } else { 1.0 }
    }

    fn add(&mut self, ratio: f64) {
        self.factor += SAMPLE_WEIGHT * (ratio - self.factor);
    }
}
