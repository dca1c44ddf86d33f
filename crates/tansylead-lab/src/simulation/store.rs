//! The simulated platform store: versioned objects, compare-and-set, and a watch.

use super::message::{CallId, Request, Response};
use std::collections::BTreeMap;
use tansylead_types::store::{ObjectList, WriteConflict, WriteRequest};
use tansylead_types::{ChangeId, ConfigObject, ObjectKey, StoredObject};

/// Revisions that a restore from a backup goes back.
const REVISIONS_LOST_BY_RESTORE: u64 = 2;

/// Ways in which the store fails; each counted, because faults may overlap.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreFaults {
    /// Does not answer and does nothing.
    pub outages: u32,
    /// Answers late.
    pub slowness: u32,
    /// Does what is asked, but half of its answers are lost.
    pub lost_answers: u32,
}

/// The store.
#[derive(Debug, Default)]
pub struct SimulatedStore {
    /// Faults.
    pub faults: StoreFaults,
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: u64,
    log: Vec<StoredObject>,
    held: Vec<(CallId, u64)>,
}

impl SimulatedStore {
    /// A store that holds these objects, each written once.
    pub fn with_objects(objects: Vec<(ObjectKey, ConfigObject)>) -> Self {
        let mut store = Self::default();
        for (number, (key, object)) in objects.into_iter().enumerate() {
            let change =
                ChangeId::new(format!("initial{number}")).expect("generated name is valid");
            let write = WriteRequest {
                expected_generation: 0,
                change,
                object,
            };
            let _ = store.write(key, write);
        }
        store
    }

    /// One object.
    pub fn get(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Performs a request; a read that is held is answered by a later write or by
    /// [`SimulatedStore::release`].
    pub fn on_request(&mut self, call: CallId, request: Request) -> Vec<(CallId, Response)> {
        match request {
            Request::ReadStore { after, hold } => {
                if hold && self.revision <= after {
                    self.held.push((call, after));
                    return Vec::new();
                }
                vec![(call, Response::Objects(self.list_after(after)))]
            }
            Request::GetObject(key) => {
                vec![(call, Response::Object(self.objects.get(&key).cloned()))]
            }
            Request::WriteObject(key, write) => {
                let response = match self.write(key, write) {
                    Ok(stored) => Response::Written(stored),
                    Err(conflict) => Response::Conflict(*conflict),
                };
                let mut responses = vec![(call, response)];
                responses.extend(self.answer_held());
                responses
            }
            _ => Vec::new(),
        }
    }

    /// Compare-and-set.
    pub fn write(
        &mut self,
        key: ObjectKey,
        write: WriteRequest,
    ) -> Result<StoredObject, Box<WriteConflict>> {
        let current = self.objects.get(&key);
        let generation = current.map_or(0, |stored| stored.generation);
        if generation != write.expected_generation {
            return Err(Box::new(WriteConflict {
                current: current.cloned(),
            }));
        }
        self.revision += 1;
        let stored = StoredObject {
            key: key.clone(),
            revision: self.revision,
            generation: generation + 1,
            change: write.change,
            object: Some(write.object),
        };
        self.log.push(stored.clone());
        self.objects.insert(key, stored.clone());
        Ok(stored)
    }

    /// Answers all reads that wait for a change and have got one.
    pub fn answer_held(&mut self) -> Vec<(CallId, Response)> {
        let held = std::mem::take(&mut self.held);
        let (ready, waiting) = held
            .into_iter()
            .partition(|(_, after)| self.revision > *after);
        self.held = waiting;
        let answer = |(call, after)| (call, Response::Objects(self.list_after(after)));
        let ready: Vec<(CallId, u64)> = ready;
        ready.into_iter().map(answer).collect()
    }

    /// The time to hold a read is over.
    pub fn release(&mut self, call: CallId) -> Option<Response> {
        let position = self.held.iter().position(|(held, _)| *held == call)?;
        let (_, after) = self.held.remove(position);
        Some(Response::Objects(self.list_after(after)))
    }

    /// The reader has gone away.
    pub fn on_abandoned(&mut self, call: CallId) {
        self.held.retain(|(held, _)| *held != call);
    }

    /// Goes back to an older state. Returns the reads that were held: their connections break, for
    /// a store that is restored is started anew.
    pub fn restore_older(&mut self) -> Vec<CallId> {
        let revision = self.revision.saturating_sub(REVISIONS_LOST_BY_RESTORE);
        self.log.retain(|stored| stored.revision <= revision);
        self.revision = revision;
        self.objects = self
            .log
            .iter()
            .map(|stored| (stored.key.clone(), stored.clone()))
            .collect();
        let held = std::mem::take(&mut self.held);
        held.into_iter().map(|(call, _)| call).collect()
    }

    fn list_after(&self, after: u64) -> ObjectList {
        let objects = self.objects.values();
        let changed = objects.filter(|stored| stored.revision > after);
        ObjectList {
            revision: self.revision,
            objects: changed.cloned().collect(),
        }
    }
}
