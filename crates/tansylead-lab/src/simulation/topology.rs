//! The simulated deployment: places, zones, daemons, leafs, services and their index versions.

use std::net::SocketAddr;
use tansylead_types::{
    ConfigObject, HourRange, LeafDescriptor, LeafId, NodeId, ObjectKey, PlaceName,
    ServiceDefinition, ServiceName, ServicePlacement, ServicePolicy, ShardId, ShardReplicas,
    Snapshot, SnapshotVersion, TableRow, TrafficTable, WaitPolicy, ZoneName,
};

/// Places; each is one region.
pub const PLACES: usize = 3;
/// Zones of each place.
pub const ZONES_PER_PLACE: usize = 2;
/// Daemons of each place.
pub const DAEMONS_PER_PLACE: usize = 3;
/// Daemons of the deployment.
pub const DAEMONS: usize = PLACES * DAEMONS_PER_PLACE;
/// Leafs of each service in each place.
pub const LEAFS_PER_PLACEMENT: usize = 4;
const LEAST_SHARDS: u64 = 4;
/// Replicas of each shard.
const REPLICAS: usize = 2;
/// Slots of each leaf.
pub const SLOTS_PER_LEAF: u32 = 5;
const CONNECTIONS_PER_LEAF: u32 = 75;
/// Queries per second that the table allows each service in each place.
const TABLE_LIMIT: u32 = 500;
const DAEMON_PORT: u16 = 7_000;
const CALLER_PORT: u16 = 8_000;
const LEAF_PORT: u16 = 9_000;

/// The simulated services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Service {
    /// Lookups that answer partially before the deadline.
    Lookup,
    /// Files that must arrive whole and use the whole deadline.
    Dispute,
}

/// All services.
pub const SERVICES: [Service; 2] = [Service::Lookup, Service::Dispute];
/// Leafs of the deployment.
pub const LEAFS: usize = SERVICES.len() * PLACES * LEAFS_PER_PLACEMENT;
/// Index version at the start.
pub const FIRST_VERSION: SnapshotVersion = SnapshotVersion(1);

impl Service {
    /// Name in requests and configuration.
    pub fn name(self) -> ServiceName {
        let text = match self {
            Service::Lookup => "lookup",
            Service::Dispute => "dispute",
        };
        ServiceName::new(text).expect("constant name is valid")
    }

    fn policy(self) -> ServicePolicy {
        match self {
            Service::Lookup => ServicePolicy {
                wait: WaitPolicy::EarlyPartial { after_millis: 300 },
                ..ServicePolicy::default()
            },
            Service::Dispute => ServicePolicy {
                default_deadline_millis: 2_000,
                ..ServicePolicy::default()
            },
        }
    }
}

/// Leafs and versions of one service in one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Placement {
    /// Service.
    pub service: Service,
    /// Place.
    pub place: usize,
}

/// All placements.
pub fn placements() -> impl Iterator<Item = Placement> {
    SERVICES
        .into_iter()
        .flat_map(|service| (0..PLACES).map(move |place| Placement { service, place }))
}

impl Placement {
    /// Positions of its leafs.
    pub fn leafs(self) -> std::ops::Range<usize> {
        let position = placements()
            .position(|placement| placement == self)
            .unwrap_or_default();
        let first = position * LEAFS_PER_PLACEMENT;
        first..first + LEAFS_PER_PLACEMENT
    }

    /// Key of its configuration object.
    pub fn key(self) -> ObjectKey {
        ObjectKey::Placement(self.service.name(), place_name(self.place))
    }

    /// The configuration object that lists these versions.
    pub fn object(self, versions: &[SnapshotVersion]) -> ConfigObject {
        ConfigObject::Placement(ServicePlacement {
            service: self.service.name(),
            place: place_name(self.place),
            leafs: self.leafs().map(leaf_descriptor).collect(),
            snapshots: versions.iter().map(|v| self.snapshot(*v)).collect(),
        })
    }

    fn snapshot(self, version: SnapshotVersion) -> Snapshot {
        let shards = shards(version).into_iter().enumerate();
        Snapshot {
            version,
            shards: shards
                .map(|(index, shard)| ShardReplicas {
                    shard,
                    replicas: self.replicas(index, version).map(leaf_id).collect(),
                })
                .collect(),
        }
    }

    /// Leafs that hold a shard at a version.
    fn replicas(self, shard: usize, version: SnapshotVersion) -> impl Iterator<Item = usize> {
        let first = self.leafs().start;
        let turn = shard + version.0 as usize;
        (0..REPLICAS).map(move |replica| first + (turn + replica) % LEAFS_PER_PLACEMENT)
    }

