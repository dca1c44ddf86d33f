//! What one daemon learns from another over a long poll.

mod common;

use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::cluster::{ClusterView, PeerFeed, serve_peers};
use tansylead_gateway::source::Topic;
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, GatewaySettings, HeaderNames};
use tansylead_route::{DirectoryDelta, LeafEntry, Revision, RollOutState, RollOuts};
use tansylead_types::{NodeId, PlaceName, ServiceName, SoftwareVersion};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};

/// Ends a test that would hang.
const HANG_LIMIT: Duration = Duration::from_secs(60);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("bound")
}

/// A daemon that holds these leafs, as of a revision.
fn gateway(leafs: Vec<LeafEntry>, at: Revision) -> Rc<Gateway> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let mut settings = GatewaySettings::load(&root.join("settings.toml")).expect("settings");
    settings.peer_address = free_address();
    let gateway = Gateway::new(settings, HeaderNames::default());
    gateway.apply_directory(DirectoryDelta::Everything {
        at: at.into(),
        entries: leafs,
    });
    Rc::new(gateway)
}

/// A leaf of this version whose entry was last changed at a revision.
fn leaf_of(name: &str, version: &str, changed_at: u64) -> LeafEntry {
    LeafEntry {
        version: SoftwareVersion::new(version).ok(),
        changed_at: Revision::first_era(changed_at),
        ..leaf(name)
    }
}

fn leaf(name: &str) -> LeafEntry {
    let service = ServiceName::new("shard").expect("valid name");
    common::entry(name, &service, ([127, 0, 0, 1], 1).into())
}

#[tokio::test]
async fn a_confirmation_covers_nothing_that_the_reply_did_not_bring_up_to_date() {
    // Regression: after a loss of all daemons the store's list lacked leafs whose entries had expired. A
    // daemon of another region held more and left the whole directory out of its replies, but its
    // confirmation counted all the same: a third of the daemons refused queries for 7 s (fresh-bd42,
    // large Registry).
    let peer = gateway(
        vec![leaf("lapsed"), leaf("listed")],
        Revision::first_era(10),
    );
    peer.confirm(Topic::Configuration, Clock.now());
    peer.confirm(Topic::Leafs, Clock.now());
    let own = gateway(vec![leaf("listed")], Revision::first_era(5));
    let place = PlaceName::new("elsewhere").expect("valid name");
    let seeds = vec![peer.settings.peer_address];
    let node = NodeId(own.settings.peer_address);
    let view = Rc::new(ClusterView::new(node, place, 2, seeds));
    let learning = async {
        spawn_local(serve_peers(Rc::clone(&peer)));
        spawn_local(PeerFeed::new(Rc::clone(&own), view).run());
        let mut changes = own.changes();
        let confirmed = changes.wait_for(|_| own.age(Topic::Leafs).is_some());
        let confirmed = tokio::time::timeout(HANG_LIMIT, confirmed).await;
        confirmed
            .expect("a confirmation arrives")
            .expect("the daemon runs");
        assert_eq!(own.directory().revision(), Some(Revision::first_era(10)));
        assert_eq!(own.directory().entries().count(), 2);
    };
    LocalSet::new().run_until(learning).await;
}

/// Relays connections to `target` and counts the bytes sent there.
async fn counting_relay(target: SocketAddr, bytes: Rc<Cell<usize>>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("binds");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        while let Ok((from, _)) = listener.accept().await {
            let bytes = Rc::clone(&bytes);
            spawn_local(relay(from, target, bytes));
        }
    });
    address
}

