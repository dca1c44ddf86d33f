//! A stand-in leaf over HTTP: answers, refusals, cancellation, faults, and a log that tells the truth.

use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_lab::http::JsonClient;
use tansylead_lab::leaf::result::{ShardSearchResult, expected_records};
use tansylead_lab::leaf::{
    DrainMode, ExecutionEnd, ExecutionEvent, HealthMode, Holding, HoldingsRequest, LatencySpec,
    LeafBehaviour, LeafControl, LeafFaults, LeafFaultsRequest, LeafProcessSpec, LeafSpec, control,
    start_leafs,
};
use tansylead_types::leaf::{
    LEAF_HEALTH_PATH, LEAF_SEARCH_PATH, LeafAnswer, LeafHealth, LeafRefusal, LeafRequest,
    RefusalReason,
};
use tansylead_types::{AttemptId, QueryId, SnapshotVersion, StepError, WallTime};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

const SHARD: &str = "s1";
const HELD: SnapshotVersion = SnapshotVersion(7);
const LONG: u64 = 60_000;

struct Setup {
    address: SocketAddr,
    leaf: JsonClient,
    control: LeafControl,
    _stop: DropGuard,
}

fn holding(version: SnapshotVersion) -> Holding {
    Holding {
        snapshot: version,
        shards: vec![SHARD.parse().expect("a name")],
    }
}

async fn start(median_millis: f64, slots: u32, queue: u32) -> Setup {
    let latency = LatencySpec {
        median_millis,
        sigma: 0.0,
        straggler_share: 0.0,
        straggler_factor: 1.0,
    };
    let spec = LeafSpec {
        leaf: "leaf-1".parse().expect("a name"),
        service: "lookup".parse().expect("a name"),
        place: "north".parse().expect("a name"),
        zone: "north-a".parse().expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots,
        maximum_connections: 50,
        behaviour: LeafBehaviour {
            queue,
            latency,
            ..LeafBehaviour::default()
        },
        holdings: vec![holding(HELD)],
    };
    let stop = CancellationToken::new();
    let process = LeafProcessSpec {
        seed: 1,
        execution_log: true,
        leafs: vec![spec],
    };
    let running = start_leafs(process, &stop).await.expect("leafs start");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let control_address = listener.local_addr().expect("an address");
    let address = running.leafs[0].address;
    let serving = control::serve(listener, running.leafs, running.log, stop.clone());
    tokio::spawn(serving);
    Setup {
        address,
        leaf: JsonClient::new(address),
        control: LeafControl::new(control_address),
        _stop: stop.drop_guard(),
    }
}

impl Setup {
    async fn fault(&self, faults: LeafFaults) {
        let request = LeafFaultsRequest {
            leafs: Vec::new(),
            faults,
        };
        self.control.set_faults(&request).await.expect("set faults");
    }

    async fn search(&self, request: &LeafRequest) -> Result<LeafAnswer, StepError> {
        self.leaf.post(LEAF_SEARCH_PATH, request).await
    }

    async fn refusal(&self, request: &LeafRequest) -> RefusalReason {
        let exchange = self.leaf.exchange(Method::POST, LEAF_SEARCH_PATH, request);
        let (status, bytes) = exchange.await.expect("an answer");
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let refusal: LeafRefusal = serde_json::from_slice(&bytes).expect("a refusal");
        refusal.reason
    }

    async fn ends(&self) -> Vec<ExecutionEnd> {
        let page = self.control.executions(0).await.expect("the log");
        let end = |event| match event {
            ExecutionEvent::Ended { end, .. } => Some(end),
            ExecutionEvent::Started(_) => None,
        };
        page.entries
            .into_iter()
            .filter_map(|entry| end(entry.event))
            .collect()
    }

