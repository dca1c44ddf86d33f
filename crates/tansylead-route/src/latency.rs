//! Learned latency of one kind of request, and when an answer counts as overdue.
//!
//! The upper quartile is learned rather than a high quantile: pauses and slow leafs affect the high
//! quantiles, and would raise the very delay that is meant to detect them.

use hdrhistogram::Histogram;
use std::time::Duration;
use tansylead_types::Moment;

/// Resolution of the histogram.
const UNIT: Duration = Duration::from_micros(100);
const LONGEST_UNITS: u64 = 600_000;
const SIGNIFICANT_DIGITS: u8 = 1;
/// Half of the window over which latencies are learned.
const HALF_WINDOW: Duration = Duration::from_secs(5);
/// With fewer samples the latency counts as unknown.
const MINIMUM_SAMPLES: u64 = 20;
const QUANTILE: f64 = 0.75;
/// An answer is overdue after the learned quantile times this factor. More than 99 in 100 answers are
/// faster if the standard deviation of the latencies' logarithms is at most 0.5.
pub(crate) const OVERDUE_FACTOR: f64 = 2.2;

/// Latencies of one kind of request, without the network round trip.
#[derive(Debug, Clone)]
pub struct LatencyProfile {
    older: Histogram<u32>,
    newer: Histogram<u32>,
    rotated_at: Moment,
}

impl Default for LatencyProfile {
    fn default() -> Self {
        Self {
            older: empty_histogram(),
            newer: empty_histogram(),
            rotated_at: Moment::default(),
        }
    }
}

impl LatencyProfile {
    /// Records how long an answer took.
    pub fn record(&mut self, now: Moment, latency: Duration) {
        self.rotate(now);
        let units = (latency.as_micros() / UNIT.as_micros()).max(1);
        let units = u64::try_from(units).unwrap_or(LONGEST_UNITS);
        self.older.saturating_record(units);
        self.newer.saturating_record(units);
    }

    /// Typical latency: the upper quartile; none while there are too few samples.
    pub fn typical(&self) -> Option<Duration> {
        if self.older.len() < MINIMUM_SAMPLES {
            return None;
        }
        let units = self.older.value_at_quantile(QUANTILE);
        Some(UNIT * u32::try_from(units).unwrap_or(u32::MAX))
    }

    /// Time after which an answer is overdue; none while there are too few samples.
    pub fn overdue(&self) -> Option<Duration> {
        self.typical()
            .map(|typical| typical.mul_f64(OVERDUE_FACTOR))
    }

    fn rotate(&mut self, now: Moment) {
        let elapsed = now.since(self.rotated_at);
        if elapsed < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.older, &mut self.newer);
        self.newer.reset();
        if elapsed >= HALF_WINDOW * 4 {
            self.older.reset();
        }
        self.rotated_at = now;
    }
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST_UNITS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}
