//! Admission: a token bucket for this root's share of the table's limit.

use crate::event::RateShare;
use std::time::Duration;
use tansylead_types::Moment;

/// A bucket never holds less than one query, or no query could ever start.
const SMALLEST_BUCKET: f64 = 1.0;
/// Told to callers when the share is nothing at all.
const RETRY_AFTER_WITHOUT_SHARE: Duration = Duration::from_secs(1);
/// Longest time told to callers.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Tolerance for sums of fractions.
const ROUNDING: f64 = 1e-9;

/// Token bucket of queries.
#[derive(Debug, Clone)]
pub(crate) struct Admission {
    share: RateShare,
    tokens: f64,
    updated: Moment,
}

impl Admission {
    /// No limit until a share is set.
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

    /// Sets the share. The first share starts with a full bucket; a later one keeps its fill.
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

    /// Admits a query, or says when a token will be there.
    pub(crate) fn admit(&mut self, now: Moment) -> Result<(), Duration> {
        if self.is_unlimited() {
            return Ok(());
        }
        let rate = self.share.queries_per_second;
        if rate.is_nan() || rate <= 0.0 {
            return Err(RETRY_AFTER_WITHOUT_SHARE);
        }
        self.refill(now);
        if self.tokens + ROUNDING >= 1.0 {
            self.tokens = (self.tokens - 1.0).max(0.0);
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / rate;
        Err(Duration::from_secs_f64(
            seconds.min(LONGEST_RETRY_AFTER.as_secs_f64()),
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
        (rate * self.share.burst.as_secs_f64()).max(SMALLEST_BUCKET)
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
