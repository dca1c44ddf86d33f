//! Shared token budget for hedges and retries. Each first attempt deposits a fraction of a token,
//! each extra attempt takes a whole one, so there are never more extra attempts than
//! `fraction * first attempts + burst`.
//!
//! Hedges leave half of the burst untouched: they only reduce latency, while a retry after a
//! failure preserves coverage and must not be starved by steady hedging.

const PERCENT: f64 = 100.0;
/// Fraction of the burst that only retries may use.
const RESERVED_FOR_RETRIES: f64 = 0.5;
/// Tolerance for rounding errors in sums of fractions such as twenty times 0.05.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Token balance for extra attempts.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    balance: f64,
    burst: f64,
    fraction: f64,
}

impl RetryBudget {
    /// A budget that starts with its full burst.
    pub(crate) fn new(burst: u32) -> Self {
        let burst = f64::from(burst);
        Self {
            balance: burst,
            burst,
            fraction: 0.0,
        }
    }

    /// Sets how many extra attempts are allowed per first attempt, in per cent.
    pub(crate) fn set_percent(&mut self, percent: f64) {
        self.fraction = percent.max(0.0) / PERCENT;
    }

    /// Deposits the fraction of a token for a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + self.fraction).min(self.burst);
    }

    /// Takes a token for a retry, if there is one.
    pub(crate) fn try_take_for_retry(&mut self) -> bool {
        self.try_take_above(0.0)
    }

    /// Takes a token for a hedge, if there is one beyond those reserved for retries.
    pub(crate) fn try_take_for_hedge(&mut self) -> bool {
        self.try_take_above(self.burst * RESERVED_FOR_RETRIES)
    }

    /// Tokens left.
    pub(crate) fn balance(&self) -> f64 {
        self.balance
    }

    fn try_take_above(&mut self, reserve: f64) -> bool {
        if self.balance + ROUNDING_TOLERANCE < reserve + 1.0 {
            return false;
        }
        self.balance = (self.balance - 1.0).max(0.0);
        true
    }
}
