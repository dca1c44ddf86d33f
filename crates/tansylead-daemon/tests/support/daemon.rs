//! A daemon in this process, with settings for tests.

use super::http::{Reply, exchange};
use super::store::TestStore;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_cluster::routing::ShareTiming;
use tansylead_daemon::{Daemon, Tuning};
use tansylead_types::settings::TimingSettings;
use tansylead_types::{
    ConfigObject, LeafDescriptor, LeafId, ObjectKey, ServiceDefinition, ServicePlacement,
    ServicePolicy, Settings, ShardReplicas, Snapshot, SnapshotVersion, TableRow, TrafficTable,
};

/// Service that the tests define.
pub const SERVICE: &str = "screening";
/// Place of the daemon.
pub const PLACE: &str = "bangkok";

/// Settings on loopback with ports chosen by the system.
pub fn settings(store: &TestStore) -> Settings {
    Settings {
        cluster: "test".to_owned(),
        place: PLACE.parse().expect("name"),
        zone: "bangkok-a".parse().expect("name"),
        caller_address: "127.0.0.1:0".parse().expect("address"),
        peer_address: "127.0.0.1:0".parse().expect("address"),
        seeds: Vec::new(),
        store_address: store.address,
        machine_list_address: None,
        log_level: "info".to_owned(),
        log_file: None,
        worker_threads: 1,
        timing: TimingSettings::default(),
    }
}

/// Limits that make starts and planned stops quick.
pub fn tuning() -> Tuning {
    Tuning {
        drain_idle: Duration::from_millis(100),
        drain_accept: Duration::from_millis(500),
        drain_minimum: Duration::from_millis(100),
        claim_handover_limit: Duration::from_millis(200),
        drain_root_hold: Duration::from_millis(50),
        share_timing: ShareTiming {
            lease: Duration::from_millis(50),
            margin: Duration::from_millis(10),
            takeover: Duration::from_millis(120),
            longest_pause: Duration::from_secs(5),
            exchange_period: Duration::from_millis(20),
        },
        ..Tuning::default()
    }
}

/// A row for every hour, with a limit that is never reached in practice.
fn table() -> TrafficTable {
    let row = TableRow {
        service: SERVICE.parse().expect("name"),
        place: PLACE.parse().expect("name"),
        hours: "0-24".parse().expect("hours"),
        weight: 1,
        limit: 3_000,
    };
    TrafficTable {
        rows: vec![row],
        ..TrafficTable::default()
    }
}

/// Defines the service with one leaf that holds all shards.
pub fn define_service(store: &TestStore, leaf: SocketAddr, shards: usize, policy: ServicePolicy) {
    let service = SERVICE.parse().expect("name");
    let place = PLACE.parse().expect("name");
    let definition = ServiceDefinition { service, policy };
    let leaf_name: LeafId = "leaf-1".parse().expect("name");
    let shards = (0..shards).map(|number| ShardReplicas {
        shard: format!("shard-{number}").parse().expect("name"),
        replicas: vec![leaf_name.clone()],
    });
    let placement = ServicePlacement {
        service: definition.service.clone(),
        place,
        leafs: vec![LeafDescriptor {
            leaf: leaf_name.clone(),
            address: leaf,
            zone: "bangkok-a".parse().expect("name"),
            slots: 4,
            maximum_connections: 75,
        }],
        snapshots: vec![Snapshot {
            version: SnapshotVersion(7),
            shards: shards.collect(),
        }],
    };
    let placement_key = ObjectKey::Placement(placement.service.clone(), placement.place.clone());
    store.set(
        ObjectKey::Service(definition.service.clone()),
        ConfigObject::Service(definition),
    );
    store.set(ObjectKey::Table, ConfigObject::Table(table()));
    store.set(placement_key, ConfigObject::Placement(placement));
}

/// Starts a daemon and waits until it is ready.
pub async fn start_ready(store: &TestStore) -> Daemon {
    start_with(settings(store)).await
}

/// Starts a daemon with these settings and waits until it is ready.
pub async fn start_with(settings: Settings) -> Daemon {
    let daemon = Daemon::start(settings, tuning()).await.expect("start");
    while !daemon.state().readiness().await.ready {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    daemon
}

/// Posts a query to the test service.
pub async fn query(daemon: &Daemon, headers: &[&str], body: &str) -> Reply {
    let path = format!("/v1/services/{SERVICE}/query");
    exchange(daemon.caller_address(), "POST", &path, headers, body).await
}
