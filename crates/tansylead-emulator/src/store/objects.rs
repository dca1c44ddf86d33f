//! The objects and their history. No I/O.
//!
//! Invariants: the revision rises with each change; a watch from a revision that the history still
//! covers yields every later change of its kind, in order.

use super::replica::Replica;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Objects by kind and name.
pub(super) type Kinds = BTreeMap<String, BTreeMap<String, StoredObject>>;

/// One object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Name and revision.
    pub meta: ObjectMeta,
    /// Desired state, as its writer specifies it.
    pub spec: Value,
    /// Observed state.
    pub status: Value,
}

/// Name and revision of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectMeta {
    /// Name, unique within the kind.
    pub name: String,
    /// Revision of its last change.
    #[serde(default)]
    pub revision: u64,
    /// Revision at which it was created; never changes.
    #[serde(default)]
    pub made: u64,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WatchEvent {
    /// Whether the object was removed.
    pub gone: bool,
    /// The object after the change, or as it was before its removal.
    pub object: StoredObject,
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ListPage {
    /// Objects in the order of their names.
    pub items: Vec<StoredObject>,
    /// Whether there are more.
    pub more: bool,
    /// The store's revision.
    pub at: u64,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreError {
    /// No such object.
    NotFound,
    /// The object exists already, or has another revision.
    Conflict(Box<StoredObject>),
    /// The history does not reach back to the revision.
    HistoryGone,
}

#[derive(Debug, Clone)]
pub(super) struct LoggedEvent {
    pub(super) revision: u64,
    pub(super) kind: String,
    pub(super) event: WatchEvent,
}

/// Copy of the store's objects at one point in time.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: u64,
    kinds: Kinds,
}

impl StoreCopy {
    /// An object of the copy.
    pub fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.kinds.get(kind)?.get(name)
    }
}

/// All objects.
#[derive(Debug)]
pub struct ObjectStore {
    /// Incremented each time the store is restored from a copy.
    era: u64,
    revision: u64,
    kinds: Kinds,
    history: VecDeque<LoggedEvent>,
    /// The history has all changes after this revision.
    history_start: u64,
    page_objects: usize,
    /// Answer the calls that need not be current.
    replicas: Vec<Replica>,
}

impl ObjectStore {
    /// An empty store whose lists have pages of this many objects.
    pub fn new(page_objects: usize) -> Self {
        Self {
            era: 1,
            revision: 1,
            kinds: BTreeMap::new(),
            history: VecDeque::new(),
            history_start: 1,
            page_objects: page_objects.max(1),
            replicas: Vec::new(),
        }
    }

    /// Sets how far each replica is behind from now on. Without replicas every answer is current.
    pub fn set_replicas(&mut self, lags: &[Duration]) {
        let replica = |lag: &Duration| Replica::new(*lag, self.revision, self.kinds.clone());
        self.replicas = lags.iter().map(replica).collect();
    }

