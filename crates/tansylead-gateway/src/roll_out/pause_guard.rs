//! Notices that this process did not run for a while.
//!
//! What waited in the socket meanwhile looks as if it had just come, although it is old: a judge that was frozen
//! would take daemons that follow another one by now for its own.

use std::time::Duration;
use tansylead_types::Moment;

/// A longer time between two checks, which come every few tens of milliseconds, is a pause: as long as a
/// silent judge is still followed.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);
/// Watches the times of the checks.
#[derive(Debug)]
pub struct PauseGuard {
    /// A longer time between two checks is a pause.
    limit: Duration,
    checked_at: Option<Moment>,
    distrusts_until: Option<Moment>,
}

impl Default for PauseGuard {
    fn default() -> Self {
        Self::new(PAUSE_LIMIT)
    }
}

impl PauseGuard {
    /// Messages are passed over for this long after a pause: a few rounds of reading a full socket, and as long
    /// as a busy reporter takes to report again.
    pub const DISTRUST: Duration = Duration::from_millis(250);

    /// A guard that takes a longer time between two checks for a pause.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            checked_at: None,
            distrusts_until: None,
        }
    }

    /// Whether the next check will find a pause: whoever acts before it must not rely on what comes.
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
        self.distrusts_until = Some(now + Self::DISTRUST);
        Some(gap)
    }

    /// Notes that no checks will come until there is something to do.
    pub fn rest(&mut self) {
        self.checked_at = None;
    }

    /// Whether messages that come now may have waited during a pause.
    pub fn distrusts(&self, now: Moment) -> bool {
        self.distrusts_until.is_some_and(|until| now < until)
    }
}
