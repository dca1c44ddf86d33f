//! The leaf directory: a replica of the leafs' entries, with its recent changes for peers that lag.
//!
//! Invariants: the revision never goes down; a delta after a revision that the log still covers
//! brings a replica of that revision to this one; an entry of a run never follows one of a later run of its
//! leaf. A replica of an earlier era gets everything: two that held the same revision before the source went
//! back may have held changes since that the source has lost, and no log tells of those.

use crate::leaf::LeafEntry;
use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use tansylead_types::LeafId;

/// Changes kept for peers. A peer further behind gets everything.
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
    /// The leaf concerned.
    pub fn leaf(&self) -> &LeafId {
        match self {
            DirectoryChange::Present(entry) => &entry.leaf,
            DirectoryChange::Gone(leaf) => leaf,
        }
    }
}

/// What brings a replica to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryDelta {
    /// All entries; what is missing is gone.
    Everything {
        /// Revision of the entries.
        at: Revision,
        /// Entries.
        entries: Vec<LeafEntry>,
    },
    /// The changes after a revision that the receiver holds.
    Changes {
        /// Revision that the changes start from.
        after: Revision,
        /// Revision reached.
        at: Revision,
        /// Changes in order.
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
    /// Revision up to which every change is held; none before the first whole read.
    pub fn revision(&self) -> Option<Revision> {
        self.at
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &LeafEntry> {
        self.entries.values()
    }

    /// Takes in a delta. Returns the changes that it made; none if it is older than what is held
    /// or starts after it.
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

    /// Whether a delta comes from a source that went back to an older copy since this replica was brought up to
    /// date.
    pub fn is_restored_by(&self, delta: &DirectoryDelta) -> bool {
        let DirectoryDelta::Everything { at, .. } = delta else {
            return false;
        };
        self.at.is_some_and(|held| held.era < at.era)
    }

    /// What a replica at `after` lacks; none if it lacks nothing, or nothing is held here.
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
        let begins_anew = self.at.is_none_or(|held| held.era < at.era);
        let mut missing: BTreeMap<LeafId, ()> =
            self.entries.keys().map(|leaf| (leaf.clone(), ())).collect();
        let mut changes = Vec::new();
        for entry in entries {
            missing.remove(&entry.leaf);
            changes.push(DirectoryChange::Present(entry));
        }
        changes.extend(missing.into_keys().map(DirectoryChange::Gone));
        if begins_anew {
            self.log.clear();
            self.log_start = at;
        }
        self.record(at, changes)
    }

    fn record(&mut self, at: Revision, changes: Vec<DirectoryChange>) -> Vec<DirectoryChange> {
        self.at = Some(at);
        let mut made = Vec::new();
        for mut change in changes {
            let changed = match &mut change {
                DirectoryChange::Present(entry) => self.put(entry),
                DirectoryChange::Gone(leaf) => self.entries.remove(leaf).is_some(),
            };
            if changed {
                self.log_change(at, change.clone());
                made.push(change);
            }
        }
        made
    }

    /// Holds an entry. Returns whether it says anything else than before; a later revision alone does not, and
    /// a late word of an earlier run says nothing.
    fn put(&mut self, entry: &mut LeafEntry) -> bool {
        let Some(held) = self.entries.get_mut(&entry.leaf) else {
            self.entries.insert(entry.leaf.clone(), entry.clone());
            return true;
        };
        if entry.is_of_earlier_run_than(held) {
            return false;
        }
        entry.keep_from(held);
        let changed = !entry.says_the_same_as(held);
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