    /// Era of the store; incremented by each restore from a copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Copies the objects, to restore them later.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision,
            kinds: self.kinds.clone(),
        }
    }

    /// Restores a copy: later writes are lost, and their revisions are assigned again.
    pub fn restore(&mut self, copy: StoreCopy) {
        self.era += 1;
        self.revision = copy.revision;
        self.kinds = copy.kinds;
        for replica in &mut self.replicas {
            replica.restore(self.revision, self.kinds.clone());
        }
        self.discard_history();
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A page of a kind's objects, starting after a name.
    pub fn list(&self, kind: &str, after: &str) -> ListPage {
        list(&self.kinds, self.revision, self.page_objects, kind, after)
    }

    /// Like [`ObjectStore::list`] as one of the replicas has it; they take turns in `turn`.
    pub fn list_cached(&mut self, turn: usize, kind: &str, after: &str) -> ListPage {
        let index = turn.checked_rem(self.replicas.len()).unwrap_or(0);
        let Some(replica) = self.replicas.get_mut(index) else {
            return self.list(kind, after);
        };
        let (revision, kinds) = replica.state(Instant::now());
        list(kinds, revision, self.page_objects, kind, after)
    }

    /// Names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.kinds.get(kind).into_iter();
        objects
            .flat_map(|objects| objects.keys().cloned())
            .collect()
    }

    /// One object.
    pub fn get(&self, kind: &str, name: &str) -> Result<StoredObject, StoreError> {
        let object = self.kinds.get(kind).and_then(|objects| objects.get(name));
        object.cloned().ok_or(StoreError::NotFound)
    }

    /// Changes of a kind after a revision. A revision above the store's own belongs to another history.
    pub fn changes(&self, kind: &str, after: u64) -> Result<Vec<WatchEvent>, StoreError> {
        if !(self.history_start..=self.revision).contains(&after) {
            return Err(StoreError::HistoryGone);
        }
        let newer = self.history.iter();
        let newer = newer.filter(|logged| logged.revision > after && logged.kind == kind);
        Ok(newer.map(|logged| logged.event.clone()).collect())
    }

    /// Creates an object.
    pub fn create(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
    ) -> Result<StoredObject, StoreError> {
        if let Ok(current) = self.get(kind, name) {
            return Err(StoreError::Conflict(Box::new(current)));
        }
        Ok(self.put(kind, name, spec))
    }

    /// Replaces the spec of an object, if the object still has the expected revision.
    pub fn replace(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
        expected: Option<u64>,
    ) -> Result<StoredObject, StoreError> {
        let current = self.get_expected(kind, name, expected)?;
        Ok(self.store(kind, current.clone(), StoredObject { spec, ..current }))
    }

    /// Replaces the status of an object, if the object still has the expected revision.
    pub fn replace_status(
        &mut self,
        kind: &str,
        name: &str,
        status: Value,
        expected: Option<u64>,
    ) -> Result<StoredObject, StoreError> {
        let current = self.get_expected(kind, name, expected)?;
        Ok(self.store(kind, current.clone(), StoredObject { status, ..current }))
    }

    /// Creates an object, or replaces its spec.
    pub fn put(&mut self, kind: &str, name: &str, spec: Value) -> StoredObject {
        if let Ok(current) = self.get(kind, name) {
            return self.store(kind, current.clone(), StoredObject { spec, ..current });
        }
        let made = self.revision + 1;
        let meta = ObjectMeta {
            name: name.to_owned(),
            revision: made,
            made,
        };
        let status = Value::Null;
        self.insert(kind, StoredObject { meta, spec, status })
    }

    /// Removes an object, if it still has the expected revision.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<StoredObject, StoreError> {
        let object = self.get_expected(kind, name, expected)?;
        if let Some(objects) = self.kinds.get_mut(kind) {
            objects.remove(name);
        }
        self.revision += 1;
        self.log(kind, true, object.clone());
        Ok(object)
    }

    fn get_expected(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<StoredObject, StoreError> {
        let current = self.get(kind, name)?;
        if expected.is_some_and(|expected| expected != current.meta.revision) {
            return Err(StoreError::Conflict(Box::new(current)));
        }
        Ok(current)
    }

    /// Stores an object. A write that changes nothing has no new revision and no event.
    fn store(&mut self, kind: &str, current: StoredObject, wanted: StoredObject) -> StoredObject {
        if current == wanted {
            return current;
        }
        self.insert(kind, wanted)
    }

    fn insert(&mut self, kind: &str, mut object: StoredObject) -> StoredObject {
        self.revision += 1;
        object.meta.revision = self.revision;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(object.meta.name.clone(), object.clone());
        self.log(kind, false, object.clone());
        object
    }

    /// Discards the history: watches from earlier revisions fail with [`StoreError::HistoryGone`].
    pub fn discard_history(&mut self) {
        self.history.clear();
        self.history_start = self.revision;
    }

    fn log(&mut self, kind: &str, gone: bool, object: StoredObject) {
        let event = LoggedEvent {
            revision: self.revision,
            kind: kind.to_owned(),
            event: WatchEvent { gone, object },
        };
        for replica in &mut self.replicas {
            replica.log(Instant::now(), event.clone());
        }
        self.history.push_back(event);
    }
}

/// A page of a kind's objects, starting after a name.
fn list(kinds: &Kinds, at: u64, page_objects: usize, kind: &str, after: &str) -> ListPage {
    let objects = kinds.get(kind);
    let later = objects.into_iter().flat_map(|objects| objects.values());
    let later = later.filter(|object| object.meta.name.as_str() > after);
    let mut items: Vec<StoredObject> = later.take(page_objects + 1).cloned().collect();
    let more = items.len() > page_objects;
    items.truncate(page_objects);
    ListPage { items, more, at }
}
