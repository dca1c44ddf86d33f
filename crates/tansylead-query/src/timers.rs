//! Timers of the engine in order of time. Several timers may be due at the same moment.

use std::collections::BTreeSet;
use tansylead_types::{AttemptId, Moment, QueryId};

use crate::leaf_table::LeafIndex;

/// What has to happen when a timer is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a query.
    Deadline(QueryId),
    /// The moment from which a query may answer partially.
    EarlyPartial(QueryId),
    /// Look for slow attempts of a query.
    Hedge(QueryId),
    /// The backoff of a shard, by its position in the query, has passed.
    Retry(QueryId, usize),
    /// A cancelled attempt no longer counts as running.
    CancelledSlot(QueryId, AttemptId),
    /// A pause or an ejection of a leaf has ended.
    Leaf(LeafIndex),
}

/// Ordered set of timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    queue: BTreeSet<(Moment, Timer)>,
}

impl Timers {
    /// Adds a timer.
    pub(crate) fn schedule(&mut self, at: Moment, timer: Timer) {
        self.queue.insert((at, timer));
    }

    /// Removes a timer that is no longer wanted.
    pub(crate) fn cancel(&mut self, at: Moment, timer: Timer) {
        self.queue.remove(&(at, timer));
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Moment) -> Option<Timer> {
        let (at, timer) = *self.queue.first()?;
        if at > now {
            return None;
        }
        self.queue.pop_first();
        Some(timer)
    }

    /// Moment of the earliest timer.
    pub(crate) fn next(&self) -> Option<Moment> {
        self.queue.first().map(|(at, _)| *at)
    }
}
