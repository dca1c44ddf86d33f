//! What a shape means as a deployment: its plan, and its index at two versions.
//!
//! Pure. The second version has more shards than the first, so that publishing it is also a
//! repartition.

use crate::deployment::description::{
    DelayDescription, DeploymentDescription, PlaceDescription, ServiceGroup,
};
use crate::deployment::plan::{self, DeploymentPlan, FIRST_SNAPSHOT, LeafAddresses};
use crate::experiment::file::{STANDARD_NORMAL_P99, Scenario, ServiceShape, Shape};
use crate::leaf::{ColdStartSpec, Holding, LatencySpec};
use eyre::WrapErr;
use tansylead_types::{
    ConfigObject, HourRange, ObjectKey, PlaceName, ServicePolicy, SnapshotVersion, TableRow,
    TrafficTable, ZoneName,
};

/// The index version published by a repartition.
pub const SECOND_SNAPSHOT: SnapshotVersion = SnapshotVersion(2);
/// Weight of each place unless a scenario moves it.
pub const EVEN_WEIGHT: u32 = 100;
/// Limit that stands for "no limit", as a multiple of what all slots can do.
const UNLIMITED: f64 = 10.0;
/// The second version has one shard more for this many of the first.
const SHARDS_PER_NEW_SHARD: u32 = 4;
/// Requests that may wait at a leaf.
const LEAF_QUEUE: u32 = 5;
/// Records each shard finds.
const RECORDS_PER_SHARD: u32 = 2;
/// Delays towards leafs; callers are next to their daemons.
const DELAYS: DelayDescription = DelayDescription {
    between_zones_millis: 1.0,
    to_clients_millis: 0.0,
    connection_setup_millis: 1.0,
};

/// The deployment at its start.
pub fn deployment_plan(
    shape: &Shape,
    scenario: &Scenario,
    seed: u64,
) -> eyre::Result<DeploymentPlan> {
    let places: eyre::Result<Vec<PlaceDescription>> = shape
        .places
        .iter()
        .map(|place| place_description(shape, place))
        .collect();
    let services = shape.services.iter();
    let description = DeploymentDescription {
        cluster: shape.name.clone(),
        seed,
        delays: DELAYS,
        places: places?,
        services: services.map(|service| group(service, scenario)).collect(),
        callers: Vec::new(),
    };
    let even = vec![EVEN_WEIGHT; shape.places.len()];
    Ok(DeploymentPlan {
        description,
        table: table(shape, scenario, &even),
    })
}

/// One zone for each daemon.
fn place_description(shape: &Shape, place: &PlaceName) -> eyre::Result<PlaceDescription> {
    let zones: eyre::Result<Vec<ZoneName>> = (0..shape.daemons_per_place)
        .map(|index| ZoneName::new(format!("{place}-{index}")).wrap_err("name a zone"))
        .collect();
    Ok(PlaceDescription {
        name: place.clone(),
        zones: zones?,
        daemons_per_zone: 1,
    })
}

fn group(service: &ServiceShape, scenario: &Scenario) -> ServiceGroup {
    ServiceGroup {
        names: vec![service.name.clone()],
        leafs_per_place: service.leafs,
        slots: service.slots,
        queue: LEAF_QUEUE,
        maximum_connections: service.connections,
        shards: service.shards,
        replicas: service.replicas,
        records_per_shard: RECORDS_PER_SHARD,
        latency: LatencySpec {
            median_millis: service.median_millis,
            sigma: (service.p99_millis / service.median_millis).ln() / STANDARD_NORMAL_P99,
            straggler_share: scenario.stragglers_percent / 100.0,
            straggler_factor: scenario.straggler_factor,
        },
        cold_start: ColdStartSpec::default(),
        policy: ServicePolicy {
            default_deadline_millis: service.deadline_millis,
            ..ServicePolicy::default()
        },
    }
}

/// The group as the index has it at a version.
fn group_at(group: &ServiceGroup, version: SnapshotVersion) -> ServiceGroup {
    let mut group = group.clone();
    if version != FIRST_SNAPSHOT {
        group.shards += group.shards.div_ceil(SHARDS_PER_NEW_SHARD);
    }
    group
}

/// What one leaf holds at the given versions.
pub fn holdings(
    group: &ServiceGroup,
    leaf: u32,
    versions: &[SnapshotVersion],
) -> eyre::Result<Vec<Holding>> {
    versions
        .iter()
        .map(|version| plan::holding(&group_at(group, *version), leaf, *version))
        .collect()
}

/// Placements of all services in all places that offer the given versions.
pub fn placements(
    description: &DeploymentDescription,
    addresses: &LeafAddresses,
    versions: &[SnapshotVersion],
) -> eyre::Result<Vec<(ObjectKey, ConfigObject)>> {
    let mut objects = Vec::new();
    for place in &description.places {
        for group in &description.services {
            let service = &group.names[0];
            let mut placement = plan::placement(place, group, service, addresses)?;
            placement.snapshots.clear();
            for version in versions {
                let group = group_at(group, *version);
                let snapshot = plan::snapshot(place, &group, service, *version)?;
                placement.snapshots.push(snapshot);
            }
            let key = ObjectKey::Placement(service.clone(), place.name.clone());
            objects.push((key, ConfigObject::Placement(placement)));
        }
    }
    Ok(objects)
}

/// The operators' table with a weight for each place, in the order of the shape.
pub fn table(shape: &Shape, scenario: &Scenario, weights: &[u32]) -> TrafficTable {
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
    TrafficTable::from_rows(rows)
}

/// Limit of one place for a service, in queries per second.
fn limit(service: &ServiceShape, scenario: &Scenario) -> u32 {
    let limit = service.capacity() * scenario.limit.unwrap_or(UNLIMITED);
    (limit.round() as u32).max(1)
}

/// Sum of the limits of all services in all places.
pub fn limit_of_all(shape: &Shape, scenario: &Scenario) -> f64 {
    let services = shape.services.iter();
    let in_one_place: u32 = services.map(|service| limit(service, scenario)).sum();
    f64::from(in_one_place) * shape.places.len() as f64
}
