//! Exponentially weighted moving average of one leaf's latency.

use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Average latency of one leaf.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyAverage {
    seconds: f64,
    samples: u32,
}

impl LatencyAverage {
    /// Notes a whole attempt.
    pub(crate) fn record(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        self.seconds = if self.samples == 0 {
            sample
        } else {
            self.seconds + SAMPLE_WEIGHT * (sample - self.seconds)
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Notes an attempt that was cancelled: it would have taken at least this long.
    pub(crate) fn record_at_least(&mut self, elapsed: Duration) {
        if elapsed.as_secs_f64() > self.seconds {
            self.record(elapsed);
        }
    }

    /// The average; none before the first sample.
    pub(crate) fn average(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.seconds))
    }

    /// Samples so far.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}
