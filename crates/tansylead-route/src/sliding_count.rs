//! Counts events over a sliding window, in parts of the window.

use std::time::Duration;
use tansylead_types::Moment;

/// Parts a window is counted in.
const PARTS: u64 = 10;
/// One part more than the window has, so that the window is always covered whole.
const SLOTS: usize = PARTS as usize + 1;

/// Events of the last window and a part of it more at most.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlidingCount {
    part: Duration,
    /// Number of the newest part that events were counted in.
    newest: u64,
    counts: [u32; SLOTS],
}

impl SlidingCount {
    /// No events, in windows of this length.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            part: (window / PARTS as u32).max(Duration::from_millis(1)),
            newest: 0,
            counts: [0; SLOTS],
        }
    }

    /// Counts an event.
    pub(crate) fn add(&mut self, now: Moment) {
        let number = self.number(now);
        // Parts that were passed over since the newest one hold counts of an earlier window.
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for part in 0..passed {
            self.counts[slot(number - part)] = 0;
        }
        self.newest = self.newest.max(number);
        self.counts[slot(number)] += 1;
    }

    /// Events in the window that ends now.
    pub(crate) fn sum(&self, now: Moment) -> u32 {
        let number = self.number(now);
        let oldest = number.saturating_sub(PARTS);
        let held = self.newest.saturating_sub(PARTS)..=self.newest;
        let live = held.filter(|part| *part >= oldest);
        live.map(|part| self.counts[slot(part)]).sum()
    }

    /// Number of the part that `now` lies in; starts beyond the number of parts, so that empty parts
    /// never count as recent.
    fn number(&self, now: Moment) -> u64 {
        now.0 / self.part.as_micros() as u64 + SLOTS as u64
    }
}

fn slot(number: u64) -> usize {
    (number % SLOTS as u64) as usize
}
