//! What is usual on one route: answers of the old leafs in the last seconds.
//!
//! A fault that strikes both versions raises what is usual as well, and so does not speak against the new
//! one. Old answers are forgotten only as others come: while all requests go to the target version, the
//! last seconds before count.

use super::cumulative_sum::Shares;
use super::evidence::LATENCY_BUCKETS;
use super::totals::SideTotals;
use std::time::Duration;

/// Half-lives of the memory of failures. The greater rate of the two counts: the short one shows a fault
/// that has just begun, the long one has answers enough.
const SHORT_HALF_LIFE: Duration = Duration::from_millis(200);
const LONG_HALF_LIFE: Duration = Duration::from_secs(3);
/// Failures of a sound service, where no answer tells more: one in a hundred.
const PRIOR_FAILURES: f64 = 0.01;
/// Answers that this prior stands for, in either memory: few, so that real ones outweigh it.
const PRIOR_SHORT: f64 = 4.0;
const PRIOR_LONG: f64 = 20.0;
/// Failures beyond the usual share that should be noticed, and how that grows with the usual share, which
/// is known the less well the higher it is. One in a hundred against one in ten, on a quiet day.
const RAISED_FAILURES: f64 = 0.08;
const RAISED_FACTOR: f64 = 2.0;
/// Shares are kept away from 1, where one good answer would prove anything.
const MOST_USUAL: f64 = 0.9;
const MOST_RAISED: f64 = 0.95;
/// Old answers needed to say what is slow.
const ENOUGH_LATENCIES: f64 = 20.0;
/// Share of old answers beyond the bound that is called late: the lowest bound with no more than this, but above
/// the bucket of the median, so that where all answers take the same time, a little more of it is not late.
const LATE_SHARE: f64 = 0.08;
/// Least late share assumed: pauses and rare long answers come in any service.
const LEAST_LATE: f64 = 0.04;
/// Late answers beyond the usual share that should be noticed. Twice as slow, with log-normal times that
/// spread by 0.35 to 0.5, makes 0.4 to 0.65 late.
const RAISED_LATE: f64 = 0.25;
const RAISED_FACTOR_LATE: f64 = 1.5;

/// Shares of failures to test for, by what is usual.
pub(crate) fn failures_to_test(usual: f64) -> Shares {
    let usual = usual.clamp(PRIOR_FAILURES, MOST_USUAL);
    let raised = (usual * RAISED_FACTOR + RAISED_FAILURES).min(MOST_RAISED);
    Shares { usual, raised }
}

/// Answers of old leafs, the newer ones with more weight.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    answers: f64,
    failed: f64,
    latencies: [f64; LATENCY_BUCKETS],
}

impl Window {
    fn add(&mut self, span: Duration, half_life: Duration, added: &SideTotals) {
        let kept = 0.5_f64.powf(span.as_secs_f64() / half_life.as_secs_f64());
        self.answers = self.answers * kept + added.answers() as f64;
        self.failed = self.failed * kept + added.failed as f64;
        for (count, more) in self.latencies.iter_mut().zip(added.latencies) {
            *count = *count * kept + more as f64;
        }
    }

    /// Share of failures, with a prior that stands for so many answers.
    fn failures(&self, prior: f64) -> f64 {
        (self.failed + PRIOR_FAILURES * prior) / (self.answers + prior)
    }

    fn latencies(&self) -> f64 {
        self.latencies.iter().sum()
    }

    /// Answers beyond a bucket.
    fn late(&self, bucket: usize) -> f64 {
        self.latencies[bucket + 1..].iter().sum()
    }
}

/// A latency bucket beyond which an answer is late, and what share usually is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LateBound {
    bucket: usize,
    usual: f64,
}

impl LateBound {
    /// Answers with a known time, as if those that are late were failures.
    pub(crate) fn split(&self, side: &SideTotals) -> SideTotals {
        let (timely, late) = side.latencies.split_at(self.bucket + 1);
        SideTotals {
            good: timely.iter().sum(),
            failed: late.iter().sum(),
            ..SideTotals::default()
        }
    }

    /// Shares of late answers to test for; `usual_of_all` is usual on all routes together.
    pub(crate) fn shares(&self, usual_of_all: f64) -> Shares {
        let usual = self.usual.max(usual_of_all).min(MOST_USUAL);
        let raised = (usual * RAISED_FACTOR_LATE + RAISED_LATE).min(MOST_RAISED);
        Shares { usual, raised }
    }
}

/// What is usual on one route.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reference {
    short: Window,
    long: Window,
}

impl Reference {
    /// Takes in what old leafs answered in the time since the last look.
    pub(crate) fn add(&mut self, span: Duration, added: &SideTotals) {
        if added.answers() > 0 {
            self.short.add(span, SHORT_HALF_LIFE, added);
            self.long.add(span, LONG_HALF_LIFE, added);
        }
    }

    /// Share of failures that is usual now.
    pub(crate) fn usual_failures(&self) -> f64 {
        let short = self.short.failures(PRIOR_SHORT);
        short.max(self.long.failures(PRIOR_LONG))
    }

    /// What is late, if enough old answers tell.
    pub(crate) fn late_bound(&self) -> Option<LateBound> {
        let total = self.long.latencies();
        if total < ENOUGH_LATENCIES {
            return None;
        }
        let share = |bucket: usize| self.long.late(bucket) / total;
        let median = (0..LATENCY_BUCKETS).find(|bucket| share(*bucket) <= 0.5)?;
        let mut buckets = median + 1..LATENCY_BUCKETS - 1;
        let bucket = buckets.find(|bucket| share(*bucket) <= LATE_SHARE)?;
        let long = share(bucket).max(LEAST_LATE);
        // One standard error more: the bound was chosen by the same answers.
        let long = long + (long * (1.0 - long) / total).sqrt();
        let short = self.short.late(bucket) + long * PRIOR_SHORT;
        let short = short / (self.short.latencies() + PRIOR_SHORT);
        Some(LateBound {
            bucket,
            usual: long.max(short),
        })
    }

    /// Mean time of old answers in milliseconds, by the upper ends of buckets; none without answers.
    pub(crate) fn mean_millis(&self) -> Option<f64> {
        let counts = self.long.latencies.iter().enumerate();
        let total: f64 = self.long.latencies.iter().sum();
        let sum: f64 = counts
            .map(|(bucket, count)| super::evidence::bucket_end_millis(bucket) * count)
            .sum();
        (total > 0.0).then(|| sum / total)
    }
}
