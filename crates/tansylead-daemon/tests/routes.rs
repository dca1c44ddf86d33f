//! Routing of queries when a root does not answer probes.

use std::net::SocketAddr;
use std::sync::Arc;
use tansylead_cluster::membership::{Capacity, MemberRecord, MemberState};
use tansylead_daemon::cluster::MemberView;
use tansylead_daemon::configuration::ConfigurationView;
use tansylead_daemon::metrics::Metrics;
use tansylead_daemon::peers::{
    Hello, PEER_PROTOCOL_VERSION, PeerClient, PeerClientLimits, TrafficCounters,
};
use tansylead_daemon::root::RootDirectory;
use tansylead_daemon::routing::{RouteChoice, Routes, RoutesParts};
use tansylead_types::{
    ConfigObject, InstanceId, LeafDescriptor, NodeId, ObjectKey, ServicePlacement, StoredObject,
    TableRow, TrafficTable,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const CHOICES: usize = 50;

fn node(port: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn member(port: u16, state: MemberState) -> MemberRecord {
    MemberRecord {
        instance: InstanceId {
            node: node(port),
            boot: 1,
        },
        incarnation: 0,
        place: "bangkok".parse().expect("name"),
        zone: format!("zone-{port}").parse().expect("name"),
        caller_address: node(port).0,
        capacity: Capacity::CORE,
        state,
    }
}

fn configuration() -> ConfigurationView {
    let service = || "screening".parse().expect("name");
    let place = || "bangkok".parse().expect("name");
    let row = TableRow {
        service: service(),
        place: place(),
        hours: "0-24".parse().expect("hours"),
        weight: 1,
        limit: 100,
    };
    let table = TrafficTable {
        rows: vec![row],
        ..TrafficTable::default()
    };
    let placement = ServicePlacement {
        service: service(),
        place: place(),
        leafs: vec![LeafDescriptor {
            leaf: "leaf".parse().expect("name"),
            address: node(9).0,
            zone: "zone-1".parse().expect("name"),
            slots: 4,
            maximum_connections: 75,
        }],
        snapshots: Vec::new(),
    };
    let mut view = ConfigurationView::default();
    let objects = [
        (ObjectKey::Table, ConfigObject::Table(table)),
        (
            ObjectKey::Placement(service(), place()),
            ConfigObject::Placement(placement),
        ),
    ];
    for (key, object) in objects {
        view.put(&StoredObject {
            key,
            revision: 1,
            generation: 1,
            change: "change".parse().expect("change id"),
            object: Some(object),
        });
    }
    view
}

/// The roots that get queries when the members have these states; this daemon is not one of the
/// members.
fn chosen_roots(states: [MemberState; 2]) -> Vec<NodeId> {
    let records = (1..).zip(states).map(|(port, state)| member(port, state));
    let members = MemberView::default().next(records.collect(), true);
    let (_configuration, configuration) = watch::channel(Arc::new(configuration()));
    let (_members, members) = watch::channel(Arc::new(members));
    let hello = Hello {
        protocol_version: PEER_PROTOCOL_VERSION,
        cluster: "test".to_owned(),
        from: member(8, MemberState::Alive).instance,
    };
    let traffic = TrafficCounters::new(&Metrics::new().expect("metrics"));
    let routes = Routes::new(RoutesParts {
        own_node: node(8),
        place: "bangkok".parse().expect("name"),
        configuration,
        members,
        peers: Arc::new(PeerClient::new(hello, PeerClientLimits::default(), traffic)),
        roots: RootDirectory::default(),
        drain: CancellationToken::new(),
    });
    let service = "screening".parse().expect("name");
    let choices = (0..CHOICES).filter_map(|_| match routes.choose(&service) {
        RouteChoice::Root { root, .. } => Some(root),
        RouteChoice::Refuse { .. } => None,
    });
    let mut roots: Vec<NodeId> = choices.collect();
    roots.sort_unstable();
    roots.dedup();
    roots
}

#[test]
fn suspected_roots_get_queries_only_if_no_other_is_left() {
    let (alive, suspect) = (MemberState::Alive, MemberState::Suspect);
    assert_eq!(chosen_roots([alive, alive]), [node(1), node(2)]);
    assert_eq!(chosen_roots([alive, suspect]), [node(1)]);
    assert_eq!(chosen_roots([suspect, alive]), [node(2)]);
    assert_eq!(chosen_roots([suspect, suspect]), [node(1), node(2)]);
    assert_eq!(chosen_roots([alive, MemberState::Leaving]), [node(1)]);
}
