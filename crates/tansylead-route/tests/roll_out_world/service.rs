//! Requests and answers by chance.

use rand::{Rng, RngExt};
use std::time::Duration;

/// What is wrong with the target version.
#[derive(Debug, Clone, Default)]
pub struct Badness {
    /// Share of bad answers beyond the usual one.
    pub failing: f64,
    /// Times as slow; 0 and 1 are as fast as the old version.
    pub slow: f64,
    /// From which part of the duration on.
    pub starts_at: f64,
    /// Only when all requests go there.
    pub only_under_load: bool,
    /// Only on the first route.
    pub only_one_route: bool,
}

/// A fault that does not come of the version.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// From when until when, in milliseconds.
    pub from: u64,
    pub to: u64,
    /// Share of bad answers of old leafs.
    pub old_failing: f64,
    /// Share of bad answers of leafs of the target version.
    pub new_failing: f64,
    /// Times as slow, both.
    pub slow: f64,
}

/// A service under way.
#[derive(Debug, Clone)]
pub struct Service {
    /// Requests a second.
    pub rate: f64,
    pub routes: u32,
    /// Median time of an answer in milliseconds, and its logarithmic spread.
    pub median: f64,
    pub spread: f64,
    /// Usual share of bad answers.
    pub usual_failures: f64,
    /// When leafs of the target version answer first, in milliseconds.
    pub starts_after: u64,
    pub bad: Badness,
    pub trouble: Option<Trouble>,
}

/// How one attempt goes.
pub struct Answer {
    pub takes: Duration,
    pub is_good: bool,
}

impl Service {
    pub fn answer(&self, now: u64, attempt: &Attempt, chance: &mut impl Rng) -> Answer {
        let (mut failing, mut slow) = (self.usual_failures, 1.0);
        if let Some(trouble) = self.trouble
            && (trouble.from..trouble.to).contains(&now)
        {
            let on_new = attempt.is_new;
            failing += if on_new {
                trouble.new_failing
            } else {
                trouble.old_failing
            };
            slow *= trouble.slow;
        }
        if attempt.is_new && self.is_bad(now, attempt) {
            failing += self.bad.failing;
            slow *= self.bad.slow.max(1.0);
        }
        let millis = self.median * slow * (self.spread * normal(chance)).exp();
        Answer {
            takes: Duration::from_secs_f64(millis / 1_000.0),
            is_good: chance.random::<f64>() >= failing,
        }
    }

    fn is_bad(&self, now: u64, attempt: &Attempt) -> bool {
        let bad = &self.bad;
        let has_begun = now as f64 >= bad.starts_at * attempt.duration.as_millis() as f64;
        let is_route = !bad.only_one_route || attempt.route == 0;
        has_begun && is_route && (!bad.only_under_load || attempt.is_loaded)
    }
}

/// What an attempt meets.
pub struct Attempt {
    pub is_new: bool,
    pub route: u32,
    /// All requests go to the target version.
    pub is_loaded: bool,
    pub duration: Duration,
}

fn normal(chance: &mut impl Rng) -> f64 {
    let (first, second): (f64, f64) = (chance.random(), chance.random());
    let radius = (-2.0 * (1.0 - first).ln()).sqrt();
    radius * (std::f64::consts::TAU * second).cos()
}

/// A number of events of this mean.
pub fn poisson(chance: &mut impl Rng, mean: f64) -> u32 {
    let (mut product, limit, mut events) = (chance.random::<f64>(), (-mean).exp(), 0);
    while product > limit {
        product *= chance.random::<f64>();
        events += 1;
    }
    events
}
