//! The objects of the stand-in store with their whole history.
//!
//! Invariants: each write raises the store's revision by one and the object's generation by one;
//! a write is applied only if the expected generation is the current one.

use std::collections::BTreeMap;
use tansylead_types::store::{ObjectList, WriteConflict, WriteRequest};
use tansylead_types::{ObjectKey, StoredObject};

/// All objects and the writes that made them.
#[derive(Debug, Default)]
pub struct Objects {
    history: Vec<StoredObject>,
}

impl Objects {
    /// Revision of the last write; 0 when nothing was written.
    pub fn revision(&self) -> u64 {
        self.history.last().map_or(0, |object| object.revision)
    }

    /// The object as it was at a revision.
    pub fn get(&self, key: &ObjectKey, at_revision: u64) -> Option<&StoredObject> {
        self.history
            .iter()
            .rev()
            .find(|object| object.key == *key && object.revision <= at_revision)
    }

    /// The objects written after a revision, as they were at another.
    pub fn changed_after(&self, after: u64, at_revision: u64) -> ObjectList {
        let mut latest: BTreeMap<&ObjectKey, &StoredObject> = BTreeMap::new();
        let visible = self
            .history
            .iter()
            .filter(|object| object.revision > after && object.revision <= at_revision);
        for object in visible {
            latest.insert(&object.key, object);
        }
        ObjectList {
            revision: self.revision().min(at_revision),
            objects: latest.into_values().cloned().collect(),
        }
    }

    /// Applies a write if its expected generation is the current one.
    pub fn write(
        &mut self,
        key: ObjectKey,
        write: WriteRequest,
    ) -> Result<StoredObject, Box<WriteConflict>> {
        let revision = self.revision();
        let current = self.get(&key, revision);
        let generation = current.map_or(0, |object| object.generation);
        if generation != write.expected_generation {
            return Err(Box::new(WriteConflict {
                current: current.cloned(),
            }));
        }
        let written = StoredObject {
            key,
            revision: revision + 1,
            generation: generation + 1,
            change: write.change,
            object: Some(write.object),
        };
        self.history.push(written.clone());
        Ok(written)
    }

    /// Forgets all writes after a revision.
    pub fn restore(&mut self, revision: u64) {
        self.history.retain(|object| object.revision <= revision);
    }
}
