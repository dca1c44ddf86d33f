//! Exponentially weighted moving average of one leaf's latency.
//!
//! The average is forgotten when no sample has come for [`LIFETIME`]: a leaf that is avoided for
//! its latency gets no samples, and would be avoided for ever.

use std::time::Duration;
use tansylead_types::Moment;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// An average without new samples is believed for this time.
const LIFETIME: Duration = Duration::from_secs(5);

/// Average latency of one leaf.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyAverage {
    seconds: f64,
    samples: u32,
    sampled_at: Moment,
}

impl LatencyAverage {
    /// Notes a whole attempt.
    pub(crate) fn record(&mut self, now: Moment, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.is_forgotten(now) {
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

    /// Notes an attempt that was cancelled: it would have taken at least this long.
    pub(crate) fn record_at_least(&mut self, now: Moment, elapsed: Duration) {
        if self.is_forgotten(now) || elapsed.as_secs_f64() > self.seconds {
            self.record(now, elapsed);
        }
    }

    /// The average; none before the first sample and after a long time without samples.
    pub(crate) fn average(&self, now: Moment) -> Option<Duration> {
        (!self.is_forgotten(now)).then(|| Duration::from_secs_f64(self.seconds))
    }

    /// Samples in the average.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }

    fn is_forgotten(&self, now: Moment) -> bool {
        self.samples == 0 || now.since(self.sampled_at) >= LIFETIME
    }
}
