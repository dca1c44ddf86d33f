//! Messages between the roots of one service in one place about shares of the table's limit.

use serde::{Deserialize, Serialize};

/// A part of the table's limit, in millionths. Messages carry parts, not rates, so that a change of
/// the limit never makes the sum of rates exceed the limit.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ShareParts(pub u32);

impl ShareParts {
    /// The whole limit.
    pub const WHOLE: ShareParts = ShareParts(1_000_000);

    /// The rate, in queries per second, of these parts of a limit.
    pub fn rate(self, limit: u32) -> f64 {
        f64::from(limit) * f64::from(self.0) / f64::from(Self::WHOLE.0)
    }

    /// The parts of a limit that a rate needs, rounded up; the whole if the limit is zero.
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
    /// What the sender could lend now. A hint without commitment.
    Report {
        /// Parts that the sender owns and does not need.
        spare: ShareParts,
    },
    /// The sender asks for a loan.
    Request {
        /// Chosen by the borrower, never reused by that process.
        id: u64,
        /// Parts requested.
        wanted: ShareParts,
    },
    /// The sender grants a loan. It stops using these parts before it sends this.
    Grant {
        /// Echoed from the request.
        id: u64,
        /// Parts lent; replaces what the borrower still holds from the same lender.
        lent: ShareParts,
    },
}
