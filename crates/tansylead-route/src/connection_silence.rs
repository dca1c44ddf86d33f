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
    /// Time without any answer since the first request that has none.
    pub time: Duration,
    /// Requests without an answer, at least.
    pub requests: u32,
}

impl SilenceLimit {
    /// For the connections to one leaf. Longer than ordinary pauses of leafs (users' sites: 300 ms at most).
    pub const ONE_PEER: Self = Self {
        time: Duration::from_millis(500),
        requests: 1,
    };
    /// For all connections of a daemon. Leafs do not all pause at once, so that a shorter time will do; more
    /// than one query's parts wait in it on a busy machine.
    pub const ALL_PEERS: Self = Self {
        time: Duration::from_millis(300),
        requests: 3,
    };
}

/// What has come on a group of kept connections since requests were sent on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionSilence {
    limit: SilenceLimit,
    /// Requests sent since the last answer.
    unanswered: u32,
    answered_at: Moment,
    /// When the first request was sent that was found overdue since the last answer.
    silent_since: Option<Moment>,
}

impl ConnectionSilence {
    /// Connections on which nothing has been sent.
    pub fn new(limit: SilenceLimit) -> Self {
        Self {
            limit,
            unanswered: 0,
            answered_at: Moment::default(),
            silent_since: None,
        }
    }

    /// Notes that a request is sent on a kept connection.
    pub fn on_sent(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Notes that an answer has come on a kept connection.
    pub fn on_answer(&mut self, now: Moment) {
        self.answered_at = now;
        self.unanswered = 0;
        self.silent_since = None;
    }

    /// Notes that the answer to a request that was sent at `sent` on a kept connection is overdue. Returns
    /// whether the connections that have been kept so far should be closed; then counting begins anew.
    pub fn on_overdue(&mut self, now: Moment, sent: Moment) -> bool {
        if self.answered_at > sent {
            return false;
        }
        let since = *self.silent_since.get_or_insert(sent);
        let is_lost = now.since(since) >= self.limit.time && self.unanswered >= self.limit.requests;
        if is_lost {
            self.unanswered = 0;
            self.silent_since = None;
        }
        is_lost
    }
}
