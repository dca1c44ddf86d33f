//! A queue of timers ordered by due time. Obsolete timers are not removed: the handler checks
//! whether its timer still applies.

use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_types::Moment;

/// Timers ordered by due time.
#[derive(Debug)]
pub(super) struct TimerQueue<T> {
    timers: BTreeSet<(Moment, T)>,
}

impl<T: Ord + Clone> TimerQueue<T> {
    pub(super) fn new() -> Self {
        Self {
            timers: BTreeSet::new(),
        }
    }

    pub(super) fn schedule(&mut self, at: Moment, timer: T) {
        self.timers.insert((at, timer));
    }

    pub(super) fn next(&self) -> Option<Moment> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(super) fn pop_due(&mut self, now: Moment) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// Postpones every timer after this process was suspended: peers must not be blamed for the
    /// time in which it could not receive their packets.
    pub(super) fn delay_all(&mut self, delay: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers
            .into_iter()
            .map(|(at, timer)| (at + delay, timer))
            .collect();
    }
}
