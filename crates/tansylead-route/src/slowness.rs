//! How slow one leaf is, relative to what is typical for a kind of request.
//!
//! A short pause makes the answers late that were under way, all at once; it says nothing about
//! later requests. A leaf whose next answer is late too, to a request sent after the late one, is
//! slow, and each further request to find out how slow would be late as well. So a daemon that finds
//! out tells others of its region, and they keep away without trying for themselves.

use crate::latency::OVERDUE_FACTOR;
use std::time::Duration;
use tansylead_types::Moment;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Largest factor that another daemon is believed.
const LARGEST_REPORTED: f64 = 20.0;
/// Slowness is forgotten after so many usual gaps between requests without an answer: one request
/// in so many finds out whether the leaf is still slow.
const FORGOTTEN_GAPS: u32 = 8;
/// Bounds of that time.
const SHORTEST_LIFETIME: Duration = Duration::from_secs(1);
const LONGEST_LIFETIME: Duration = Duration::from_secs(5);

/// Slowness of one leaf; 1 is average.
#[derive(Debug, Clone, Copy)]
pub struct Slowness {
    factor: f64,
    answered_at: Moment,
    /// When something was last learned of the factor, from an answer or from another daemon.
    learned_at: Moment,
    /// When the last late answer came, if no timely one came since.
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

    /// Notes an answer in time that took `ratio` times what is typical. Returns whether this shows
    /// that a leaf thought to be slow is not.
    pub fn on_timely(&mut self, now: Moment, ratio: f64) -> bool {
        let was_slow = self.factor > OVERDUE_FACTOR;
        self.answered_at = now;
        self.learned_at = now;
        self.late_at = None;
        // A leaf that takes longer would have been late.
        self.factor = self.factor.min(OVERDUE_FACTOR);
        self.add(ratio);
        was_slow
    }

    /// Notes a late answer to a request sent at `sent`. Returns whether this shows a slow leaf.
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

    /// Takes in another daemon's report that the leaf takes `factor` times what is typical.
    pub fn on_reported(&mut self, now: Moment, factor: f64) {
        self.factor = factor.clamp(1.0, LARGEST_REPORTED);
        self.learned_at = now;
    }

    /// Notes that a request waits for `ratio` times what is typical, although others are answered.
    pub fn on_waiting(&mut self, ratio: f64) {
        self.add(ratio);
    }

    /// The factor now; `usual_gap` lies between requests to the leaf.
    pub fn factor(&self, now: Moment, usual_gap: Duration) -> f64 {
        let gaps = usual_gap.saturating_mul(FORGOTTEN_GAPS);
        let lifetime = gaps.clamp(SHORTEST_LIFETIME, LONGEST_LIFETIME);
        let is_fresh = now.since(self.learned_at) < lifetime;
        if is_fresh { self.factor } else { 1.0 }
    }

    fn add(&mut self, ratio: f64) {
        self.factor += SAMPLE_WEIGHT * (ratio - self.factor);
    }
}
