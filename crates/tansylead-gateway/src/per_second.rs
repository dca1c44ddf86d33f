//! A bound on how often something is done within a second.

use std::cell::Cell;
use tansylead_types::Moment;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Counts what was done in the present second.
#[derive(Debug)]
pub(crate) struct PerSecondLimit {
    limit: u32,
    second: Cell<u64>,
    done: Cell<u32>,
}

impl PerSecondLimit {
    /// At most `limit` times a second.
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            limit,
            second: Cell::new(0),
            done: Cell::new(0),
        }
    }

    /// Whether it may be done once more now; counts it if so.
    pub(crate) fn try_take(&self, now: Moment) -> bool {
        let second = now.0 / MICROS_PER_SECOND;
        if self.second.replace(second) != second {
            self.done.set(0);
        }
        let is_free = self.done.get() < self.limit;
        if is_free {
            self.done.set(self.done.get() + 1);
        }
        is_free
    }
}
