//! Requests between daemons: their encoding, and what a call reports about a request.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tansylead_daemon::clock::Clock;
use tansylead_daemon::metrics::Metrics;
use tansylead_daemon::peers::{
    CallError, ClientFrame, FrameError, Hello, PEER_PROTOCOL_VERSION, PeerClient, PeerClientLimits,
    PeerHandler, PeerNotice, PeerRequest, PeerResponse, PeerServer, PeerServerLimits,
    RequestNumber, ServerFrame, TrafficCounters, decode_message, encode_message,
};
use tansylead_types::store::ObjectList;
use tansylead_types::{InstanceId, NodeId};
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Answers a pull with its revision. Pulls of revision 0 are never answered; `dropped` counts those
/// that were cancelled.
#[derive(Default)]
struct Handler {
    started: AtomicUsize,
    dropped: Arc<AtomicUsize>,
}

struct CountDrop(Arc<AtomicUsize>);

impl Drop for CountDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl PeerHandler for Handler {
    async fn handle_request(&self, _from: InstanceId, request: PeerRequest) -> PeerResponse {
        let PeerRequest::PullConfiguration { after } = request else {
            return PeerResponse::Busy;
        };
        self.started.fetch_add(1, Ordering::SeqCst);
        if after == 0 {
            let _count = CountDrop(Arc::clone(&self.dropped));
            std::future::pending::<()>().await;
        }
        // Later requests are answered earlier, so responses arrive out of order.
        tokio::time::sleep(Duration::from_millis(20 - after.min(20))).await;
        PeerResponse::Configuration(ObjectList {
            revision: after,
            objects: Vec::new(),
        })
    }

    fn handle_notice(&self, _from: InstanceId, _notice: PeerNotice) {}
}

fn hello(cluster: &str, address: SocketAddr) -> Hello {
    let node = NodeId(address);
    Hello {
        protocol_version: PEER_PROTOCOL_VERSION,
        cluster: cluster.to_owned(),
        from: InstanceId { node, boot: 1 },
    }
}

struct Server {
    node: NodeId,
    handler: Arc<Handler>,
    _task: AbortOnDropHandle<()>,
}

async fn start(limits: PeerServerLimits) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let handler = Arc::new(Handler::default());
    let server = PeerServer::new(
        listener,
        hello("c", address),
        limits,
        Arc::clone(&handler),
        traffic(),
    );
    Server {
        node: NodeId(address),
        handler,
        _task: AbortOnDropHandle::new(tokio::spawn(server.run())),
    }
}

fn client(hello: Hello) -> PeerClient {
    PeerClient::new(hello, PeerClientLimits::default(), traffic())
}

fn traffic() -> TrafficCounters {
    TrafficCounters::new(&Metrics::new().expect("metrics"))
}

fn own_hello(cluster: &str) -> Hello {
    hello(cluster, "127.0.0.1:9".parse().expect("address"))
}

async fn pull(client: &PeerClient, to: NodeId, after: u64) -> Result<PeerResponse, CallError> {
    let deadline = Clock.now() + TIMEOUT;
    client
        .call(to, PeerRequest::PullConfiguration { after }, deadline)
        .await
}

#[tokio::test]
async fn crossed_responses_reach_their_own_requests() {
    let server = start(PeerServerLimits::default()).await;
    let client = client(own_hello("c"));
    let calls = (1..=20).map(|after| pull(&client, server.node, after));
    let responses = futures_util::future::join_all(calls).await;
    for (after, response) in (1..=20).zip(responses) {
        let Ok(PeerResponse::Configuration(list)) = response else {
            panic!("{response:?}");
        };
        assert_eq!(list.revision, after);
    }
}

#[tokio::test]
async fn other_clusters_and_versions_are_refused_before_anything_is_sent() {
    let server = start(PeerServerLimits::default()).await;
    let mut other_version = own_hello("c");
    other_version.protocol_version += 1;
    for hello in [own_hello("other"), other_version] {
        let response = pull(&client(hello), server.node, 1).await;
        assert!(
            matches!(response, Err(CallError::NotSent(_))),
            "{response:?}"
        );
    }
    assert_eq!(server.handler.started.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_peer_that_cannot_be_reached_was_sent_nothing() {
    let server = start(PeerServerLimits::default()).await;
    let node = server.node;
    drop(server);
    tokio::task::yield_now().await;
    let response = pull(&client(own_hello("c")), node, 1).await;
    assert!(
        matches!(response, Err(CallError::NotSent(_))),
        "{response:?}"
    );
}

#[tokio::test]
async fn a_connection_that_ends_after_the_request_may_have_delivered_it() {
    let server = start(PeerServerLimits::default()).await;
    let client = Arc::new(client(own_hello("c")));
    let node = server.node;
    let calling = tokio::spawn({
        let client = Arc::clone(&client);
        async move { pull(&client, node, 0).await }
    });
    while server.handler.started.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(server);
    let response = calling.await.expect("no panic");
    assert!(
        matches!(response, Err(CallError::MaybeReceived(_))),
        "{response:?}"
    );
}

#[tokio::test]
async fn a_call_given_up_is_cancelled_at_the_peer_and_the_connection_goes_on() {
    let server = start(PeerServerLimits::default()).await;
    let client = client(own_hello("c"));
    let deadline = Clock.now() + Duration::from_millis(50);
    let request = PeerRequest::PullConfiguration { after: 0 };
    let response = client.call(server.node, request, deadline).await;
    assert!(
        matches!(response, Err(CallError::MaybeReceived(_))),
        "{response:?}"
    );
    let cancelled = async {
        while server.handler.dropped.load(Ordering::SeqCst) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, cancelled)
        .await
        .expect("cancelled");
    let response = pull(&client, server.node, 5).await;
    assert!(response.is_ok(), "{response:?}");
}

#[tokio::test]
async fn more_requests_than_the_bound_are_answered_as_busy() {
    let limits = PeerServerLimits {
        in_progress: 1,
        ..PeerServerLimits::default()
    };
    let server = start(limits).await;
    let client = client(own_hello("c"));
    let busy = async {
        while server.handler.started.load(Ordering::SeqCst) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        pull(&client, server.node, 1).await
    };
    let response = tokio::select! {
        never = pull(&client, server.node, 0) => never,
        response = busy => response,
    };
    assert!(matches!(response, Ok(PeerResponse::Busy)), "{response:?}");
}

#[test]
fn bytes_after_a_message_are_refused() {
    let frame = ServerFrame {
        number: RequestNumber(7),
        response: PeerResponse::NotRoot,
    };
    let bytes = encode_message(&frame).expect("encode");
    assert_eq!(decode_message::<ServerFrame>(&bytes), Ok(frame));
    let longer = [&bytes[..], &[0]].concat();
    let decoded = decode_message::<ServerFrame>(&longer);
    assert_eq!(decoded, Err(FrameError::TrailingBytes { bytes: 1 }));
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_message::<ClientFrame>(&bytes);
        let _ = decode_message::<ServerFrame>(&bytes);
    }
}
