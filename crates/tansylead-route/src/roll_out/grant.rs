//! What the judge of a roll-out lets one daemon send to the target version.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What daemons do in a roll-out that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// First attempts go to the target version as far as the grant reaches; everything else, also hedges
    /// and retries, goes to the old leafs.
    Trial,
    /// Every new attempt goes to the target version as far as the grant reaches; what runs on old leafs
    /// ends there.
    Shift,
    /// The target version was judged good and its completion is being written: everything goes to it, and
    /// nothing new to old leafs, which may be stopped at any moment.
    Commit,
    /// The target version was judged bad, and that is being written: nothing goes to it.
    Back,
}

impl Stage {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Shift => "shift",
            Self::Commit => "commit",
            Self::Back => "back",
        }
    }
}

/// What one daemon may send to the target version. A grant replaces the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// What daemons do.
    pub stage: Stage,
    /// Sends to the target version in the daemon's whole life under this order, at most. A running total,
    /// so that a grant that comes twice does no harm. Without meaning in [`Stage::Commit`] and
    /// [`Stage::Back`].
    pub limit: u64,
    /// How long the grant may be used after it came.
    pub valid: Duration,
}
