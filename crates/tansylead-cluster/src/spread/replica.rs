//! The configuration one daemon holds.
//!
//! Invariants, whatever a store or a peer sends: the version (generation, then revision) of an
//! object never decreases; the revision never decreases; deletions are kept as tombstones, objects
//! without contents. Applying lists in any order and any number of times gives the same result.

use crate::membership::ConfigDigest;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use tansylead_types::store::ObjectList;
use tansylead_types::{ObjectKey, StoredObject};
use xxhash_rust::xxh3::Xxh3;

/// Error for a list that leaves a gap after the revision held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("list starts after revision {after} but the replica holds only up to {held}")]
pub struct GapError {
    /// Revision the list starts after.
    pub after: u64,
    /// Revision the replica holds.
    pub held: u64,
}

/// Result of applying a list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ApplyOutcome {
    /// Objects that changed.
    pub applied: Vec<ObjectKey>,
    /// Number of objects in the list that were older than the ones held.
    pub older: usize,
    /// Whether the digest or the completeness changed.
    pub changed: bool,
}

/// The configuration one daemon holds.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: u64,
    hash: u64,
    complete: bool,
}

impl ConfigReplica {
    /// A replica that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a complete configuration was received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Revision up to which the replica holds everything.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Summary of the configuration held.
    pub fn digest(&self) -> ConfigDigest {
        ConfigDigest {
            revision: self.revision,
            hash: self.hash,
        }
    }

    /// One object; a deleted one has no contents.
    pub fn get(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// All objects, deleted ones included, ordered by key.
    pub fn objects(&self) -> impl Iterator<Item = &StoredObject> {
        self.objects.values()
    }

    /// All changes after a revision, to be sent to a peer.
    pub fn delta_after(&self, after: u64) -> ObjectList {
        let changed = |object: &&StoredObject| after == 0 || object.revision > after;
        ObjectList {
            revision: self.revision,
            objects: self.objects.values().filter(changed).cloned().collect(),
        }
    }

    /// Applies a list of all changes after revision `after`. Objects that are not newer than the
    /// ones held are skipped.
    pub fn apply(&mut self, after: u64, list: ObjectList) -> Result<ApplyOutcome, GapError> {
        if after > self.revision {
            return Err(GapError {
                after,
                held: self.revision,
            });
        }
        let before = (self.complete, self.digest());
        let mut outcome = ApplyOutcome::default();
        for object in list.objects {
            self.apply_object(object, &mut outcome);
        }
        self.revision = self.revision.max(list.revision);
        self.complete |= after == 0;
        outcome.changed = before != (self.complete, self.digest());
        Ok(outcome)
    }

    fn apply_object(&mut self, object: StoredObject, outcome: &mut ApplyOutcome) {
        if let Some(held) = self.objects.get(&object.key) {
            match compare_versions(&object, held) {
                Ordering::Less => {
                    outcome.older += 1;
                    return;
                }
                Ordering::Equal => return,
                Ordering::Greater => self.hash = self.hash.wrapping_sub(version_hash(held)),
            }
        }
        self.hash = self.hash.wrapping_add(version_hash(&object));
        outcome.applied.push(object.key.clone());
        self.objects.insert(object.key.clone(), object);
    }
}

/// Total order of the versions of one object. The generation decides; revision and change break
/// ties between writes to a store that was restored from a backup and written again.
fn compare_versions(left: &StoredObject, right: &StoredObject) -> Ordering {
    left.generation
        .cmp(&right.generation)
        .then_with(|| left.revision.cmp(&right.revision))
        .then_with(|| left.change.cmp(&right.change))
}

fn version_hash(object: &StoredObject) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(object.key.to_string().as_bytes());
    hasher.update(&object.generation.to_le_bytes());
    hasher.update(&object.revision.to_le_bytes());
    hasher.update(object.change.as_str().as_bytes());
    hasher.digest()
}
