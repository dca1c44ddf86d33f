//! Admission: a token bucket for this root's share of the table's limit.

use crate::event::RateShare;
use std::time::Duration;
use tansylead_types::Moment;

/// Smallest capacity in queries, unless the share is zero; below one no query could ever start.
const MIN_CAPACITY: f64 = 1.0;
/// `retry_after` when this root's share is zero.
const RETRY_AFTER_WITHOUT_SHARE: Duration = Duration::from_secs(1);
/// Longest `retry_after`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Tolerance for rounding errors in sums of fractions.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Token bucket of queries.
#[derive(Debug, Clone)]
pub(crate) struct Admission {
    share: RateShare,
    tokens: f64,
    updated: Moment,
}

impl Admission {
    /// A bucket that admits everything until a share is set.
    pub(crate) fn unlimited() -> Self {
        let share = RateShare {
            queries_per_second: f64::INFINITY,
            burst: Duration::ZERO,
        };
        Self {
            share,
            tokens: 0.0,
            updated: Moment::default(),
        }
    }

    /// Sets the share. A share that follows no limit starts with a full bucket; any other keeps the
    /// tokens that fit into the new capacity.
    pub(crate) fn set_share(&mut self, now: Moment, share: RateShare) {
        let was_unlimited = self.is_unlimited();
        self.refill(now);
        self.share = share;
        let capacity = self.capacity();
        self.tokens = if was_unlimited {
            capacity
        } else {
            self.tokens.min(capacity)
        };
        self.updated = now;
    }

    /// Admits a query, or returns the time until a token is available.
    pub(crate) fn admit(&mut self, now: Moment) -> Result<(), Duration> {
        if self.is_unlimited() {
            return Ok(());
        }
        let rate = self.share.queries_per_second;
        if rate.is_nan() || rate <= 0.0 {
            return Err(RETRY_AFTER_WITHOUT_SHARE);
        }
        self.refill(now);
        if self.tokens + ROUNDING_TOLERANCE >= 1.0 {
            self.tokens = (self.tokens - 1.0).max(0.0);
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / rate;
        Err(Duration::from_secs_f64(
            seconds.min(MAX_RETRY_AFTER.as_secs_f64()),
        ))
    }

    fn is_unlimited(&self) -> bool {
        self.share.queries_per_second == f64::INFINITY
    }

    fn capacity(&self) -> f64 {
        let rate = self.share.queries_per_second.max(0.0);
        if rate == 0.0 {
            return 0.0;
        }
        (rate * self.share.burst.as_secs_f64()).max(MIN_CAPACITY)
    }

    fn refill(&mut self, now: Moment) {
        if self.is_unlimited() {
            return;
        }
        let earned = self.share.queries_per_second.max(0.0) * now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.capacity());
        self.updated = self.updated.max(now);
    }
}
