//! An ordered queue of timers. A timer whose reason has gone is not removed; whoever handles it
//! checks that it still applies.

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

    /// Moves every timer later: the process was suspended, and time its peers could not be heard
    /// must not count against them.
    pub(super) fn delay_all(&mut self, delay: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers
            .into_iter()
            .map(|(at, timer)| (at + delay, timer))
            .collect();
    }
}
