//! A replica of the store that applies each change some time after it was made.

use super::objects::{Kinds, LoggedEvent};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The replica.
#[derive(Debug)]
pub(super) struct Replica {
    lag: Duration,
    revision: u64,
    kinds: Kinds,
    /// Changes that it has not applied, with the time at which they were made.
    pending: VecDeque<(Instant, LoggedEvent)>,
}

impl Replica {
    /// A replica that has everything so far.
    pub(super) fn new(lag: Duration, revision: u64, kinds: Kinds) -> Self {
        Self {
            lag,
            revision,
            kinds,
            pending: VecDeque::new(),
        }
    }

    /// Adds a change, to be applied later.
    pub(super) fn log(&mut self, now: Instant, event: LoggedEvent) {
        self.pending.push_back((now, event));
    }

    /// Replaces everything, as the store was restored from a copy.
    pub(super) fn restore(&mut self, revision: u64, kinds: Kinds) {
        *self = Self::new(self.lag, revision, kinds);
    }

    /// The objects as this replica has them now, and its revision.
    pub(super) fn state(&mut self, now: Instant) -> (u64, &Kinds) {
        while let Some((made, _)) = self.pending.front()
            && now.duration_since(*made) >= self.lag
        {
            if let Some((_, event)) = self.pending.pop_front() {
                self.apply(event);
            }
        }
        (self.revision, &self.kinds)
    }

    fn apply(&mut self, change: LoggedEvent) {
        self.revision = change.revision;
        let objects = self.kinds.entry(change.kind).or_default();
        let object = change.event.object;
        if change.event.gone {
            objects.remove(&object.meta.name);
        } else {
            objects.insert(object.meta.name.clone(), object);
        }
    }
}
