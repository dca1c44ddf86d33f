//! Recent failure rate of one leaf, as a moving average.
//!
//! A leaf can fail a part of its requests while it answers the others fast and its health check
//! passes, so the rate is learned from its answers. Without new answers the average decays, so that
//! a leaf that was avoided is tried again.

use std::time::Duration;
use tansylead_types::Moment;

/// Weight of a new answer in the average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Without answers the rate halves in this time.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// A rate below this counts as zero.
const NEGLIGIBLE: f64 = 0.01;

/// Share of a leaf's recent answers that were failures.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    rate: f64,
    updated: Moment,
}

impl FailureRate {
    /// Records how one request ended.
    pub fn record(&mut self, now: Moment, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        let decayed = self.rate(now);
        self.rate = decayed + SAMPLE_WEIGHT * (sample - decayed);
        self.updated = now;
    }

    /// The rate now, 0 to 1.
    pub fn rate(&self, now: Moment) -> f64 {
        if self.rate < NEGLIGIBLE {
            return 0.0;
        }
        let halvings = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(halvings)
    }
}
