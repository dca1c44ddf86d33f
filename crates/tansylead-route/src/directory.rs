//! The leaf directory: a replica of the leafs' entries, with a log of recent changes for peers that lag.
//!
//! Invariants: the revision never decreases; a delta from a revision that the log still covers brings a
//! replica at that revision up to date; an entry of a run never replaces one of a later run of its leaf. A
//! replica of an earlier era gets all entries: two replicas at the same revision may since have held different
//! changes that the source lost when it was restored, and no log contains those.

use crate::leaf::LeafEntry;
use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use tansylead_types::LeafId;

/// Number of changes kept for peers. A peer further behind gets all entries.
const LOGGED_CHANGES: usize = 512;

/// One change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryChange {
    /// The entry is new or has changed.
    Present(LeafEntry),
    /// The entry is gone.
    Gone(LeafId),
}

impl DirectoryChange {
    /// The leaf whose entry changed.
    pub fn leaf(&self) -> &LeafId {
        match self {
            DirectoryChange::Present(entry) => &entry.leaf,
            DirectoryChange::Gone(leaf) => leaf,
        }
    }
}

/// An update that brings a replica to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryDelta {
    /// All entries; leafs that are not among them are gone.
    Everything {
        /// Revision of the entries.
        at: Revision,
        /// Entries of all leafs.
        entries: Vec<LeafEntry>,
    },
    /// The changes since a revision that the receiver holds.
    Changes {
        /// Revision after which the changes start.
        after: Revision,
        /// Revision after the changes.
        at: Revision,
        /// Changes in the order of their revisions.
        changes: Vec<DirectoryChange>,
    },
}

#[derive(Debug)]
struct LoggedChange {
    at: Revision,
    change: DirectoryChange,
}

/// Replica of the directory.
#[derive(Debug, Default)]
pub struct LeafDirectory {
    entries: BTreeMap<LeafId, LeafEntry>,
    at: Option<Revision>,
    log: VecDeque<LoggedChange>,
    /// The log holds every change after this revision.
    log_start: Revision,
}

impl LeafDirectory {
    /// Revision up to which this replica is complete; none before the first full read.
    pub fn revision(&self) -> Option<Revision> {
        self.at
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &LeafEntry> {
        self.entries.values()
    }

    /// Applies a delta. Returns the changes that it made; none if it is older than this replica or
    /// starts after its revision.
    pub fn apply(&mut self, delta: DirectoryDelta) -> Vec<DirectoryChange> {
        match delta {
            DirectoryDelta::Everything { at, entries } => self.apply_everything(at, entries),
            DirectoryDelta::Changes { after, at, changes } => {
                let fits = self
                    .at
                    .is_some_and(|held| after <= held && held <= at && held.era == at.era);
                if !fits {
                    return Vec::new();
                }
                self.record(at, changes)
            }
        }
    }

    /// Whether a delta comes from a source that was restored from an older copy since this replica was last
    /// updated.
    pub fn is_restored_by(&self, delta: &DirectoryDelta) -> bool {
        let DirectoryDelta::Everything { at, .. } = delta else {
            return false;
        };
        self.at.is_some_and(|held| held.era < at.era)
    }

    /// The delta for a replica at `after`; none if it is up to date or this replica is empty.
    pub fn delta_after(&self, after: Option<Revision>) -> Option<DirectoryDelta> {
        let at = self.at?;
        match after {
            Some(after) if after >= at => None,
            Some(after) if after.era == at.era && after >= self.log_start => {
                let newer = self.log.iter().filter(|logged| logged.at > after);
                let changes = newer.map(|logged| logged.change.clone()).collect();
                Some(DirectoryDelta::Changes { after, at, changes })
            }
            _ => {
                let entries = self.entries.values().cloned().collect();
                Some(DirectoryDelta::Everything { at, entries })
            }
        }
    }

    fn apply_everything(&mut self, at: Revision, entries: Vec<LeafEntry>) -> Vec<DirectoryChange> {
        if self.at.is_some_and(|held| at < held) {
            return Vec::new();
        }
        let is_new_era = self.at.is_none_or(|held| held.era < at.era);
        let mut missing: BTreeMap<LeafId, ()> =
            self.entries.keys().map(|leaf| (leaf.clone(), ())).collect();
        let mut changes = Vec::new();
        for entry in entries {
            missing.remove(&entry.leaf);
            changes.push(DirectoryChange::Present(entry));
        }
        changes.extend(missing.into_keys().map(DirectoryChange::Gone));
        if is_new_era {
            self.log.clear();
            self.log_start = at;
        }
        self.record(at, changes)
    }

    fn record(&mut self, at: Revision, changes: Vec<DirectoryChange>) -> Vec<DirectoryChange> {
        self.at = Some(at);
        let mut applied = Vec::new();
        for mut change in changes {
            let changed = match &mut change {
                DirectoryChange::Present(entry) => self.put(entry),
                DirectoryChange::Gone(leaf) => self.entries.remove(leaf).is_some(),
            };
            if changed {
                self.log_change(at, change.clone());
                applied.push(change);
            }
        }
        applied
    }

    /// Stores an entry. Returns whether its content changed. A later revision alone is no change, and a late
    /// entry of an earlier run is ignored.
    fn put(&mut self, entry: &mut LeafEntry) -> bool {
        let Some(held) = self.entries.get_mut(&entry.leaf) else {
            self.entries.insert(entry.leaf.clone(), entry.clone());
            return true;
        };
        if entry.is_of_earlier_run_than(held) {
            return false;
        }
        entry.inherit_from(held);
        let changed = !entry.has_same_content_as(held);
        *held = entry.clone();
        changed
    }

    fn log_change(&mut self, at: Revision, change: DirectoryChange) {
        if at <= self.log_start {
            return;
        }
        self.log.push_back(LoggedChange { at, change });
        while self.log.len() > LOGGED_CHANGES {
            if let Some(dropped) = self.log.pop_front() {
                self.log_start = self.log_start.max(dropped.at);
            }
        }
    }
}
