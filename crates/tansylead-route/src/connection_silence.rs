//! Detects kept-alive connections that are dead although they were not reset.
//!
//! A connection can lose its peer without a reset: what is written to it is never answered, while a new
//! connection to the same peer works. A single late answer is no proof of that, since leafs pause. Kept
//! connections count as dead once nothing at all has come on them for longer than a pause lasts, although
//! requests were sent on them.

use std::time::Duration;
use tansylead_types::Moment;

/// When silence means that the connections are dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimit {
    /// Minimum time without any answer since the first overdue request was sent.
    duration: Duration,
    /// Minimum number of overdue requests.
    overdue: u32,
}

impl SilenceLimit {
    /// For the connections to one leaf. Longer than ordinary pauses of leafs (300 ms at most at users' sites).
    pub const ONE_LEAF: Self = Self {
        duration: Duration::from_millis(500),
        overdue: 1,
    };
    /// For all connections of a daemon. Leafs do not all pause at once, so a shorter time is enough. It is still
    /// longer than tasks wait for the processor of a small machine.
    pub const ALL_LEAFS: Self = Self {
        duration: Duration::from_millis(300),
        overdue: 3,
    };
}

/// Tracks answers and overdue requests on a group of kept connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConnectionSilence {
    answered_at: Moment,
    /// Number of requests that became overdue since the last answer.
    overdue: u32,
    /// When the first overdue request was sent.
    since: Moment,
}

impl ConnectionSilence {
    /// Records that an answer has come on a kept connection.
    pub fn on_answer(&mut self, now: Moment) {
        self.answered_at = now;
        self.overdue = 0;
    }

    /// Records that the answer to a request that was sent at `sent` on a kept connection is overdue. Returns
    /// whether the connections that have been kept so far should be closed; if so, counting starts over.
    pub fn on_overdue(&mut self, now: Moment, sent: Moment, limit: SilenceLimit) -> bool {
        if self.answered_at > sent {
            return false;
        }
        if self.overdue == 0 {
            self.since = sent;
        }
        self.overdue = self.overdue.saturating_add(1);
        let is_lost = now.since(self.since) >= limit.duration && self.overdue >= limit.overdue;
        if is_lost {
            self.overdue = 0;
        }
        is_lost
    }
}
