//! One budget for hedges and retries. Each first attempt pays a share of a token, each extra
//! attempt takes a whole one, so extra attempts never exceed `share * first attempts + burst`.
//!
//! Hedges leave half of the burst untouched: they only save time, while a retry after a failure
//! saves coverage, and steady hedging must not leave nothing for it.

const PERCENT: f64 = 100.0;
/// Share of the burst that only retries may use.
const RESERVED_FOR_RETRIES: f64 = 0.5;
/// Tolerance for sums of fractions such as twenty times 0.05.
const ROUNDING: f64 = 1e-9;

/// Token balance of extra attempts.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    balance: f64,
    burst: f64,
    share: f64,
}

impl RetryBudget {
    /// A budget that starts with its whole burst.
    pub(crate) fn new(burst: u32) -> Self {
        let burst = f64::from(burst);
        Self {
            balance: burst,
            burst,
            share: 0.0,
        }
    }

    /// Sets the share of first attempts, in per cent.
    pub(crate) fn set_percent(&mut self, percent: f64) {
        self.share = percent.max(0.0) / PERCENT;
    }

    /// Notes a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(self.burst);
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
        if self.balance + ROUNDING < reserve + 1.0 {
            return false;
        }
        self.balance = (self.balance - 1.0).max(0.0);
        true
    }
}
