//! Outcomes that the store client reports for a write, also if the answer is lost.

mod support;

use std::sync::atomic::Ordering;
use support::store::TestStore;
use tansylead_daemon::platform::{StoreClient, WriteError, WriteOutcome};
use tansylead_types::store::WriteRequest;
use tansylead_types::{ConfigObject, ObjectKey, TrafficTable};

fn write(expected_generation: u64, change: &str) -> WriteRequest {
    WriteRequest {
        expected_generation,
        change: change.parse().expect("change id"),
        object: ConfigObject::Table(TrafficTable::default()),
    }
}

#[tokio::test]
async fn writes_are_accepted_or_conflict() {
    let store = TestStore::start().await;
    let client = StoreClient::new(store.address);
    assert_eq!(client.get(&ObjectKey::Table).await.expect("read"), None);
    let first = client.put(&ObjectKey::Table, &write(0, "a")).await;
    assert!(matches!(first, Ok(WriteOutcome::Accepted(stored)) if stored.generation == 1));
    let second = client.put(&ObjectKey::Table, &write(0, "b")).await;
    let Ok(WriteOutcome::Conflict(conflict)) = second else {
        panic!("expected a conflict: {second:?}");
    };
    assert_eq!(conflict.current.expect("present").change.as_str(), "a");
    let list = client.list(0).await.expect("list");
    assert_eq!((list.revision, list.objects.len()), (1, 1));
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_can_be_read_back() {
    let store = TestStore::start().await;
    let client = StoreClient::new(store.address);
    store.lose_answers.store(true, Ordering::SeqCst);
    let result = client.put(&ObjectKey::Table, &write(0, "a")).await;
    assert!(
        matches!(result, Err(WriteError::OutcomeUnknown(_))),
        "{result:?}"
    );
    store.lose_answers.store(false, Ordering::SeqCst);
    let stored = client.get(&ObjectKey::Table).await.expect("read");
    assert_eq!(stored.expect("written").change.as_str(), "a");
}

#[tokio::test]
async fn a_store_that_cannot_be_reached_has_not_written() {
    let store = TestStore::start().await;
    let client = StoreClient::new(store.address);
    drop(store);
    tokio::task::yield_now().await;
    let result = client.put(&ObjectKey::Table, &write(0, "a")).await;
    let Err(WriteError::NotWritten(error)) = result else {
        panic!("expected not written: {result:?}");
    };
    assert_eq!(error.step, "write store object");
}
