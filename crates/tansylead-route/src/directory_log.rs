//! Recent changes of the leaf directory, for replicas that lag.
//!
//! Invariant: outside a range that was skipped, the log has every change after its start in the order of the source.
//! A replica between two positions needs each of them: an entry may change and change back, or come and go again,
//! and a comparison of the two states shows neither.

use crate::directory::DirectoryChange;
use crate::revision::Revision;
use std::collections::VecDeque;

/// Number of changes kept. A replica further behind gets all entries.
const LOGGED_CHANGES: usize = 512;

#[derive(Debug)]
struct LoggedChange {
    at: Revision,
    change: DirectoryChange,
}

/// A range of revisions that was passed by a list: the log has the differences between its ends instead of
/// the changes in it.
#[derive(Debug, Clone, Copy)]
struct SkippedRange {
    after: Revision,
    until: Revision,
}

/// How the log leads from a revision to the present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LoggedSince {
    /// All changes, in order.
    Changes(Vec<DirectoryChange>),
    /// Changes that have the same result for a replica at exactly this revision.
    Difference(Vec<DirectoryChange>),
}

/// The log.
#[derive(Debug, Default)]
pub(crate) struct DirectoryLog {
    changes: VecDeque<LoggedChange>,
    start: Revision,
    skipped: Option<SkippedRange>,
}

impl DirectoryLog {
    /// Forgets everything up to a revision.
    pub(crate) fn restart(&mut self, at: Revision) {
        self.changes.retain(|logged| logged.at > at);
        self.start = at;
        self.skipped = None;
    }

    /// Records that a list skips the changes between two revisions. The differences are recorded next, at `until`.
    pub(crate) fn skip(&mut self, after: Revision, until: Revision) {
        if let Some(earlier) = self.skipped {
            self.restart(earlier.until);
        }
        self.skipped = Some(SkippedRange { after, until });
    }

    /// Adds a change that is complete up to `at`.
    pub(crate) fn record(&mut self, at: Revision, change: DirectoryChange) {
        if at <= self.start {
            return;
        }
        self.changes.push_back(LoggedChange { at, change });
        while self.changes.len() > LOGGED_CHANGES {
            if let Some(dropped) = self.changes.pop_front() {
                self.start = self.start.max(dropped.at);
            }
        }
    }

    /// What leads from a revision to the present; none if the log does not cover it.
    pub(crate) fn since(&self, after: Revision) -> Option<LoggedSince> {
        if after.era != self.start.era || after < self.start {
            return None;
        }
        let newer = self.changes.iter().filter(|logged| logged.at > after);
        let changes = newer.map(|logged| logged.change.clone()).collect();
        match self.skipped {
            Some(skipped) if after <= skipped.after => Some(LoggedSince::Difference(changes)),
            Some(skipped) if after < skipped.until => None,
            _ => Some(LoggedSince::Changes(changes)),
        }
    }
}
