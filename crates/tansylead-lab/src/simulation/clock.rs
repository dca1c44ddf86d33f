//! Virtual time: the event queue and the clocks of the processes.
//!
//! Invariants: events are taken in order of their moment, and those of one moment in the order
//! in which they were scheduled; time never goes back.

use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, WallTime};

/// Wall-clock time at which every simulation starts, in milliseconds since the Unix epoch.
const WALL_CLOCK_START_MILLIS: u64 = 1_800_000_000_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Both clocks of one process, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// Monotonic clock that counts suspended time.
    pub now: Moment,
    /// Wall clock, with this process's error.
    pub wall: WallTime,
}

/// Reads both clocks at `now` on a machine whose wall clock is off by `skew_millis`.
pub fn read_clocks(now: Moment, skew_millis: i64) -> Clocks {
    let exact = WALL_CLOCK_START_MILLIS + now.0 / MICROS_PER_MILLI;
    Clocks {
        now,
        wall: WallTime(exact.saturating_add_signed(skew_millis)),
    }
}

/// Events in order of time.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(Moment, u64), E>,
    next_sequence: u64,
    now: Moment,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            next_sequence: 0,
            now: Moment::default(),
        }
    }
}

impl<E> EventQueue<E> {
    /// The moment of the event taken last.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Schedules an event; one in the past happens now.
    pub fn schedule(&mut self, at: Moment, event: E) {
        let at = at.max(self.now);
        self.events.insert((at, self.next_sequence), event);
        self.next_sequence += 1;
    }

    /// Schedules an event that happens after a delay.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule(self.now + delay, event);
    }

    /// Takes the next event and moves time on to it; none at or after `end`.
    pub fn take_before(&mut self, end: Moment) -> Option<E> {
        let (&(at, sequence), _) = self.events.first_key_value()?;
        if at >= end {
            return None;
        }
        self.now = at;
        self.events.remove(&(at, sequence))
    }
}
