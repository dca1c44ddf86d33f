//! The operators' table before six real daemons: a lost answer, racing editors, a store that is
//! down or shows an older state, a daemon that restarts meanwhile.

use crate::common::{HANG_LIMIT, start};
use std::time::Duration;
use tansylead_daemon::platform::{StoreClient, WriteError, WriteOutcome};
use tansylead_daemon::status::DaemonStatus;
use tansylead_lab::deployment::RunningDeployment;
use tansylead_lab::http::JsonClient;
use tansylead_lab::store::{OutageMode, StoreFaults};
use tansylead_types::store::WriteRequest;
use tansylead_types::{ChangeId, ConfigObject, ObjectKey, StoredObject};

const STATUS_PATH: &str = "/v1/status";
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// A daemon that could fall back would do so while it is watched that often.
const WATCHED_POLLS: usize = 40;

/// A write of the table on top of `base` that sets every limit.
fn edit(base: &StoredObject, change: &str, limit: u32) -> WriteRequest {
    let Some(ConfigObject::Table(mut table)) = base.object.clone() else {
        panic!("the store holds a table");
    };
    for row in &mut table.rows {
        row.limit = limit;
    }
    WriteRequest {
        expected_generation: base.generation,
        change: ChangeId::new(change).expect("a change id"),
        object: ConfigObject::Table(table),
    }
}

async fn stored_table(store: &StoreClient) -> StoredObject {
    let stored = store.get(&ObjectKey::Table).await.expect("the store reads");
    stored.expect("the store holds a table")
}

async fn generation_in_force(deployment: &RunningDeployment, index: usize) -> Option<u64> {
    let client = JsonClient::new(deployment.daemons[index].caller_address());
    let status: Result<DaemonStatus, _> = client.get(STATUS_PATH).await;
    status.ok().map(|status| status.table_generation)
}

async fn wait_generation(deployment: &RunningDeployment, generation: u64) {
    let waiting = async {
        for index in 0..deployment.daemons.len() {
            while generation_in_force(deployment, index).await != Some(generation) {
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
    };
    tokio::time::timeout(HANG_LIMIT, waiting)
        .await
        .expect("the table is in force on all daemons");
}

async fn assert_never_below(deployment: &RunningDeployment, generation: u64) {
    for _ in 0..WATCHED_POLLS {
        for index in 0..deployment.daemons.len() {
            if let Some(held) = generation_in_force(deployment, index).await {
                assert!(held >= generation, "daemon {index} fell back to {held}");
            }
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Kills a daemon, starts it again and waits until it is ready.
async fn restart_daemon(deployment: &mut RunningDeployment, index: usize) {
    let process = &mut deployment.daemons[index].process;
    process.kill().expect("killed");
    let started = deployment.start_daemon_again(index).await;
    started.expect("ready with what its peers know");
}

fn store_client(deployment: &RunningDeployment) -> StoreClient {
    StoreClient::new(deployment.daemons[0].settings.store_address)
}

async fn set_store_faults(deployment: &RunningDeployment, faults: StoreFaults) {
    let set = deployment.store.set_faults(&faults).await;
    set.expect("the store takes faults");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_racing_edits_one_is_in_force_everywhere_though_its_answer_was_lost() {
    let deployment = start(&[]).await;
    assert_eq!(deployment.daemons.len(), 6);
    let store = store_client(&deployment);
    let base = stored_table(&store).await;
    let faults = StoreFaults {
        lose_next_write_answers: 1,
        ..StoreFaults::default()
    };
    set_store_faults(&deployment, faults).await;

    let first = store
        .put(&ObjectKey::Table, &edit(&base, "first", 700))
        .await;
    assert!(
        matches!(first, Err(WriteError::OutcomeUnknown(_))),
        "{first:?}"
    );
    let second = store
        .put(&ObjectKey::Table, &edit(&base, "second", 800))
        .await;
    let Ok(WriteOutcome::Conflict(conflict)) = second else {
        panic!("the second editor is shown the first one's change: {second:?}");
    };
    let current = conflict.current.expect("the current table");
    assert_eq!(current.change.as_str(), "first");

    wait_generation(&deployment, base.generation + 1).await;
    let stored = stored_table(&store).await;
    assert_eq!(stored.generation, base.generation + 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_table_survives_a_store_that_shows_less_and_one_that_is_down() {
    let mut deployment = start(&[]).await;
    let store = store_client(&deployment);
    let base = stored_table(&store).await;
    let written = store
        .put(&ObjectKey::Table, &edit(&base, "change", 700))
        .await;
    assert!(
        matches!(written, Ok(WriteOutcome::Accepted(_))),
        "{written:?}"
    );
    let accepted = base.generation + 1;
    wait_generation(&deployment, accepted).await;

    let stale = StoreFaults {
        stale_revision: Some(base.revision),
        ..StoreFaults::default()
    };
    set_store_faults(&deployment, stale).await;
    restart_daemon(&mut deployment, 0).await;
    assert_never_below(&deployment, accepted).await;

    let down = StoreFaults {
        outage: Some(OutageMode::Close),
        ..StoreFaults::default()
    };
    set_store_faults(&deployment, down).await;
    restart_daemon(&mut deployment, 0).await;
    assert_never_below(&deployment, accepted).await;
}
