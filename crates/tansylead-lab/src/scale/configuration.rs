//! The configuration of a scale run: 14,000 leafs, snapshots of 52 shards, and a table whose limits
//! add up to the queries of the size to design for.

use super::topology::{PLACES, place_name, zone_name};
use std::net::SocketAddr;
use tansylead_types::ids::InvalidName;
use tansylead_types::table::HourRange;
use tansylead_types::{
    ConfigObject, LeafDescriptor, LeafId, ObjectKey, ServiceDefinition, ServiceName,
    ServicePlacement, ServicePolicy, ShardId, ShardReplicas, Snapshot, SnapshotVersion, TableRow,
    TrafficTable,
};

/// Leafs of the size to design for.
pub const LEAFS: usize = 14_000;
/// Services of the size to design for, each in every place.
pub const SERVICES: usize = 50;
/// Shards of each snapshot: a query asks as many leafs.
pub const SHARDS: usize = 52;
/// Leafs of one service in one place.
pub const LEAFS_PER_PLACEMENT: usize = LEAFS / SERVICES / PLACES;
/// Queries per second for each daemon: 300,000 over 2,000 daemons.
pub const QUERIES_PER_DAEMON: usize = 150;
/// Replicas of each shard in one place.
const REPLICAS: usize = 2;
/// Version of the only snapshot.
pub const SNAPSHOT: SnapshotVersion = SnapshotVersion(1);
/// Requests a leaf runs at once.
const LEAF_SLOTS: u32 = 5;
/// Connections a leaf accepts.
const LEAF_CONNECTIONS: u32 = 110;
/// Hours of the table's rows.
const HOURS: [HourRange; 3] = [
    HourRange { start: 0, end: 8 },
    HourRange { start: 8, end: 16 },
    HourRange { start: 16, end: 24 },
];
/// Room of a limit above the mean demand.
const LIMIT_FACTOR: usize = 2;

/// How large the configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationSize {
    /// Daemons that share the demand.
    pub daemons: usize,
    /// Services.
    pub services: usize,
}

/// All objects. Every leaf has the same address, at which only health is answered.
pub fn objects(
    size: ConfigurationSize,
    leaf_address: SocketAddr,
) -> Result<Vec<(ObjectKey, ConfigObject)>, InvalidName> {
    let mut objects = Vec::new();
    for service in 0..size.services {
        let name = service_name(service)?;
        let definition = ServiceDefinition {
            service: name.clone(),
            policy: ServicePolicy::default(),
        };
        let key = ObjectKey::Service(name.clone());
        objects.push((key, ConfigObject::Service(definition)));
        for place in 0..PLACES {
            let placement = placement(&name, place, leaf_address)?;
            let key = ObjectKey::Placement(name.clone(), placement.place.clone());
            objects.push((key, ConfigObject::Placement(placement)));
        }
    }
    objects.push((ObjectKey::Table, ConfigObject::Table(table(size, 1)?)));
    Ok(objects)
}

/// The table; another weight makes another change.
pub fn table(size: ConfigurationSize, weight: u32) -> Result<TrafficTable, InvalidName> {
    let queries = QUERIES_PER_DAEMON * LIMIT_FACTOR * size.daemons;
    let limit = u32::try_from(queries / (size.services * PLACES)).unwrap_or(u32::MAX);
    let mut rows = Vec::new();
    for service in 0..size.services {
        for place in 0..PLACES {
            for hours in HOURS {
                rows.push(TableRow {
                    service: service_name(service)?,
                    place: place_name(place)?,
                    hours,
                    weight,
                    limit,
                });
            }
        }
    }
    Ok(TrafficTable::from_rows(rows))
}

fn service_name(service: usize) -> Result<ServiceName, InvalidName> {
    ServiceName::new(format!("service-{service:02}"))
}

fn leaf_name(service: &ServiceName, place: usize, leaf: usize) -> Result<LeafId, InvalidName> {
    LeafId::new(format!("{service}-{}-leaf-{leaf:02}", place + 1))
}

fn placement(
    service: &ServiceName,
    place: usize,
    leaf_address: SocketAddr,
) -> Result<ServicePlacement, InvalidName> {
    let mut leafs = Vec::new();
    for leaf in 0..LEAFS_PER_PLACEMENT {
        leafs.push(LeafDescriptor {
            leaf: leaf_name(service, place, leaf)?,
            address: leaf_address,
            zone: zone_name(place, leaf)?,
            slots: LEAF_SLOTS,
            maximum_connections: LEAF_CONNECTIONS,
        });
    }
    let mut shards = Vec::new();
    for shard in 0..SHARDS {
        let replica = |copy: usize| leaf_name(service, place, (shard + copy) % LEAFS_PER_PLACEMENT);
        shards.push(ShardReplicas {
            shard: ShardId::new(format!("shard-{shard:02}"))?,
            replicas: (0..REPLICAS).map(replica).collect::<Result<_, _>>()?,
        });
    }
    Ok(ServicePlacement {
        service: service.clone(),
        place: place_name(place)?,
        leafs,
        snapshots: vec![Snapshot {
            version: SNAPSHOT,
            shards,
        }],
    })
}
