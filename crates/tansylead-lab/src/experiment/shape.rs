//! What a shape means for the stand-ins: leafs with their holdings, and the store's objects.
//!
//! Pure. Shard `n` is held by leafs `n`, `n + 1`, … (modulo the number of leafs), so every leaf
//! carries the same share and every shard has its replicas on different leafs.

use crate::experiment::file::{STANDARD_NORMAL_P99, Scenario, ServiceShape, Shape};
use crate::leaf::{Holding, LatencySpec, LeafBehaviour, LeafSpec};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use tansylead_types::{
    ConfigObject, HourRange, LeafDescriptor, LeafId, PlaceName, ServiceDefinition, ServiceName,
    ServicePlacement, ServicePolicy, ShardId, ShardReplicas, Snapshot, SnapshotVersion, TableRow,
    TrafficTable, ZoneName,
};

/// The index version that every run starts with.
pub const FIRST_VERSION: SnapshotVersion = SnapshotVersion(1);
/// The index version published by a repartition.
pub const SECOND_VERSION: SnapshotVersion = SnapshotVersion(2);
/// Weight of each place unless a scenario moves it.
pub const EVEN_WEIGHT: u32 = 100;
/// Limit that stands for "no limit", as a multiple of what all slots can do.
const UNLIMITED: f64 = 10.0;
/// The second version has one shard more for this many of the first.
const SHARDS_PER_NEW_SHARD: u32 = 4;

/// Name of a zone of a place; zones are numbered from 0.
pub fn zone_name(place: &PlaceName, index: usize) -> ZoneName {
    ZoneName::new(format!("{place}-{index}")).expect("place names are short")
}

/// Name of a leaf.
pub fn leaf_name(service: &ServiceShape, place: &PlaceName, index: u32) -> LeafId {
    let text = format!("{}.{place}.{index}", service.name);
    LeafId::new(text).expect("service and place names are short")
}

/// Shards of a service at a version.
pub fn shards(service: &ServiceShape, version: SnapshotVersion) -> Vec<ShardId> {
    let count = if version == FIRST_VERSION {
        service.shards
    } else {
        service.shards + service.shards.div_ceil(SHARDS_PER_NEW_SHARD)
    };
    (0..count)
        .map(|index| ShardId::new(format!("{version}-{index:03}")).expect("short and allowed"))
        .collect()
}

fn holders(service: &ServiceShape, shard_index: u32) -> impl Iterator<Item = u32> {
    let leafs = service.leafs;
    (0..service.replicas).map(move |replica| (shard_index + replica) % leafs)
}

/// What one leaf holds at the given versions.
pub fn holdings(service: &ServiceShape, leaf: u32, versions: &[SnapshotVersion]) -> Vec<Holding> {
    versions
        .iter()
        .map(|version| Holding {
            snapshot: *version,
            shards: (0..)
                .zip(shards(service, *version))
                .filter(|(index, _)| holders(service, *index).any(|holder| holder == leaf))
                .map(|(_, shard)| shard)
                .collect(),
        })
        .collect()
}

/// All stand-in leafs of a shape, on free ports.
pub fn leaf_specs(shape: &Shape, scenario: &Scenario) -> Vec<LeafSpec> {
    let mut specs = Vec::new();
    for place in &shape.places {
        for service in &shape.services {
            for index in 0..service.leafs {
                specs.push(leaf_spec(shape, scenario, service, place, index));
            }
        }
    }
    specs
}

fn leaf_spec(
    shape: &Shape,
    scenario: &Scenario,
    service: &ServiceShape,
    place: &PlaceName,
    index: u32,
) -> LeafSpec {
    let zones = usize::from(shape.daemons_per_place);
    let latency = LatencySpec {
        median_millis: service.median_millis,
        sigma: (service.p99_millis / service.median_millis).ln() / STANDARD_NORMAL_P99,
        straggler_share: scenario.stragglers_percent / 100.0,
        straggler_factor: scenario.straggler_factor,
    };
    LeafSpec {
        leaf: leaf_name(service, place, index),
        service: service.name.clone(),
        place: place.clone(),
        zone: zone_name(place, index as usize % zones),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        slots: service.slots,
        maximum_connections: service.connections,
        behaviour: LeafBehaviour {
            latency,
            ..LeafBehaviour::default()
        },
        holdings: holdings(service, index, &[FIRST_VERSION]),
    }
}

