//! Exponential backoff of new connections to a leaf that resets them.
//!
//! A leaf resets connections beyond its limit, for instance while it still counts the connections
//! of daemons that lost power. More attempts only fail more requests, so the waits between them
//! grow; connections that are already open are used meanwhile.

use std::time::Duration;
use tansylead_types::Moment;

/// First wait after a reset.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Upper bound on the doublings of the wait.
const MAXIMUM_DOUBLINGS: u32 = 4;
/// For this time after a reset, connections count as scarce.
const SCARCE_TIME: Duration = Duration::from_secs(10);

/// Backoff of new connections to one leaf.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectBackoff {
    /// Resets since a new connection was last answered; those of one wait count once.
    resets: u32,
    /// No connection is opened before this moment.
    open_after: Moment,
    last_reset: Option<Moment>,
}

impl ConnectBackoff {
    /// Records that a new connection was reset before its first answer. `random` in 0 to 1 is the
    /// jitter between daemons. Returns whether this reset began the backoff.
    pub fn on_reset(&mut self, now: Moment, random: f64) -> bool {
        self.last_reset = Some(now);
        if now < self.open_after {
            // Connections that were opened together are reset together.
            return false;
        }
        let doublings = self.resets.min(MAXIMUM_DOUBLINGS);
        let wait = FIRST_WAIT * 2_u32.pow(doublings);
        self.resets = self.resets.saturating_add(1);
        self.open_after = now + wait.mul_f64(0.5 + random);
        self.resets == 1
    }

    /// Records the first answer on a new connection.
    pub fn on_answer(&mut self) {
        self.resets = 0;
        self.open_after = Moment::default();
    }

    /// Whether new connections were reset recently, so that open ones are worth keeping.
    pub fn is_scarce(&self, now: Moment) -> bool {
        self.last_reset
            .is_some_and(|last| now.since(last) < SCARCE_TIME)
    }

    /// Whether the backoff forbids opening a connection now.
    pub fn is_waiting(&self, now: Moment) -> bool {
        now < self.open_after
    }
}
