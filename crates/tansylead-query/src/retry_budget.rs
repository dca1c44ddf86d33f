//! One budget for hedges and retries. Each first attempt pays a share of a token, each extra
//! attempt takes a whole one, so extra attempts never exceed `share * first attempts + burst`.

const PERCENT: f64 = 100.0;
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

    /// Takes a token for an extra attempt, if there is one.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.balance + ROUNDING < 1.0 {
            return false;
        }
        self.balance = (self.balance - 1.0).max(0.0);
        true
    }

    /// Tokens left.
    pub(crate) fn balance(&self) -> f64 {
        self.balance
    }
}