/// Addresses of the running leafs.
pub type LeafAddresses = BTreeMap<LeafId, SocketAddr>;

/// Definitions, placements and table with which every run starts.
pub fn store_objects(
    shape: &Shape,
    scenario: &Scenario,
    addresses: &LeafAddresses,
) -> Vec<ConfigObject> {
    let mut objects: Vec<ConfigObject> = shape.services.iter().map(definition).collect();
    objects.extend(placements(shape, addresses, &[FIRST_VERSION]));
    let even = vec![EVEN_WEIGHT; shape.places.len()];
    objects.push(table(shape, scenario, &even));
    objects
}

fn definition(service: &ServiceShape) -> ConfigObject {
    ConfigObject::Service(ServiceDefinition {
        service: service.name.clone(),
        policy: ServicePolicy {
            default_deadline_millis: service.deadline_millis,
            ..ServicePolicy::default()
        },
    })
}

/// Placements of all services in all places that offer the given versions.
pub fn placements(
    shape: &Shape,
    addresses: &LeafAddresses,
    versions: &[SnapshotVersion],
) -> Vec<ConfigObject> {
    let mut objects = Vec::new();
    for place in &shape.places {
        for service in &shape.services {
            objects.push(ConfigObject::Placement(ServicePlacement {
                service: service.name.clone(),
                place: place.clone(),
                leafs: descriptors(shape, service, place, addresses),
                snapshots: versions
                    .iter()
                    .map(|version| snapshot(service, place, *version))
                    .collect(),
            }));
        }
    }
    objects
}

fn descriptors(
    shape: &Shape,
    service: &ServiceShape,
    place: &PlaceName,
    addresses: &LeafAddresses,
) -> Vec<LeafDescriptor> {
    let zones = usize::from(shape.daemons_per_place);
    (0..service.leafs)
        .filter_map(|index| {
            let leaf = leaf_name(service, place, index);
            let address = *addresses.get(&leaf)?;
            Some(LeafDescriptor {
                leaf,
                address,
                zone: zone_name(place, index as usize % zones),
                slots: service.slots,
                maximum_connections: service.connections,
            })
        })
        .collect()
}

fn snapshot(service: &ServiceShape, place: &PlaceName, version: SnapshotVersion) -> Snapshot {
    let shards = (0..).zip(shards(service, version));
    Snapshot {
        version,
        shards: shards
            .map(|(index, shard)| ShardReplicas {
                shard,
                replicas: holders(service, index)
                    .map(|leaf| leaf_name(service, place, leaf))
                    .collect(),
            })
            .collect(),
    }
}

/// The operators' table with a weight for each place, in the order of the shape.
pub fn table(shape: &Shape, scenario: &Scenario, weights: &[u32]) -> ConfigObject {
    let whole_day = HourRange { start: 0, end: 24 };
    let mut rows = Vec::new();
    for service in &shape.services {
        for (place, weight) in shape.places.iter().zip(weights) {
            rows.push(TableRow {
                service: service.name.clone(),
                place: place.clone(),
                hours: whole_day,
                weight: *weight,
                limit: limit(service, scenario),
            });
        }
    }
    ConfigObject::Table(TrafficTable::from_rows(rows))
}

/// Limit of one place for a service, in queries per second.
pub fn limit(service: &ServiceShape, scenario: &Scenario) -> u32 {
    let limit = service.capacity() * scenario.limit.unwrap_or(UNLIMITED);
    (limit.round() as u32).max(1)
}

/// Sum of the limits of all services in all places.
pub fn limit_of_all(shape: &Shape, scenario: &Scenario) -> f64 {
    let services = shape.services.iter();
    let in_one_place: u32 = services.map(|service| limit(service, scenario)).sum();
    f64::from(in_one_place) * shape.places.len() as f64
}

/// Index of the stream of a service in a place; streams go place by place.
pub fn service_of_stream(shape: &Shape, stream: usize) -> &ServiceName {
    &shape.services[stream % shape.services.len()].name
}