    /// Whether a leaf holds a shard at a version, as long as it has the version at all.
    pub fn holds(self, leaf: usize, shard: &ShardId, version: SnapshotVersion) -> bool {
        let position = shards(version).iter().position(|known| known == shard);
        position.is_some_and(|index| self.replicas(index, version).any(|holder| holder == leaf))
    }
}

/// Shards of an index version: repartitioned with each version, under names that repeat.
pub fn shards(version: SnapshotVersion) -> Vec<ShardId> {
    let count = LEAST_SHARDS + version.0 % 3;
    (0..count)
        .map(|index| ShardId::new(format!("s{index}")).expect("generated name is valid"))
        .collect()
}

/// The placement that a leaf belongs to.
pub fn placement_of_leaf(leaf: usize) -> Placement {
    placements()
        .nth(leaf / LEAFS_PER_PLACEMENT)
        .expect("leaf is part of the deployment")
}

/// Name of a place.
pub fn place_name(place: usize) -> PlaceName {
    PlaceName::new(format!("place{place}")).expect("generated name is valid")
}

/// Position of a place by its name.
pub fn place_index(name: &PlaceName) -> Option<usize> {
    (0..PLACES).find(|place| place_name(*place) == *name)
}

/// Place of a daemon.
pub fn daemon_place(daemon: usize) -> usize {
    daemon / DAEMONS_PER_PLACE
}

/// Zone of a daemon inside its place.
pub fn daemon_zone(daemon: usize) -> usize {
    daemon % ZONES_PER_PLACE
}

/// Zone of a leaf inside its place.
pub fn leaf_zone(leaf: usize) -> usize {
    leaf % ZONES_PER_PLACE
}

/// Name of a zone.
pub fn zone_name(place: usize, zone: usize) -> ZoneName {
    ZoneName::new(format!("zone{place}-{zone}")).expect("generated name is valid")
}

/// Peer address of a daemon.
pub fn daemon_node(daemon: usize) -> NodeId {
    NodeId(SocketAddr::from((
        [10, 0, 0, daemon as u8 + 1],
        DAEMON_PORT,
    )))
}

/// Callers' address of a daemon.
pub fn daemon_caller_address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, daemon as u8 + 1], CALLER_PORT))
}

/// Position of a daemon by its peer address.
pub fn daemon_index(node: NodeId) -> Option<usize> {
    (0..DAEMONS).find(|daemon| daemon_node(*daemon) == node)
}

/// Name of a leaf.
pub fn leaf_id(leaf: usize) -> LeafId {
    LeafId::new(format!("leaf{leaf}")).expect("generated name is valid")
}

/// Address of a leaf.
pub fn leaf_address(leaf: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, leaf as u8 + 1], LEAF_PORT))
}

/// Position of a leaf by its address.
pub fn leaf_index(address: SocketAddr) -> Option<usize> {
    (0..LEAFS).find(|leaf| leaf_address(*leaf) == address)
}

fn leaf_descriptor(leaf: usize) -> LeafDescriptor {
    LeafDescriptor {
        leaf: leaf_id(leaf),
        address: leaf_address(leaf),
        zone: zone_name(placement_of_leaf(leaf).place, leaf_zone(leaf)),
        slots: SLOTS_PER_LEAF,
        maximum_connections: CONNECTIONS_PER_LEAF,
    }
}

/// The table at the start: every place takes every service at every hour.
pub fn first_table() -> TrafficTable {
    let rows = placements().map(|placement| TableRow {
        service: placement.service.name(),
        place: place_name(placement.place),
        hours: HourRange { start: 0, end: 24 },
        weight: 1,
        limit: TABLE_LIMIT,
    });
    TrafficTable {
        rows: rows.collect(),
        ..TrafficTable::default()
    }
}

/// All objects in the store at the start, in the order in which they were written.
pub fn first_objects() -> Vec<(ObjectKey, ConfigObject)> {
    let services = SERVICES.into_iter().map(|service| {
        let definition = ServiceDefinition {
            service: service.name(),
            policy: service.policy(),
        };
        let key = ObjectKey::Service(service.name());
        (key, ConfigObject::Service(definition))
    });
    let placements =
        placements().map(|placement| (placement.key(), placement.object(&[FIRST_VERSION])));
    let table = (ObjectKey::Table, ConfigObject::Table(first_table()));
    services.chain(placements).chain([table]).collect()
}
