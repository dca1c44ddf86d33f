//! A limit on how often something is done within a second.

use std::cell::Cell;
use tansylead_types::Moment;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Counts how often something was done in the current second.
#[derive(Debug)]
pub(crate) struct PerSecondLimit {
    limit: u32,
    second: Cell<u64>,
    done: Cell<u32>,
}

impl PerSecondLimit {
    /// A limit of `limit` times a second.
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            limit,
            second: Cell::new(0),
            done: Cell::new(0),
        }
    }

    /// Returns whether it may be done once more now, and counts it if so.
    pub(crate) fn try_take(&self, now: Moment) -> bool {
        let second = now.0 / MICROS_PER_SECOND;
        if self.second.replace(second) != second {
            self.done.set(0);
        }
        let is_allowed = self.done.get() < self.limit;
        if is_allowed {
            self.done.set(self.done.get() + 1);
        }
        is_allowed
    }
}
