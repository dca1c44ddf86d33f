//! Timers of the engine in order of time. Several timers may be due at the same time.
//!
//! Query deadlines are kept apart: they only end queries and are fired before an event is handled,
//! while all other timers may send attempts and are fired after it.

use std::collections::BTreeSet;
use tansylead_types::{AttemptId, Moment, QueryId};

use crate::leaf_table::LeafIndex;

/// What to do when a timer is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Check whether a query may answer partially from now on.
    EarlyPartial(QueryId),
    /// Check a query for slow attempts.
    Hedge(QueryId),
    /// Dispatch a shard, by its position in the query, after its backoff.
    Retry(QueryId, usize),
    /// Free the slot of a cancelled attempt.
    CancelledSlot(QueryId, AttemptId),
    /// End a pause or an ejection of a leaf.
    Leaf(LeafIndex),
}

/// Ordered sets of timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    deadlines: BTreeSet<(Moment, QueryId)>,
    queue: BTreeSet<(Moment, Timer)>,
}

impl Timers {
    /// Adds the deadline of a query.
    pub(crate) fn schedule_deadline(&mut self, at: Moment, query: QueryId) {
        self.deadlines.insert((at, query));
    }

    /// Removes the deadline of a query that is over.
    pub(crate) fn cancel_deadline(&mut self, at: Moment, query: QueryId) {
        self.deadlines.remove(&(at, query));
    }

    /// Removes and returns the query with the earliest deadline if it is due.
    pub(crate) fn pop_due_deadline(&mut self, now: Moment) -> Option<QueryId> {
        pop_due(&mut self.deadlines, now)
    }

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
        pop_due(&mut self.queue, now)
    }

    /// Time of the earliest deadline or timer.
    pub(crate) fn next(&self) -> Option<Moment> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let timer = self.queue.first().map(|(at, _)| *at);
        deadline.into_iter().chain(timer).min()
    }
}

fn pop_due<T: Copy + Ord>(queue: &mut BTreeSet<(Moment, T)>, now: Moment) -> Option<T> {
    let (at, item) = *queue.first()?;
    if at > now {
        return None;
    }
    queue.pop_first();
    Some(item)
}
