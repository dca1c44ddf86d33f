//! Detects that this process did not run for a while.
//!
//! Messages that were in the socket meanwhile look new although they are old: a judge that was frozen would count as
//! its followers daemons that follow another judge by now.

use std::time::Duration;
use tansylead_types::Moment;

/// A longer time between two checks, which come every few tens of milliseconds, is a pause: as long as a
/// silent judge is still followed.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);

/// Detects pauses from the times of the checks.
#[derive(Debug)]
pub struct PauseGuard {
    /// A longer time between two checks is a pause.
    limit: Duration,
    checked_at: Option<Moment>,
    discards_until: Option<Moment>,
}

impl Default for PauseGuard {
    fn default() -> Self {
        Self::new(PAUSE_LIMIT)
    }
}

impl PauseGuard {
    /// Messages are discarded for this long after a pause: a few rounds of reading a full socket, and as long
    /// as a busy reporter takes to report again.
    pub const DISCARD_PERIOD: Duration = Duration::from_millis(250);

    /// A guard for which a longer time than `limit` between two checks is a pause.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            checked_at: None,
            discards_until: None,
        }
    }

    /// Whether the next check will find a pause: messages that are read before it may be old.
    pub fn is_overdue(&self, now: Moment) -> bool {
        self.checked_at.is_some_and(|at| now.since(at) > self.limit)
    }

    /// Records a check. Returns how long this process did not run, if it was paused.
    pub fn check(&mut self, now: Moment) -> Option<Duration> {
        let gap = self.checked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.checked_at = Some(now);
        if gap <= self.limit {
            return None;
        }
        self.discards_until = Some(now + Self::DISCARD_PERIOD);
        Some(gap)
    }

    /// Suspends the guard: the time until the next check is no pause.
    pub fn suspend(&mut self) {
        self.checked_at = None;
    }

    /// Whether messages that come now may be from before the end of a pause, and are to be discarded.
    pub fn is_discarding(&self, now: Moment) -> bool {
        self.discards_until.is_some_and(|until| now < until)
    }
}
