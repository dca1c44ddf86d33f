//! The leaf directory: a replica of the leafs' entries, with a log of recent changes for peers that lag.
//!
//! A list of the source that was read in pages may know some entries up to a later revision than others. The replica
//! keeps these positions until changes have brought all entries to the same one; until then no entry goes back to
//! an older state, and the revision of the replica is the one that holds for every entry.
//!
//! Invariants: the revision never decreases, nor does the position of any entry within an era; a delta from a revision
//! that the log still covers brings a replica at that revision up to date; an entry of a run never replaces one of a
//! later run of its leaf. A replica of an earlier era gets all entries: two replicas at the same revision may since
//! have held different changes that the source lost when it was restored, and no log contains those.

use crate::directory_log::{DirectoryLog, LoggedSince};
use crate::leaf::LeafEntry;
use crate::list_position::ListPosition;
use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use tansylead_types::LeafId;

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

/// An update that brings a replica to a later position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryDelta {
    /// All entries; leafs that are not among them are gone.
    Everything {
        /// Position of the entries.
        at: ListPosition,
        /// Entries of all leafs.
        entries: Vec<LeafEntry>,
    },
    /// All changes since a revision, for any replica that has reached it.
    Changes {
        /// Revision after which the changes start.
        after: Revision,
        /// Revision after the changes.
        at: Revision,
        /// Changes in the order of their revisions.
        changes: Vec<DirectoryChange>,
    },
    /// The difference between two states of the directory, for a replica at exactly the first one.
    Difference {
        /// Revision of the first state.
        after: Revision,
        /// Revision of the second state.
        at: Revision,
        /// Changes that lead from the first state to the second one.
        changes: Vec<DirectoryChange>,
    },
}

/// Replica of the directory.
#[derive(Debug, Default)]
pub struct LeafDirectory {
    entries: BTreeMap<LeafId, LeafEntry>,
    position: Option<ListPosition>,
    log: DirectoryLog,
}

impl LeafDirectory {
    /// Revision up to which this replica is complete; none before the first full read. Some entries may be known
    /// up to a later one.
    pub fn revision(&self) -> Option<Revision> {
        self.position.as_ref().map(ListPosition::lowest)
    }

