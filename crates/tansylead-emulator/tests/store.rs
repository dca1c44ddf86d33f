//! The store's objects: conditions, status, and writes that change nothing.

use serde_json::{Value, json};
use tansylead_emulator::store::{ObjectStore, StoreError};

const KIND: &str = "kind";
const NAME: &str = "name";

fn store() -> ObjectStore {
    let mut store = ObjectStore::new(10);
    store.put(KIND, NAME, json!({"a": 1}));
    store
}

fn revision(store: &ObjectStore) -> u64 {
    store.get(KIND, NAME).expect("it is there").meta.revision
}

#[test]
fn a_write_that_changes_nothing_raises_no_revision_and_is_no_event() {
    let mut store = store();
    let before = store.revision();
    store.put(KIND, NAME, json!({"a": 1}));
    let replaced = store.replace(KIND, NAME, json!({"a": 1}), None);
    assert_eq!(replaced, store.get(KIND, NAME));
    assert!(store.replace_status(KIND, NAME, Value::Null, None).is_ok());
    assert_eq!(store.revision(), before);
    assert_eq!(store.changes(KIND, before), Ok(Vec::new()));
}

#[test]
fn spec_and_status_are_replaced_one_without_the_other() {
    let mut store = store();
    let created = revision(&store);
    let written = store.replace_status(KIND, NAME, json!("seen"), Some(created));
    let written = written.expect("the revision is the object's");
    assert_eq!(
        (written.spec, written.status),
        (json!({"a": 1}), json!("seen"))
    );
    assert!(written.meta.revision > created);
    let replaced = store.put(KIND, NAME, json!({"a": 2}));
    assert_eq!(replaced.status, json!("seen"));
    assert_eq!(replaced.meta.made, created, "it stays the same object");
    store.delete(KIND, NAME, None).expect("it is there");
    let recreated = store.put(KIND, NAME, json!({"a": 2}));
    assert_ne!(recreated.meta.made, created);
    assert_eq!(recreated.status, Value::Null);
}

#[test]
fn writes_under_another_revision_change_nothing_and_show_the_object() {
    let mut store = store();
    let wrong = Some(revision(&store) + 1);
    let current = store.get(KIND, NAME).expect("it is there");
    let conflict = Err(StoreError::Conflict(Box::new(current.clone())));
    assert_eq!(store.replace(KIND, NAME, json!(2), wrong), conflict);
    assert_eq!(store.replace_status(KIND, NAME, json!(2), wrong), conflict);
    assert_eq!(store.delete(KIND, NAME, wrong), conflict);
    assert_eq!(store.get(KIND, NAME), Ok(current.clone()));
    let right = Some(current.meta.revision);
    assert_eq!(store.delete(KIND, NAME, right), Ok(current));
    let gone = store.replace_status(KIND, NAME, json!(2), right);
    assert_eq!(gone, Err(StoreError::NotFound));
}
