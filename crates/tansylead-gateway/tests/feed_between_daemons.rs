//! What one daemon learns from another over a long poll.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::cluster::{ClusterView, PeerFeed, serve_feed};
use tansylead_gateway::source::Topic;
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, GatewaySettings, HeaderNames};
use tansylead_route::{DirectoryDelta, LeafEntry, Revision};
use tansylead_types::{NodeId, PlaceName, ServiceName};
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
    gateway.apply_directory(DirectoryDelta::Everything { at, entries: leafs });
    Rc::new(gateway)
}

fn leaf(name: &str) -> LeafEntry {
    let service = ServiceName::new("shard").expect("valid name");
    common::entry(name, &service, ([127, 0, 0, 1], 1).into())
}

#[tokio::test]
async fn a_word_confirms_nothing_that_the_reply_did_not_bring_up_to_date() {
    // Regression: after a loss of all daemons the store's list lacked leafs whose entries had lapsed. A
    // daemon of another region held more, left the whole directory out of its replies, and its word
    // counted all the same: a third of the daemons refused queries for 7 s (fresh-bd42, large
    // Registry).
    let peer = gateway(vec![leaf("lapsed"), leaf("listed")], Revision(10));
    peer.confirm(Topic::Configuration, Clock.now());
    peer.confirm(Topic::Leafs, Clock.now());
    let own = gateway(vec![leaf("listed")], Revision(5));
    let place = PlaceName::new("elsewhere").expect("valid name");
    let seeds = vec![peer.settings.peer_address];
    let node = NodeId(own.settings.peer_address);
    let view = Rc::new(ClusterView::new(node, place, 2, seeds));
    let learning = async {
        spawn_local(serve_feed(Rc::clone(&peer)));
        spawn_local(PeerFeed::new(Rc::clone(&own), view).run());
        let mut changes = own.changes();
        let confirmed = changes.wait_for(|_| own.age(Topic::Leafs).is_some());
        let confirmed = tokio::time::timeout(HANG_LIMIT, confirmed).await;
        confirmed
            .expect("the word is told")
            .expect("the daemon runs");
        assert_eq!(own.directory().revision(), Some(Revision(10)));
        assert_eq!(own.directory().entries().count(), 2);
    };
    LocalSet::new().run_until(learning).await;
}
