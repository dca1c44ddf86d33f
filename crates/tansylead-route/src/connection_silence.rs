//! Finds out that kept connections have gone silent for good.
//!
//! A connection can lose its peer without a reset: what is written to it is never answered, while a new
//! connection to the same peer works. A single late answer does not show that, since leafs pause. It shows
//! when nothing at all has come on kept connections for longer than a pause lasts, although requests were
//! sent on them.

use std::time::Duration;
use tansylead_types::Moment;

/// When silence counts as a loss of the connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimit {
    /// Time without any answer, from the first request that is overdue on.
    time: Duration,
    /// Requests that are overdue, at least.
    requests: u32,
}

impl SilenceLimit {
    /// For the connections to one leaf. Longer than ordinary pauses of leafs (users' sites: 300 ms at most).
    pub const ONE_LEAF: Self = Self {
        time: Duration::from_millis(500),
        requests: 1,
    };
    /// For all connections of a daemon. Leafs do not all pause at once, so that a shorter time will do, though
    /// one longer than tasks wait for the processor of a small machine.
    pub const ALL_LEAFS: Self = Self {
        time: Duration::from_millis(300),
        requests: 3,
    };
}

/// What has come on a group of kept connections since requests on them became overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConnectionSilence {
    answered_at: Moment,
    /// Requests found overdue since the last answer.
    overdue: u32,
    /// When the first of them was sent.
    since: Moment,
}

impl ConnectionSilence {
    /// Notes that an answer has come on a kept connection.
    pub fn on_answer(&mut self, now: Moment) {
        self.answered_at = now;
        self.overdue = 0;
    }

    /// Notes that the answer to a request that was sent at `sent` on a kept connection is overdue. Returns
    /// whether the connections that have been kept so far should be closed; then counting begins anew.
    pub fn on_overdue(&mut self, now: Moment, sent: Moment, limit: SilenceLimit) -> bool {
        if self.answered_at > sent {
            return false;
        }
        if self.overdue == 0 {
            self.since = sent;
        }
        self.overdue = self.overdue.saturating_add(1);
        let is_lost = now.since(self.since) >= limit.time && self.overdue >= limit.requests;
        if is_lost {
            self.overdue = 0;
        }
        is_lost
    }
}
