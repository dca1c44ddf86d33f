//! What is seen of a roll-out: the order, its end, and the requests that reached leafs meanwhile.

use crate::roll_out_rules::{EXPOSURE_SHARE, EXPOSURE_SLACK};
use std::time::Duration;

/// What the operator has ordered.
#[derive(Debug, Clone)]
pub struct RollOutOrder {
    /// Service.
    pub service: String,
    /// Version that it moves to.
    pub target: String,
    /// What is wrong with the version, for reports.
    pub kind: String,
    /// Whether the version must not be taken.
    pub is_bad: bool,
    /// Time until it should have ended.
    pub duration: Duration,
}

/// How a roll-out ended, as the store says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollOutEnd {
    /// All requests go to the new version.
    Completed,
    /// None does.
    RolledBack,
}

/// What was seen of a roll-out.
#[derive(Debug, Clone)]
pub struct SeenRollOut {
    /// The order.
    pub order: RollOutOrder,
    /// How it ended, and how long after the order.
    pub end: Option<(RollOutEnd, Duration)>,
    /// The order was taken back or replaced before its end.
    pub is_superseded: bool,
    /// A fault was injected before it ended.
    pub is_disturbed: bool,
    /// Requests that reached the service until the deadline.
    pub requests: usize,
    /// Sends to the target version until the deadline.
    pub sends: u32,
    /// Time from the telling bad answer to the last send.
    pub back: Option<Duration>,
    /// Requests that were cut when the old leafs were stopped.
    pub cut: usize,
}

impl SeenRollOut {
    /// Sends to the target version that the bounds allow.
    pub fn allowed(&self) -> f64 {
        EXPOSURE_SHARE * self.requests as f64 + EXPOSURE_SLACK
    }

    /// Whether the operator got what was due: bad versions rolled back and good ones completed, in time.
    pub fn is_duty_done(&self) -> bool {
        let due = if self.order.is_bad {
            RollOutEnd::RolledBack
        } else {
            RollOutEnd::Completed
        };
        self.end
            .is_some_and(|(end, after)| end == due && after <= self.order.duration)
    }

    /// Whether it ended as it must not.
    pub fn is_wrong(&self) -> bool {
        let Some((end, _)) = self.end else {
            return false;
        };
        (end == RollOutEnd::Completed) == self.order.is_bad
    }
}