    /// Waits until the log has that many entries.
    async fn log_reaches(&self, count: u64) {
        while self.control.executions(0).await.expect("the log").next < count {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

fn request(attempt: u32, time_left_millis: u64) -> LeafRequest {
    LeafRequest {
        request: "request-1".parse().expect("a name"),
        root: "root/1".to_owned(),
        query: QueryId(1),
        attempt: AttemptId(attempt),
        service: "lookup".parse().expect("a name"),
        shard: SHARD.parse().expect("a name"),
        snapshot: HELD,
        time_left_millis,
        expires: None,
        idempotency_key: None,
        body: "{\"a\":1}".to_owned(),
    }
}

#[tokio::test]
async fn an_answer_echoes_its_request_and_depends_on_shard_snapshot_and_body_alone() {
    let setup = start(1.0, 2, 2).await;
    let sent = request(3, LONG);
    let answer = setup.search(&sent).await.expect("an answer");
    assert_eq!(answer.request, sent.request);
    assert_eq!((answer.query, answer.attempt), (sent.query, sent.attempt));
    assert_eq!(
        (&answer.shard, answer.snapshot),
        (&sent.shard, sent.snapshot)
    );
    let result: ShardSearchResult = serde_json::from_str(&answer.result).expect("a result");
    let expected = expected_records(&sent.shard, HELD, &sent.body, 2);
    assert_eq!(result.records, expected);
    let other_body = expected_records(&sent.shard, HELD, "{}", 2);
    let other_snapshot = expected_records(&sent.shard, SnapshotVersion(8), &sent.body, 2);
    assert_ne!(expected, other_body);
    assert_ne!(expected, other_snapshot);
    setup.log_reaches(2).await;
    assert_eq!(setup.ends().await, [ExecutionEnd::Finished]);
}

#[tokio::test]
async fn refusals_name_their_reason_and_nothing_runs() {
    let setup = start(1.0, 1, 0).await;
    let with = |change: fn(&mut LeafRequest)| {
        let mut changed = request(1, LONG);
        change(&mut changed);
        changed
    };
    let other_snapshot = with(|request| request.snapshot = SnapshotVersion(8));
    let other_shard = with(|request| request.shard = "s2".parse().expect("a name"));
    let expired = with(|request| request.expires = Some(WallTime(1)));
    let no_time = with(|request| request.time_left_millis = 0);
    assert_eq!(
        setup.refusal(&other_snapshot).await,
        RefusalReason::SnapshotNotHeld
    );
    assert_eq!(
        setup.refusal(&other_shard).await,
        RefusalReason::ShardNotHeld
    );
    assert_eq!(setup.refusal(&expired).await, RefusalReason::Expired);
    assert_eq!(setup.refusal(&no_time).await, RefusalReason::Expired);
    let drain = DrainMode::Refusing;
    setup
        .fault(LeafFaults {
            drain,
            ..LeafFaults::default()
        })
        .await;
    assert_eq!(
        setup.refusal(&request(1, LONG)).await,
        RefusalReason::Draining
    );
    setup
        .fault(LeafFaults {
            shed_share: 1.0,
            ..LeafFaults::default()
        })
        .await;
    assert_eq!(
        setup.refusal(&request(1, LONG)).await,
        RefusalReason::Overloaded
    );
    assert_eq!(
        setup.control.executions(0).await.expect("the log").entries,
        []
    );
}

#[tokio::test]
async fn a_full_leaf_refuses_and_a_dropped_connection_frees_its_slot() {
    let setup = start(1.0, 1, 0).await;
    setup
        .fault(LeafFaults {
            hanging: true,
            ..LeafFaults::default()
        })
        .await;
    let leaf = JsonClient::new(setup.address);
    let held = request(1, LONG);
    let running =
        tokio::spawn(async move { leaf.post::<LeafAnswer>(LEAF_SEARCH_PATH, &held).await });
    setup.log_reaches(1).await;
    assert_eq!(
        setup.refusal(&request(2, LONG)).await,
        RefusalReason::Overloaded
    );
    running.abort();
    setup.log_reaches(2).await;
    assert_eq!(setup.ends().await, [ExecutionEnd::Cancelled]);
    setup.fault(LeafFaults::default()).await;
    setup
        .search(&request(3, LONG))
        .await
        .expect("the slot is free");
}

#[tokio::test]
async fn work_stops_at_the_deadline_and_is_not_called_refused() {
    let setup = start(1.0, 1, 0).await;
    setup
        .fault(LeafFaults {
            hanging: true,
            ..LeafFaults::default()
        })
        .await;
    let late = request(1, 20);
    let exchange = setup.leaf.exchange(Method::POST, LEAF_SEARCH_PATH, &late);
    let (status, _) = exchange.await.expect("an answer");
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(setup.ends().await, [ExecutionEnd::DeadlinePassed]);
}

#[tokio::test]
async fn a_cut_answer_has_run_and_a_crossed_one_belongs_to_another_request() {
    let setup = start(1.0, 2, 2).await;
    setup
        .fault(LeafFaults {
            cut_share: 1.0,
            ..LeafFaults::default()
        })
        .await;
    assert!(setup.search(&request(1, LONG)).await.is_err());
    assert_eq!(setup.ends().await, [ExecutionEnd::Finished]);
    setup
        .fault(LeafFaults {
            crossed_share: 1.0,
            ..LeafFaults::default()
        })
        .await;
    let first = setup.search(&request(2, LONG)).await.expect("an answer");
    assert_eq!(first.attempt, AttemptId(2));
    let second = setup.search(&request(3, LONG)).await.expect("an answer");
    assert_eq!(second.attempt, AttemptId(2));
}

#[tokio::test]
async fn a_stopped_leaf_refuses_connections_and_comes_back_on_its_port() {
    let setup = start(1.0, 2, 2).await;
    setup.search(&request(1, LONG)).await.expect("an answer");
    setup
        .fault(LeafFaults {
            stopped: true,
            ..LeafFaults::default()
        })
        .await;
    while setup.search(&request(2, LONG)).await.is_ok() {}
    setup.fault(LeafFaults::default()).await;
    while setup.search(&request(3, LONG)).await.is_err() {}
}

#[tokio::test]
async fn health_tells_the_truth_unless_it_is_told_to_lie() {
    let setup = start(1.0, 2, 2).await;
    let health = || async {
        let health: LeafHealth = setup.leaf.get(LEAF_HEALTH_PATH).await.expect("health");
        health
    };
    assert_eq!(health().await.snapshots, [HELD]);
    let drain = DrainMode::Marked;
    setup
        .fault(LeafFaults {
            drain,
            ..LeafFaults::default()
        })
        .await;
    assert!(health().await.load.draining);
    let lying = HealthMode::AlwaysHealthy;
    setup
        .fault(LeafFaults {
            drain,
            health: lying,
            ..LeafFaults::default()
        })
        .await;
    assert!(!health().await.load.draining);
    let lagging = HealthMode::Lagging { millis: LONG };
    setup
        .fault(LeafFaults {
            drain,
            health: lagging,
            ..LeafFaults::default()
        })
        .await;
    assert!(!health().await.load.draining);
    let claimed_snapshots = Some(vec![SnapshotVersion(9)]);
    setup
        .fault(LeafFaults {
            claimed_snapshots,
            ..LeafFaults::default()
        })
        .await;
    assert_eq!(health().await.snapshots, [SnapshotVersion(9)]);
}

#[tokio::test]
async fn holdings_change_at_run_time_and_unknown_fault_keys_are_refused() {
    let setup = start(1.0, 2, 2).await;
    let holdings = HoldingsRequest {
        leaf: "leaf-1".parse().expect("a name"),
        holdings: vec![holding(SnapshotVersion(8))],
    };
    setup
        .control
        .set_holdings(&holdings)
        .await
        .expect("set holdings");
    assert_eq!(
        setup.refusal(&request(1, LONG)).await,
        RefusalReason::SnapshotNotHeld
    );
    let unknown: Result<LeafFaults, _> = serde_json::from_str(r#"{"colour":1}"#);
    assert!(unknown.is_err());
}
