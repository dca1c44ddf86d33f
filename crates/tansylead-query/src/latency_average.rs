//! Exponentially weighted moving average of one leaf's latency.
//!
//! The average expires when there has been no sample for [`LIFETIME`]: a leaf that is avoided for
//! its latency gets no samples, and would be avoided for ever.

use std::time::Duration;
use tansylead_types::Moment;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// An average without new samples is used for this time.
const LIFETIME: Duration = Duration::from_secs(5);

/// Average latency of one leaf.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyAverage {
    seconds: f64,
    samples: u32,
    sampled_at: Moment,
}

impl LatencyAverage {
    /// Records the latency of an attempt that ended.
    pub(crate) fn record(&mut self, now: Moment, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.is_expired(now) {
            self.samples = 0;
        }
        self.sampled_at = now;
        self.seconds = if self.samples == 0 {
            sample
        } else {
            self.seconds + SAMPLE_WEIGHT * (sample - self.seconds)
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Records an attempt that was cancelled or failed: its latency is at least the elapsed time.
    pub(crate) fn record_at_least(&mut self, now: Moment, elapsed: Duration) {
        if self.is_expired(now) || elapsed.as_secs_f64() > self.seconds {
            self.record(now, elapsed);
        }
    }

    /// The average; none before the first sample and after it has expired.
    pub(crate) fn average(&self, now: Moment) -> Option<Duration> {
        (!self.is_expired(now)).then(|| Duration::from_secs_f64(self.seconds))
    }

    /// Number of samples in the average.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }

    fn is_expired(&self, now: Moment) -> bool {
        self.samples == 0 || now.since(self.sampled_at) >= LIFETIME
    }
}
