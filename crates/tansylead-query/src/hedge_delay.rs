//! The learned delay after which an attempt counts as slow: a quantile of recent latencies.
//!
//! Two histograms cover overlapping windows: every sample goes into both, and every half window the
//! older one is cleared and becomes the newer one. The quantile comes from the older one, which,
//! while samples keep coming, holds those of between half a window and a whole window.

use hdrhistogram::Histogram;
use std::time::Duration;
use tansylead_types::Moment;

const MIN_LATENCY_MICROS: u64 = 1;
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Half of the window over which latencies are learned.
const HALF_WINDOW: Duration = Duration::from_secs(5);
/// The computed quantile is cached for this time.
const QUANTILE_LIFETIME: Duration = Duration::from_millis(50);
/// Number of samples below which there is no learned delay.
const MIN_SAMPLES: u64 = 50;
/// A hedge is never sent sooner.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Latencies of recent attempts and the delay learned from them.
#[derive(Debug, Clone)]
pub(crate) struct HedgeDelay {
    older: Histogram<u64>,
    newer: Histogram<u64>,
    rotated_at: Moment,
    quantile: f64,
    computed: Option<ComputedDelay>,
}

#[derive(Debug, Clone, Copy)]
struct ComputedDelay {
    at: Moment,
    delay: Option<Duration>,
}

impl HedgeDelay {
    /// No latencies recorded yet.
    pub(crate) fn new() -> Self {
        Self {
            older: empty_histogram(),
            newer: empty_histogram(),
            rotated_at: Moment::default(),
            quantile: 0.95,
            computed: None,
        }
    }

    /// Sets the quantile, 0 to 1.
    pub(crate) fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile.clamp(0.0, 1.0);
        self.computed = None;
    }

    /// Records how long an attempt took, or how long it had taken when it was cancelled.
    pub(crate) fn record(&mut self, now: Moment, latency: Duration) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        self.older.saturating_record(micros);
        self.newer.saturating_record(micros);
    }

    /// The delay, or none while there are too few samples.
    pub(crate) fn delay(&mut self, now: Moment) -> Option<Duration> {
        if let Some(computed) = self.computed
            && now.since(computed.at) < QUANTILE_LIFETIME
        {
            return computed.delay;
        }
        self.rotate(now);
        let delay = self.compute();
        self.computed = Some(ComputedDelay { at: now, delay });
        delay
    }

    /// The delay that was computed last.
    pub(crate) fn last_delay(&self) -> Option<Duration> {
        self.computed?.delay
    }

    fn compute(&self) -> Option<Duration> {
        if self.older.len() < MIN_SAMPLES {
            return None;
        }
        let micros = self.older.value_at_quantile(self.quantile);
        Some(Duration::from_micros(micros).max(MIN_DELAY))
    }

    fn rotate(&mut self, now: Moment) {
        let elapsed = now.since(self.rotated_at);
        if elapsed < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.older, &mut self.newer);
        self.newer.reset();
        if elapsed >= HALF_WINDOW * 2 {
            self.older.reset();
        }
        self.rotated_at = now;
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(MIN_LATENCY_MICROS, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}
