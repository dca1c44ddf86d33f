//! Messages between the roots of one service in one place about shares of the table's limit.

use serde::{Deserialize, Serialize};

/// A part of the table's limit, in millionths. Shares travel as parts, not as rates, so that a
/// change of the limit never makes the sum of rates exceed the limit.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ShareParts(pub u32);

impl ShareParts {
    /// The whole limit.
    pub const WHOLE: ShareParts = ShareParts(1_000_000);

    /// The rate these parts stand for.
    pub fn rate(self, limit: u32) -> f64 {
        f64::from(limit) * f64::from(self.0) / f64::from(Self::WHOLE.0)
    }

    /// The parts that a rate takes of a limit, rounded up; the whole if the limit is zero.
    pub fn of_rate(rate: f64, limit: u32) -> ShareParts {
        let parts = (rate * f64::from(Self::WHOLE.0) / f64::from(limit)).ceil();
        if parts.is_finite() && parts >= 0.0 {
            // A cast from a float saturates.
            ShareParts((parts as u32).min(Self::WHOLE.0))
        } else {
            Self::WHOLE
        }
    }

    /// Sum, at most `u32::MAX`.
    pub fn plus(self, other: ShareParts) -> ShareParts {
        ShareParts(self.0.saturating_add(other.0))
    }

    /// Difference, at least zero.
    pub fn minus(self, other: ShareParts) -> ShareParts {
        ShareParts(self.0.saturating_sub(other.0))
    }
}

/// One message between two roots. The envelope names the service and the place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// What the sender could lend now. A hint: nothing is promised.
    Report {
        /// Parts that the sender owns and does not need.
        spare: ShareParts,
    },
    /// The sender asks to borrow.
    Ask {
        /// Chosen by the borrower, never reused by that process.
        ask: u64,
        /// Parts wanted.
        wanted: ShareParts,
    },
    /// The sender lends. It stops using these parts before it sends this.
    Grant {
        /// Echo of the ask.
        ask: u64,
        /// Parts lent; replaces what the borrower still holds from the same lender.
        lent: ShareParts,
    },
}
