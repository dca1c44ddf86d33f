//! Draws how long one request runs.

use super::spec::{ColdStartSpec, LatencySpec};
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};
use std::time::Duration;

/// Longest time one request can take, whatever is drawn.
const LONGEST_RUN: Duration = Duration::from_secs(600);

/// Seeded source of latencies and of other random choices of one leaf.
#[derive(Debug)]
pub struct LatencySampler {
    random: StdRng,
    spec: LatencySpec,
    cold_start: ColdStartSpec,
}

impl LatencySampler {
    /// A sampler; equal seeds draw equal latencies.
    pub fn new(seed: u64, spec: LatencySpec, cold_start: ColdStartSpec) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            spec,
            cold_start,
        }
    }

    /// Draws the time one request takes, `since_start` after the leaf started.
    pub fn sample(&mut self, since_start: Duration, slowdown_factor: f64) -> Duration {
        let usual_millis = match LogNormal::new(self.spec.median_millis.ln(), self.spec.sigma) {
            Ok(distribution) => distribution.sample(&mut self.random),
            Err(_) => self.spec.median_millis,
        };
        let straggler_factor = if self.happens(self.spec.straggler_share) {
            self.spec.straggler_factor
        } else {
            1.0
        };
        let factor = straggler_factor * self.cold_factor(since_start) * slowdown_factor;
        let seconds = usual_millis * factor / 1_000.0;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(LONGEST_RUN)
            .min(LONGEST_RUN)
    }

    /// Whether something of that probability happens now.
    pub fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }

    fn cold_factor(&self, since_start: Duration) -> f64 {
        let fade_millis = self.cold_start.fade_millis as f64;
        let passed_millis = since_start.as_secs_f64() * 1_000.0;
        if passed_millis >= fade_millis {
            return 1.0;
        }
        let remaining_share = 1.0 - passed_millis / fade_millis;
        1.0 + (self.cold_start.factor - 1.0) * remaining_share
    }
}
