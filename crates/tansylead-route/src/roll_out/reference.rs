//! Reference for the usual answers on a route: those of the old leafs in the last seconds.
//!
//! A fault that affects both versions also raises the usual shares, and so does not count against the new version.
//! Answers are aged out only as new ones arrive: while all requests go to the target version, the last seconds before
//! count.

use super::cumulative_sum::Shares;
use super::evidence::LATENCY_BUCKETS;
use super::totals::SideTotals;
use std::time::Duration;

/// Half-lives of the two windows. The greater failure rate of the two counts: the short window shows a fault that has
/// just begun, the long one has enough answers.
const SHORT_HALF_LIFE: Duration = Duration::from_millis(200);
const LONG_HALF_LIFE: Duration = Duration::from_secs(3);
/// Share of failures assumed of a service without answers: one in a hundred.
const PRIOR_FAILURES: f64 = 0.01;
/// Number of answers that this prior stands for in each window: few, so that real answers outweigh it.
const PRIOR_SHORT: f64 = 4.0;
const PRIOR_LONG: f64 = 20.0;
/// The share of failures that the test should detect is the usual share times [`RAISED_FACTOR`], plus this. The factor
/// is there because a higher usual share is known less precisely. In normal operation, one in a hundred is tested
/// against one in ten.
const RAISED_FAILURES: f64 = 0.08;
const RAISED_FACTOR: f64 = 2.0;
/// Upper limits of the shares: near 1, a single good answer would be proof.
const MAXIMUM_USUAL: f64 = 0.9;
const MAXIMUM_RAISED: f64 = 0.95;
/// Old answers needed to determine the bound for late answers.
const MINIMUM_LATENCIES: f64 = 20.0;
/// Greatest share of old answers that may be late. The lowest bucket that keeps to it is the bound, but it is above the
/// bucket of the median, so that a slightly longer time is not late where all answers take the same time.
const MAXIMUM_LATE_SHARE: f64 = 0.08;
/// Smallest usual share of late answers assumed, as any service has pauses and rare long answers.
const MINIMUM_LATE_SHARE: f64 = 0.04;
/// The same as [`RAISED_FAILURES`], for late answers. If answers take twice as long, with log-normal times of spread
/// 0.35 to 0.5, a share of 0.4 to 0.65 is late.
const RAISED_LATE: f64 = 0.25;
const RAISED_FACTOR_LATE: f64 = 1.5;

/// Shares of failures to test for, given the usual share.
pub(crate) fn failures_to_test(usual: f64) -> Shares {
    let usual = usual.clamp(PRIOR_FAILURES, MAXIMUM_USUAL);
    let raised = (usual * RAISED_FACTOR + RAISED_FAILURES).min(MAXIMUM_RAISED);
    Shares { usual, raised }
}

/// Counts of old leafs' answers that decay exponentially.
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

    /// Share of failures, with a prior worth `prior` answers.
    fn failures(&self, prior: f64) -> f64 {
        (self.failed + PRIOR_FAILURES * prior) / (self.answers + prior)
    }

    fn latencies(&self) -> f64 {
        self.latencies.iter().sum()
    }

    /// Number of answers beyond a bucket.
    fn late(&self, bucket: usize) -> f64 {
        self.latencies[bucket + 1..].iter().sum()
    }
}

/// Latency bucket beyond which an answer is late, and the usual share of such answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LateBound {
    bucket: usize,
    usual: f64,
}

impl LateBound {
    /// Counts the answers with a known time, with late ones as failures.
    pub(crate) fn split(&self, side: &SideTotals) -> SideTotals {
        let (timely, late) = side.latencies.split_at(self.bucket + 1);
        SideTotals {
            good: timely.iter().sum(),
            failed: late.iter().sum(),
            ..SideTotals::default()
        }
    }

    /// Shares of late answers to test for; `usual_of_all` is the usual share on all routes together.
    pub(crate) fn shares(&self, usual_of_all: f64) -> Shares {
        let usual = self.usual.max(usual_of_all).min(MAXIMUM_USUAL);
        let raised = (usual * RAISED_FACTOR_LATE + RAISED_LATE).min(MAXIMUM_RAISED);
        Shares { usual, raised }
    }
}

/// Recent answers of old leafs, on one route or on all together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reference {
    short: Window,
    long: Window,
}

impl Reference {
    /// Adds the answers of old leafs since the last evaluation, `span` ago.
    pub(crate) fn add(&mut self, span: Duration, added: &SideTotals) {
        if added.answers() > 0 {
            self.short.add(span, SHORT_HALF_LIFE, added);
            self.long.add(span, LONG_HALF_LIFE, added);
        }
    }

    /// Current usual share of failures.
    pub(crate) fn usual_failures(&self) -> f64 {
        let short = self.short.failures(PRIOR_SHORT);
        short.max(self.long.failures(PRIOR_LONG))
    }

    /// The bound for late answers, if there are enough old answers to determine it.
    pub(crate) fn late_bound(&self) -> Option<LateBound> {
        let total = self.long.latencies();
        if total < MINIMUM_LATENCIES {
            return None;
        }
        let share = |bucket: usize| self.long.late(bucket) / total;
        let median = (0..LATENCY_BUCKETS).find(|bucket| share(*bucket) <= 0.5)?;
        let mut buckets = median + 1..LATENCY_BUCKETS - 1;
        let bucket = buckets.find(|bucket| share(*bucket) <= MAXIMUM_LATE_SHARE)?;
        let long = share(bucket).max(MINIMUM_LATE_SHARE);
        // Adds one standard error, as the bound was chosen from the same answers.
        let long = long + (long * (1.0 - long) / total).sqrt();
        let short = self.short.late(bucket) + long * PRIOR_SHORT;
        let short = short / (self.short.latencies() + PRIOR_SHORT);
        Some(LateBound {
            bucket,
            usual: long.max(short),
        })
    }

    /// Mean latency of old answers in milliseconds, by the upper ends of the buckets; none without answers.
    pub(crate) fn mean_millis(&self) -> Option<f64> {
        let counts = self.long.latencies.iter().enumerate();
        let total: f64 = self.long.latencies.iter().sum();
        let sum: f64 = counts
            .map(|(bucket, count)| super::evidence::bucket_end_millis(bucket) * count)
            .sum();
        (total > 0.0).then(|| sum / total)
    }
}
