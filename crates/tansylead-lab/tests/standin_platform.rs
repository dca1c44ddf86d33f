//! The stand-in store and machine list: compare-and-set, watch, and every fault switch.

use std::time::Duration;
use tansylead_lab::http::JsonClient;
use tansylead_lab::machines::history::MachineHistory;
use tansylead_lab::store::{OutageMode, StoreControl, StoreFaults, server};
use tansylead_types::store::{
    Machine, MachineList, MachineState, ObjectList, STORE_OBJECTS_PATH, STORE_WATCH_PATH,
};
use tansylead_types::{
    ChangeId, ConfigObject, Moment, ObjectKey, StepError, StoredObject, TrafficTable,
};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

struct Setup {
    store: StoreControl,
    http: JsonClient,
    _stop: DropGuard,
}

async fn start() -> Setup {
    let stop = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(server::serve(listener, stop.clone()));
    Setup {
        store: StoreControl::new(address),
        http: JsonClient::new(address),
        _stop: stop.drop_guard(),
    }
}

impl Setup {
    async fn write(&self, change: &str) -> Result<StoredObject, StepError> {
        let change = ChangeId::new(change).expect("a name");
        let table = ConfigObject::Table(TrafficTable::default());
        self.store.put(&ObjectKey::Table, &change, &table).await
    }

    async fn faults(&self, faults: StoreFaults) {
        self.store.set_faults(&faults).await.expect("set faults");
    }

    async fn current(&self) -> Result<StoredObject, StepError> {
        self.http.get(&format!("{STORE_OBJECTS_PATH}/table")).await
    }
}

#[tokio::test]
async fn writes_raise_generation_and_revision_by_one_and_lists_show_what_is_new() {
    let setup = start().await;
    let first = setup.write("a").await.expect("written");
    let second = setup.write("b").await.expect("written");
    assert_eq!((first.generation, first.revision), (1, 1));
    assert_eq!((second.generation, second.revision), (2, 2));
    let after_first: ObjectList = setup
        .http
        .get(&format!("{STORE_OBJECTS_PATH}?after=1"))
        .await
        .expect("a list");
    assert_eq!(after_first.objects, [second]);
    assert_eq!(after_first.revision, 2);
    let counts = setup.store.read_counts().await.expect("counts");
    assert_eq!((counts.reads, counts.distinct_readers), (1, 1));
}

#[tokio::test]
async fn a_watch_is_held_until_something_is_written() {
    let setup = start().await;
    let watcher = setup.http.clone();
    let watch = tokio::spawn(async move {
        let path = format!("{STORE_WATCH_PATH}?after=0&wait_ms=8000");
        watcher.get::<ObjectList>(&path).await
    });
    while setup.store.read_counts().await.expect("counts").watches == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let written = setup.write("a").await.expect("written");
    let seen = watch.await.expect("ends").expect("a list");
    assert_eq!(seen.objects, [written]);
    let nothing: ObjectList = setup
        .http
        .get(&format!("{STORE_WATCH_PATH}?after=1&wait_ms=1"))
        .await
        .expect("a list");
    assert_eq!(nothing.objects, []);
}

#[tokio::test]
async fn a_lost_answer_has_taken_effect_and_an_outage_takes_none() {
    let setup = start().await;
    let lose_next_write_answers = 1;
    setup
        .faults(StoreFaults {
            lose_next_write_answers,
            ..StoreFaults::default()
        })
        .await;
    assert!(setup.write("a").await.is_err());
    assert_eq!(setup.current().await.expect("read").change.as_str(), "a");
    let outage = Some(OutageMode::Close);
    setup
        .faults(StoreFaults {
            outage,
            ..StoreFaults::default()
        })
        .await;
    assert!(setup.write("b").await.is_err());
    assert!(setup.current().await.is_err());
    setup.faults(StoreFaults::default()).await;
    assert_eq!(setup.current().await.expect("read").change.as_str(), "a");
}

#[tokio::test]
async fn older_states_can_be_shown_and_restored() {
    let setup = start().await;
    setup.write("a").await.expect("written");
    setup.write("b").await.expect("written");
    let stale_revision = Some(1);
    setup
        .faults(StoreFaults {
            stale_revision,
            ..StoreFaults::default()
        })
        .await;
    assert_eq!(setup.current().await.expect("read").change.as_str(), "a");
    setup.faults(StoreFaults::default()).await;
    assert_eq!(setup.current().await.expect("read").change.as_str(), "b");
    setup.store.restore(1).await.expect("restored");
    assert_eq!(setup.current().await.expect("read").change.as_str(), "a");
    let again = setup.write("c").await.expect("written");
    assert_eq!((again.generation, again.revision), (2, 2));
}

#[test]
fn the_machine_list_lags() {
    let list = |state| MachineList {
        machines: vec![Machine {
            address: ([127, 0, 0, 1], 1).into(),
            state,
        }],
    };
    let mut history = MachineHistory::default();
    history.set(Moment::from_millis(0), list(MachineState::Live));
    history.set(Moment::from_millis(100), list(MachineState::Leaving));
    let seen = |now, lag| history.seen(Moment::from_millis(now), Duration::from_millis(lag));
    assert_eq!(seen(100, 0), list(MachineState::Leaving));
    assert_eq!(seen(150, 60), list(MachineState::Live));
    assert_eq!(seen(160, 60), list(MachineState::Leaving));
}
