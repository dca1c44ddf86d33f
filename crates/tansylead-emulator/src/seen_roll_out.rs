//! Observations of a roll-out: its order, its end, and the requests that reached leafs meanwhile.

use crate::roll_out_rules::{EXPOSURE_SHARE, EXPOSURE_SLACK};
use std::time::Duration;

/// The operator's order.
#[derive(Debug, Clone)]
pub struct RollOutOrder {
    /// Service.
    pub service: String,
    /// Version to roll out.
    pub target: String,
    /// Kind of the version's defect, for reports.
    pub kind: String,
    /// Whether the version must be rolled back.
    pub is_bad: bool,
    /// Time within which it should end.
    pub duration: Duration,
}

/// How a roll-out ended, according to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollOutEnd {
    /// All requests go to the new version.
    Completed,
    /// No requests go to the new version.
    RolledBack,
}

/// Observations of a roll-out.
#[derive(Debug, Clone)]
pub struct SeenRollOut {
    /// The order.
    pub order: RollOutOrder,
    /// How it ended, and how long after the order.
    pub end: Option<(RollOutEnd, Duration)>,
    /// Whether the order was withdrawn or replaced before its end.
    pub is_superseded: bool,
    /// Whether a fault was injected before it ended.
    pub is_disturbed: bool,
    /// Requests that reached the service until the deadline.
    pub requests: usize,
    /// Sends to the target version until the deadline.
    pub sends: u32,
    /// Time from the bad answer that proved the version bad to the last send.
    pub last_send_after_proof: Option<Duration>,
    /// Requests that were interrupted when the old leafs were stopped.
    pub interrupted: usize,
}

impl SeenRollOut {
    /// Sends to the target version that the bounds allow.
    pub fn allowed(&self) -> f64 {
        EXPOSURE_SHARE * self.requests as f64 + EXPOSURE_SLACK
    }

    /// Whether it ended as required: a bad version rolled back or a good one completed, in time.
    pub fn is_as_required(&self) -> bool {
        let required = if self.order.is_bad {
            RollOutEnd::RolledBack
        } else {
            RollOutEnd::Completed
        };
        self.end
            .is_some_and(|(end, after)| end == required && after <= self.order.duration)
    }

    /// Whether it ended wrongly: a bad version completed or a good one rolled back.
    pub fn is_wrong(&self) -> bool {
        let Some((end, _)) = self.end else {
            return false;
        };
        (end == RollOutEnd::Completed) == self.order.is_bad
    }
}