    /// Positions up to which the entries are known; none before the first full read.
    pub fn position(&self) -> Option<&ListPosition> {
        self.position.as_ref()
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &LeafEntry> {
        self.entries.values()
    }

    /// Applies a delta. Returns the changes that it made; none if it is older than this replica or does not continue
    /// from it.
    pub fn apply(&mut self, delta: DirectoryDelta) -> Vec<DirectoryChange> {
        match delta {
            DirectoryDelta::Everything { at, entries } => self.apply_list(at, entries),
            DirectoryDelta::Changes { after, at, changes } => {
                self.apply_changes(after, at, changes)
            }
            DirectoryDelta::Difference { after, at, changes } => {
                self.apply_difference(after, at, changes)
            }
        }
    }

    /// Whether a delta comes from a source that was restored from an older copy since this replica was last
    /// updated.
    pub fn is_restored_by(&self, delta: &DirectoryDelta) -> bool {
        let DirectoryDelta::Everything { at, .. } = delta else {
            return false;
        };
        let held = self.position.as_ref();
        held.is_some_and(|held| held.era() < at.era())
    }

    /// The delta for a replica at a position; none if it is up to date or this replica is empty.
    pub fn delta_for(&self, held: Option<&ListPosition>) -> Option<DirectoryDelta> {
        let position = self.position.as_ref()?;
        let at = position.lowest();
        let after = held.map(ListPosition::lowest);
        if after.is_some_and(|after| after >= at) {
            return None;
        }
        let are_uniform = [held, Some(position)]
            .into_iter()
            .all(|position| position.is_some_and(|position| position.uniform().is_some()));
        let covered = after.and_then(|after| Some((after, self.log.since(after)?)));
        match covered {
            Some((after, LoggedSince::Changes(changes))) => {
                Some(DirectoryDelta::Changes { after, at, changes })
            }
            Some((after, LoggedSince::Difference(changes))) if are_uniform => {
                Some(DirectoryDelta::Difference { after, at, changes })
            }
            _ => Some(DirectoryDelta::Everything {
                at: position.clone(),
                entries: self.entries.values().cloned().collect(),
            }),
        }
    }

    /// Applies a list: takes each entry, or its absence, unless this replica knows it up to a later revision.
    fn apply_list(&mut self, at: ListPosition, entries: Vec<LeafEntry>) -> Vec<DirectoryChange> {
        let held = self.position.clone();
        if held.as_ref().is_some_and(|held| at.era() < held.era()) {
            return Vec::new();
        }
        let held = held.filter(|held| held.era() == at.era());
        let mut merged = held.clone().unwrap_or_else(|| at.clone());
        merged.merge(&at);
        let is_newer = |leaf: &LeafId| {
            let held = held.as_ref().map(|held| held.of(leaf.as_str()));
            held.is_none_or(|held| held <= at.of(leaf.as_str()))
        };
        let mut missing: BTreeMap<LeafId, ()> =
            self.entries.keys().map(|leaf| (leaf.clone(), ())).collect();
        let mut changes = Vec::new();
        for entry in entries {
            missing.remove(&entry.leaf);
            if is_newer(&entry.leaf) {
                changes.push(DirectoryChange::Present(entry));
            }
        }
        let missing = missing.into_keys().filter(is_newer);
        changes.extend(missing.map(DirectoryChange::Gone));
        let revision = merged.lowest();
        self.skip_in_log(held.as_ref(), revision);
        self.position = Some(merged);
        let applied = self.put_all(changes);
        if held.is_some_and(|held| held.lowest() < revision) {
            self.log_changes(revision, &applied);
        }
        applied
    }

    /// Prepares the log for a list that brings this replica from a position to a revision.
    fn skip_in_log(&mut self, held: Option<&ListPosition>, revision: Revision) {
        match held {
            Some(held) if held.lowest() == revision => {}
            Some(held) => match held.uniform() {
                Some(held) => self.log.skip(held, revision),
                None => self.log.restart(revision),
            },
            None => self.log.restart(revision),
        }
    }

    fn apply_changes(
        &mut self,
        after: Revision,
        at: Revision,
        changes: Vec<DirectoryChange>,
    ) -> Vec<DirectoryChange> {
        let Some(mut position) = self.position.clone() else {
            return Vec::new();
        };
        let held = position.lowest();
        if !(after <= held && held <= at && held.era == at.era) {
            return Vec::new();
        }
        if position.uniform().is_some() {
            self.position = Some(at.into());
            let applied = self.put_all(changes);
            self.log_changes(at, &applied);
            return applied;
        }
        // Entries that are ahead of the others have some of the changes already; other replicas may need them.
        self.log_changes(at, &changes);
        let mut behind = last_of_each_leaf(changes);
        behind.retain(|change| position.of(change.leaf().as_str()) < at);
        position.raise_to(at);
        self.position = Some(position);
        self.put_all(behind)
    }

    fn apply_difference(
        &mut self,
        after: Revision,
        at: Revision,
        changes: Vec<DirectoryChange>,
    ) -> Vec<DirectoryChange> {
        let is_at_start = self.position == Some(after.into());
        if !(is_at_start && after <= at && after.era == at.era) {
            return Vec::new();
        }
        self.log.skip(after, at);
        self.position = Some(at.into());
        let applied = self.put_all(changes);
        self.log_changes(at, &applied);
        applied
    }

    /// Stores changes. Returns those that changed the content of an entry.
    fn put_all(&mut self, changes: Vec<DirectoryChange>) -> Vec<DirectoryChange> {
        let mut applied = Vec::new();
        for mut change in changes {
            let changed = match &mut change {
                DirectoryChange::Present(entry) => self.put(entry),
                DirectoryChange::Gone(leaf) => self.entries.remove(leaf).is_some(),
            };
            if changed {
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

    fn log_changes(&mut self, at: Revision, changes: &[DirectoryChange]) {
        for change in changes {
            self.log.record(at, change.clone());
        }
    }
}

/// The last change of each leaf, in order.
fn last_of_each_leaf(changes: Vec<DirectoryChange>) -> Vec<DirectoryChange> {
    let indexed = changes.iter().enumerate();
    let last: HashMap<LeafId, usize> = indexed
        .map(|(index, change)| (change.leaf().clone(), index))
        .collect();
    let mut index = 0..;
    let mut changes = changes;
    changes.retain(|change| last.get(change.leaf()).copied() == index.next());
    changes
}
