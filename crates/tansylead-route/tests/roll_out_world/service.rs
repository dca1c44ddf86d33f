//! Random requests and answers of a simulated service.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Defect of the target version.
#[derive(Debug, Clone, Default)]
pub struct Defect {
    /// Share of bad answers beyond the usual one.
    pub failing: f64,
    /// Factor of the latency; 0 and 1 are as fast as the old version.
    pub slow: f64,
    /// Part of the duration after which the defect shows.
    pub starts_at: f64,
    /// The defect shows only when all requests go to the target version.
    pub only_under_load: bool,
    /// The defect shows only on the first route.
    pub only_one_route: bool,
}

/// A fault that is not caused by the target version.
#[derive(Debug, Clone, Copy)]
pub struct UnrelatedFault {
    /// Start of the fault, in milliseconds.
    pub from: u64,
    /// End of the fault, in milliseconds.
    pub to: u64,
    /// Share of bad answers of old leafs.
    pub old_failing: f64,
    /// Share of bad answers of leafs of the target version.
    pub new_failing: f64,
    /// Factor of the latency of both versions.
    pub slow: f64,
}

/// Load and answers of the service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Requests a second.
    pub rate: f64,
    pub routes: u32,
    /// Median latency in milliseconds.
    pub median_millis: f64,
    /// Standard deviation of the logarithm of the latency.
    pub spread: f64,
    /// Usual share of bad answers.
    pub usual_failures: f64,
    /// When leafs of the target version begin to answer, in milliseconds.
    pub starts_after: u64,
    pub defect: Defect,
    pub unrelated_fault: Option<UnrelatedFault>,
}

/// Answer to one attempt.
pub struct Answer {
    pub latency: Duration,
    pub is_good: bool,
}

impl Service {
    pub fn answer(&self, now: u64, attempt: &Attempt, rng: &mut impl Rng) -> Answer {
        let (mut failing, mut slow) = (self.usual_failures, 1.0);
        if let Some(unrelated_fault) = self.unrelated_fault
            && (unrelated_fault.from..unrelated_fault.to).contains(&now)
        {
            let on_new = attempt.is_new;
            failing += if on_new {
                unrelated_fault.new_failing
            } else {
                unrelated_fault.old_failing
            };
            slow *= unrelated_fault.slow;
        }
        if attempt.is_new && self.shows_defect(now, attempt) {
            failing += self.defect.failing;
            slow *= self.defect.slow.max(1.0);
        }
        let millis = self.median_millis * slow * (self.spread * normal(rng)).exp();
        Answer {
            latency: Duration::from_secs_f64(millis / 1_000.0),
            is_good: rng.random::<f64>() >= failing,
        }
    }

    fn shows_defect(&self, now: u64, attempt: &Attempt) -> bool {
        let defect = &self.defect;
        let has_begun = now as f64 >= defect.starts_at * attempt.duration.as_millis() as f64;
        let is_route = !defect.only_one_route || attempt.route == 0;
        has_begun && is_route && (!defect.only_under_load || attempt.is_loaded)
    }
}

/// Properties of an attempt that its answer depends on.
pub struct Attempt {
    pub is_new: bool,
    pub route: u32,
    /// Whether all requests go to the target version.
    pub is_loaded: bool,
    pub duration: Duration,
}

fn normal(rng: &mut impl Rng) -> f64 {
    let (first, second): (f64, f64) = (rng.random(), rng.random());
    let radius = (-2.0 * (1.0 - first).ln()).sqrt();
    radius * (std::f64::consts::TAU * second).cos()
}

/// Samples a Poisson distribution with this mean.
pub fn poisson(rng: &mut impl Rng, mean: f64) -> u32 {
    let (mut product, limit, mut events) = (rng.random::<f64>(), (-mean).exp(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        events += 1;
    }
    events
}
