//! Kept connections that go silent for good, while new ones to the same leafs work.

mod common;

use common::entry;
use common::fleet::{call, gateway_with, settings};
use common::trial::{LIMIT, attempt_within};
use common::versions::{ID, service};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tansylead_gateway::execution::CallEnd;
use tansylead_gateway::leaf::{AttemptEnd, LeafState};
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, HeaderNames};
use tansylead_route::{ConnectionShare, Distance, LeafLocation};
use tansylead_types::{Moment, ServiceName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Connections that one leaf may have.
const CONNECTIONS: u32 = 3;
/// Leafs of the service that gets requests: many more than need to be found silent.
const LEAFS: usize = 12;
/// More calls than are needed to find enough connections silent.
const MAXIMUM_CALLS: usize = 40;
/// Time between calls: a part of the time after which an answer is overdue.
const CALL_PERIOD: Duration = Duration::from_millis(50);

/// A leaf that can silently lose its connections.
struct LosingLeaf {
    address: SocketAddr,
    served: Arc<AtomicU32>,
    /// Whether the current connections are lost.
    are_lost: Arc<AtomicBool>,
}

impl LosingLeaf {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let leaf = Self {
            address: listener.local_addr().expect("bound"),
            served: Arc::default(),
            are_lost: Arc::default(),
        };
        let (served, are_lost) = (Arc::clone(&leaf.served), Arc::clone(&leaf.are_lost));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A connection opened after the loss works.
                let is_lost = match are_lost.load(Ordering::SeqCst) {
                    true => Arc::default(),
                    false => Arc::clone(&are_lost),
                };
                tokio::spawn(serve(stream, Arc::clone(&served), is_lost));
            }
        });
        leaf
    }

    /// Loses all current connections.
    fn lose_connections(&self) {
        self.are_lost.store(true, Ordering::SeqCst);
    }

    fn served(&self) -> u32 {
        self.served.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, served: Arc<AtomicU32>, is_lost: Arc<AtomicBool>) {
    let names = HeaderNames::default();
    let head = format!("{}: {ID}\r\n{}: run\r\n", names.request, names.signature);
    let answer = format!("HTTP/1.1 200 Said\r\n{head}Content-Length: 0\r\n\r\n");
    let mut buffer = [0; 1024];
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        if is_lost.load(Ordering::SeqCst) {
            continue;
        }
        served.fetch_add(1, Ordering::SeqCst);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn state_of(fake: &LosingLeaf) -> Rc<LeafState> {
    let share = ConnectionShare {
        connections: CONNECTIONS,
        is_reserve: false,
    };
    let location = LeafLocation {
        distance: Distance::Zone,
        region: None,
    };
    let entry = entry("i-leaf", &service(), fake.address);
    Rc::new(LeafState::new(entry, location, share, Rc::default()))
}

async fn is_answered(leaf: &Rc<LeafState>) -> bool {
    let end = attempt_within(leaf, common::terms(LIMIT)).await;
    matches!(end, AttemptEnd::Answered(_))
}

/// A leaf that has lost the connections that were kept to it.
async fn leaf_that_lost_connections() -> (LosingLeaf, Rc<LeafState>) {
    let fake = LosingLeaf::start().await;
    let leaf = state_of(&fake);
    let (first, second, third) =
        tokio::join!(is_answered(&leaf), is_answered(&leaf), is_answered(&leaf));
    assert!(first && second && third);
    assert_eq!(leaf.idle_connections(), CONNECTIONS as usize);
    fake.lose_connections();
    (fake, leaf)
}

/// The moment this many milliseconds after `start`.
fn after(start: Moment, millis: u64) -> Moment {
    start + Duration::from_millis(millis)
}

#[tokio::test]
async fn a_leaf_whose_kept_connections_are_silent_gets_requests_over_new_ones() {
    let (fake, leaf) = leaf_that_lost_connections().await;
    let start = Clock.now();
    leaf.on_kept_overdue(after(start, 100), start);
    assert_eq!(leaf.idle_connections(), 3, "one late answer is no evidence");
    leaf.on_kept_overdue(after(start, 700), after(start, 600));
    assert_eq!(leaf.idle_connections(), 0, "silent for longer than a pause");
    assert!(is_answered(&leaf).await);
    assert_eq!(fake.served(), CONNECTIONS + 1);
    assert_eq!(leaf.idle_connections(), 1, "the new one is kept");
}

#[tokio::test]
async fn an_answer_on_a_kept_connection_shows_that_a_leaf_only_paused() {
    let (_fake, leaf) = leaf_that_lost_connections().await;
    let start = Clock.now();
    leaf.on_kept_overdue(after(start, 100), start);
    leaf.on_kept_answer(after(start, 200));
    leaf.on_kept_overdue(after(start, 700), after(start, 600));
    assert_eq!(leaf.idle_connections(), CONNECTIONS as usize);
}

fn other_service() -> ServiceName {
    ServiceName::new("other").expect("valid name")
}

/// A gateway with a kept connection to each leaf of the service that gets requests, and to a leaf of another
/// service that gets none.
async fn gateway_with_kept(leafs: &[LosingLeaf], other: &LosingLeaf) -> Rc<Gateway> {
    let named = leafs.iter().enumerate();
    let mut entries: Vec<_> = named
        .map(|(number, leaf)| entry(&format!("i-{number}"), &service(), leaf.address))
        .collect();
    entries.push(entry("i-other", &other_service(), other.address));
    let gateway = gateway_with(settings(), entries);
    for name in [service(), other_service()] {
        for leaf in gateway.service(&name).regular() {
            assert!(is_answered(&leaf).await);
        }
    }
    assert_eq!(gateway.idle_leaf_connections(), LEAFS + 1);
    gateway
}

async fn is_call_answered(gateway: &Rc<Gateway>) -> bool {
    let call = call(gateway, true);
    matches!(call.run().await, CallEnd::Answered(_))
}

fn kept_to_other(gateway: &Gateway) -> usize {
    let leafs = gateway.service(&other_service()).regular();
    leafs.iter().map(|leaf| leaf.idle_connections()).sum()
}

#[tokio::test]
async fn all_kept_connections_are_closed_once_those_to_several_leafs_are_silent() {
    let mut leafs = Vec::new();
    for _ in 0..LEAFS {
        leafs.push(LosingLeaf::start().await);
    }
    let other = LosingLeaf::start().await;
    let calls = async {
        let gateway = gateway_with_kept(&leafs, &other).await;
        assert!(is_call_answered(&gateway).await);
        assert_eq!(kept_to_other(&gateway), 1);
        for leaf in leafs.iter().chain([&other]) {
            leaf.lose_connections();
        }
        let mut calls = 0;
        while kept_to_other(&gateway) > 0 {
            calls += 1;
            assert!(calls <= MAXIMUM_CALLS, "never closed");
            // Calls may overlap.
            spawn_local(call(&gateway, true).run());
            tokio::time::sleep(CALL_PERIOD).await;
        }
        assert!(is_call_answered(&gateway).await, "new connections work");
    };
    LocalSet::new().run_until(calls).await;
}
