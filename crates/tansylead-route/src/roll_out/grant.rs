//! Grants, by which the judge of a roll-out limits each daemon's sends to the target version.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Stage of a roll-out that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// First attempts go to the target version up to the limit of the grant; everything else, including hedges and
    /// retries, goes to the old leafs.
    Trial,
    /// Every new attempt goes to the target version up to the limit of the grant; attempts in progress on old leafs
    /// finish there.
    Shift,
    /// The target version was accepted and the completion is being written to the source: all new attempts go to it,
    /// and none to old leafs, which may be stopped at any moment.
    Commit,
    /// The target version was rejected and the rollback is being written to the source: nothing goes to it.
    RollBack,
}

impl Stage {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Shift => "shift",
            Self::Commit => "commit",
            Self::RollBack => "back",
        }
    }
}

/// Permission for one daemon to send to the target version. A grant replaces the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Stage that the daemon has to follow.
    pub stage: Stage,
    /// Most sends to the target version since the daemon started, under this order. A running total, so that a
    /// duplicate grant does no harm. Has no meaning in [`Stage::Commit`] and [`Stage::RollBack`].
    pub limit: u64,
    /// How long the grant may be used after its arrival.
    pub valid: Duration,
}