async fn relay(from: TcpStream, target: SocketAddr, bytes: Rc<Cell<usize>>) {
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let (mut from_read, mut from_write) = from.into_split();
    let (mut to_read, mut to_write) = to.into_split();
    spawn_local(async move { tokio::io::copy(&mut to_read, &mut from_write).await });
    let mut buffer = [0; 1024];
    while let Ok(length @ 1..) = from_read.read(&mut buffer).await {
        bytes.set(bytes.get() + length);
        if to_write.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn a_peer_that_answers_at_once_without_news_is_not_polled_without_a_pause() {
    // The data of such a peer is fresher, but of an older revision than the polling daemon holds. Polls without
    // a pause send 100 kB and more in the time of the test; a slow machine sends less.
    const MAXIMUM_BYTES: usize = 5_000;
    let own = gateway(vec![leaf("listed")], Revision::first_era(10));
    let peer = gateway(vec![leaf("listed")], Revision::first_era(5));
    peer.confirm(Topic::Configuration, Clock.now());
    peer.confirm(Topic::Leafs, Clock.now());
    let place = PlaceName::new("elsewhere").expect("valid name");
    let node = NodeId(own.settings.peer_address);
    let polling = async {
        let sent = Rc::new(Cell::new(0));
        let seed = counting_relay(peer.settings.peer_address, Rc::clone(&sent)).await;
        let view = Rc::new(ClusterView::new(node, place, 2, vec![seed]));
        spawn_local(serve_peers(Rc::clone(&peer)));
        spawn_local(PeerFeed::new(Rc::clone(&own), view).run());
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(sent.get() < MAXIMUM_BYTES, "{} bytes", sent.get());
        assert_eq!(
            own.age(Topic::Leafs),
            None,
            "an older revision confirms nothing"
        );
    };
    LocalSet::new().run_until(polling).await;
}

/// The orders at a daemon: one in this state, known up to a revision.
fn orders(state: RollOutState, at: u64) -> RollOuts {
    common::orders("shard", "v2", state, Revision::first_era(at))
}

/// Runs a test while `own` polls `peer`.
async fn while_polling(peer: &Rc<Gateway>, own: &Rc<Gateway>, test: impl Future<Output = ()>) {
    let place = PlaceName::new("elsewhere").expect("valid name");
    let seeds = vec![peer.settings.peer_address];
    let node = NodeId(own.settings.peer_address);
    let view = Rc::new(ClusterView::new(node, place, 2, seeds));
    let running = async {
        spawn_local(serve_peers(Rc::clone(peer)));
        spawn_local(PeerFeed::new(Rc::clone(own), view).run());
        let ended = tokio::time::timeout(HANG_LIMIT, test).await;
        ended.expect("the daemons agree");
    };
    LocalSet::new().run_until(running).await;
}

async fn wait_for(gateway: &Gateway, condition: impl Fn() -> bool) {
    let mut changes = gateway.changes();
    let changed = changes.wait_for(|_| condition()).await;
    changed.expect("the daemon runs");
}

/// The state of the only order.
fn state(gateway: &Gateway) -> Option<RollOutState> {
    let held = gateway.roll_outs()?;
    held.orders.values().next().map(|order| order.state)
}

#[tokio::test]
async fn orders_and_their_changes_are_passed_on_and_confirmed() {
    let peer = gateway(Vec::new(), Revision::first_era(1));
    let own = gateway(Vec::new(), Revision::first_era(1));
    peer.apply_roll_outs(orders(RollOutState::Running, 10));
    peer.confirm(Topic::RollOuts, Clock.now());
    while_polling(&peer, &own, async {
        wait_for(&own, || own.age(Topic::RollOuts).is_some()).await;
        assert_eq!(own.roll_outs(), peer.roll_outs());
        peer.apply_roll_outs(orders(RollOutState::RolledBack, 20));
        wait_for(&own, || state(&own) == Some(RollOutState::RolledBack)).await;
        assert_eq!(own.roll_outs(), peer.roll_outs());
        // The order is revoked.
        let none = RollOuts {
            at: Revision::first_era(30),
            ..RollOuts::default()
        };
        peer.apply_roll_outs(none.clone());
        wait_for(&own, || state(&own).is_none()).await;
        assert_eq!(own.roll_outs(), Some(none));
    })
    .await;
}

#[tokio::test]
async fn a_peer_that_is_behind_changes_and_confirms_nothing() {
    let peer = gateway(Vec::new(), Revision::first_era(1));
    let own = gateway(Vec::new(), Revision::first_era(1));
    let newer = orders(RollOutState::Completed, 20);
    peer.apply_roll_outs(orders(RollOutState::Running, 10));
    peer.confirm(Topic::RollOuts, Clock.now());
    peer.confirm(Topic::Configuration, Clock.now());
    own.apply_roll_outs(newer.clone());
    while_polling(&peer, &own, async {
        // The reply that confirms the directory contains the orders too.
        peer.confirm(Topic::Leafs, Clock.now());
        wait_for(&own, || own.age(Topic::Leafs).is_some()).await;
        assert_eq!(own.roll_outs(), Some(newer));
        assert_eq!(own.age(Topic::RollOuts), None);
    })
    .await;
}

#[tokio::test]
async fn a_later_revision_of_unchanged_orders_reaches_a_daemon_that_needs_it() {
    let first = leaf_of("first", "v3", 15);
    let peer = gateway(Vec::new(), Revision::first_era(1));
    let own = gateway(Vec::new(), Revision::first_era(1));
    for daemon in [&peer, &own] {
        daemon.apply_roll_outs(orders(RollOutState::Running, 10));
    }
    own.apply_directory(DirectoryDelta::Everything {
        at: Revision::first_era(15).into(),
        entries: vec![leaf_of("older", "v2", 5), first],
    });
    assert_eq!(own.needed_roll_outs(), Some(Revision::first_era(15)));
    while_polling(&peer, &own, async {
        tokio::task::yield_now().await;
        peer.advance_roll_outs_to(Revision::first_era(16));
        peer.announce_confirmation();
        wait_for(&own, || own.needed_roll_outs().is_none()).await;
        assert_eq!(own.roll_outs(), peer.roll_outs());
    })
    .await;
}

#[test]
fn a_poll_without_orders_spends_only_a_few_bytes_on_them() {
    // The request carries what is held and needed, the reply what is newer and held.
    const MAXIMUM_BYTES: usize = 8;
    let none = RollOuts {
        at: Revision::first_era(10_000_000),
        ..RollOuts::default()
    };
    let request = postcard::to_stdvec(&(Some(none.mark()), None::<Revision>));
    let reply = postcard::to_stdvec(&(None::<RollOuts>, Some(none.mark())));
    for message in [request, reply] {
        let bytes = message.expect("encodes").len();
        assert!(bytes <= MAXIMUM_BYTES, "{bytes} bytes");
    }
}
