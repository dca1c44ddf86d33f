//! How slow one leaf is, relative to what is typical for a kind of request.
//!
//! A short pause makes the answers late that were under way, all at once; it says nothing about
//! later requests. A leaf whose next answer is late too, to a request sent after the late one, is
//! slow, and each further request to find out how slow would be late as well.

use std::time::Duration;
use tansylead_types::Moment;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.2;
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
    /// When the last late answer came, if no timely one came since.
    late_at: Option<Moment>,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            answered_at: Moment::default(),
            late_at: None,
        }
    }
}

impl Slowness {
    /// When the leaf last answered.
    pub fn answered_at(&self) -> Moment {
        self.answered_at
    }

    /// Notes an answer in time that took `ratio` times what is typical.
    pub fn on_timely(&mut self, now: Moment, ratio: f64) {
        self.answered_at = now;
        self.late_at = None;
        self.add(ratio);
    }

    /// Notes a late answer to a request sent at `sent`.
    pub fn on_late(&mut self, now: Moment, sent: Moment, ratio: f64) {
        self.answered_at = now;
        if self.late_at.is_some_and(|late_at| sent >= late_at) {
            self.factor = self.factor.max(ratio);
        }
        self.late_at.get_or_insert(now);
    }

    /// Notes that a request waits for `ratio` times what is typical, although others are answered.
    pub fn on_waiting(&mut self, ratio: f64) {
        self.add(ratio);
    }

    /// The factor now; `usual_gap` lies between requests to the leaf.
    pub fn factor(&self, now: Moment, usual_gap: Duration) -> f64 {
        let gaps = usual_gap.saturating_mul(FORGOTTEN_GAPS);
        let lifetime = gaps.clamp(SHORTEST_LIFETIME, LONGEST_LIFETIME);
        let is_fresh = now.since(self.answered_at) < lifetime;
        if is_fresh { self.factor } else { 1.0 }
    }

    fn add(&mut self, ratio: f64) {
        self.factor += SAMPLE_WEIGHT * (ratio - self.factor);
    }
}
