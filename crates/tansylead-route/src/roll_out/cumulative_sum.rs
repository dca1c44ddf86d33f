//! One-sided sequential test: is a share of answers higher than it should be?

/// Sum of log-likelihoods at which the higher share is taken as shown: 200 times as likely as the usual
/// one. What that means for good and bad versions is in the table of design note 0011.
pub(crate) const SHOWN: f64 = 5.298;
/// Sum above which nothing is concluded in favour at the last moment: 20 times as likely.
pub(crate) const SUSPECTED: f64 = 2.996;
/// The same while there is time for more answers to settle it: 5 times as likely.
pub(crate) const DOUBTFUL: f64 = 1.609;
/// Part of [`SHOWN`] that one look can add. A leaf that crashes breaks all that runs there in one moment;
/// a version is bad in at least three looks.
const MOST_AT_ONCE: f64 = 0.4;

/// A share to test for: the usual one, and the one that would be bad.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shares {
    /// Share if all is well.
    pub(crate) usual: f64,
    /// Share that should be noticed.
    pub(crate) raised: f64,
}

impl Shares {
    /// Log-likelihood ratio of `hits` among `hits + misses` answers.
    pub(crate) fn log_ratio(self, hits: u64, misses: u64) -> f64 {
        let of_hit = (self.raised / self.usual).ln();
        let of_miss = ((1.0 - self.raised) / (1.0 - self.usual)).ln();
        hits as f64 * of_hit + misses as f64 * of_miss
    }
}

/// Cumulative sum of log-likelihood ratios that never falls below zero, so that a version that turns bad
/// late is found as fast as one that was bad at once.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CumulativeSum {
    sum: f64,
    /// Without a limit on what one look adds: enough to wait for more, not to condemn.
    unlimited: f64,
}

impl CumulativeSum {
    /// Adds the log-likelihood ratio of the answers since the last look.
    pub(crate) fn add(&mut self, log_ratio: f64) {
        self.sum = (self.sum + log_ratio.min(SHOWN * MOST_AT_ONCE)).max(0.0);
        self.unlimited = (self.unlimited + log_ratio).max(0.0);
    }

    /// Whether the sum has reached a limit.
    pub(crate) fn has_reached(&self, limit: f64) -> bool {
        self.sum >= limit
    }

    /// Whether the answers speak for the raised share to this degree, if only those of one look.
    pub(crate) fn hints(&self, limit: f64) -> bool {
        self.unlimited >= limit
    }
}
