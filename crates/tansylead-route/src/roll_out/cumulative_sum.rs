//! One-sided sequential test (CUSUM) of whether a share of answers is higher than usual.

/// Log-likelihood ratio from which on the raised share is considered proven: it is 200 times as likely as the usual
/// one. Design note 0011 has a table of the resulting error rates for good and bad versions.
pub(crate) const PROVEN: f64 = 5.298;
/// Log-likelihood ratio above which the version is not accepted at the last moment: 20 times as likely.
pub(crate) const SUSPECTED: f64 = 2.996;
/// The same as long as there is time to wait for more answers: 5 times as likely.
pub(crate) const DOUBTFUL: f64 = 1.609;
/// Greatest part of [`PROVEN`] that a single evaluation can add, so that it takes at least three to reject a version. A
/// leaf that crashes fails all its running requests at once.
const MAXIMUM_PART_PER_EVALUATION: f64 = 0.4;

/// The two hypotheses of a test: the usual share, and one that would be bad.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shares {
    /// Share of a good version.
    pub(crate) usual: f64,
    /// Share that the test should detect.
    pub(crate) raised: f64,
}

impl Shares {
    /// Log-likelihood ratio of `hits` among `hits + misses` answers.
    pub(crate) fn log_ratio(self, hits: u64, misses: u64) -> f64 {
        let per_hit = (self.raised / self.usual).ln();
        let per_miss = ((1.0 - self.raised) / (1.0 - self.usual)).ln();
        hits as f64 * per_hit + misses as f64 * per_miss
    }
}

/// Cumulative sum of log-likelihood ratios that never falls below zero, so that a version that turns bad late is
/// detected as fast as one that was bad from the start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CumulativeSum {
    sum: f64,
    /// The same sum without a limit on what one evaluation adds: a reason to wait for more answers, not to reject.
    unlimited: f64,
}

impl CumulativeSum {
    /// Adds the log-likelihood ratio of the answers since the last evaluation.
    pub(crate) fn add(&mut self, log_ratio: f64) {
        self.sum = (self.sum + log_ratio.min(PROVEN * MAXIMUM_PART_PER_EVALUATION)).max(0.0);
        self.unlimited = (self.unlimited + log_ratio).max(0.0);
    }

    /// Whether the sum has reached a limit.
    pub(crate) fn has_reached(&self, limit: f64) -> bool {
        self.sum >= limit
    }

    /// Whether the sum has reached a limit if a single evaluation may add any amount.
    pub(crate) fn has_reached_unlimited(&self, limit: f64) -> bool {
        self.unlimited >= limit
    }
}
