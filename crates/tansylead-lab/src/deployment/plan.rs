//! What a description means: stand-in leafs with their holdings, and the store's objects.
//!
//! Pure. Shard `n` is held by leafs `n`, `n + 1`, … (modulo the number of leafs), and leafs take
//! zones in turn, so each shard has its replicas on different leafs in different zones.

use super::description::{DeploymentDescription, PlaceDescription, ServiceGroup};
use crate::leaf::{Holding, LeafSpec};
use eyre::WrapErr;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use tansylead_types::{
    ConfigObject, LeafDescriptor, LeafId, ObjectKey, PlaceName, ServiceDefinition, ServiceName,
    ServicePlacement, ShardId, ShardReplicas, Snapshot, SnapshotVersion, TrafficTable, ZoneName,
};

/// Index version at the start.
pub const FIRST_SNAPSHOT: SnapshotVersion = SnapshotVersion(1);

/// Addresses of leafs that run.
pub type LeafAddresses = BTreeMap<LeafId, SocketAddr>;

/// A description with its table, ready to be run.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentPlan {
    /// Description.
    pub description: DeploymentDescription,
    /// Table.
    pub table: TrafficTable,
}

impl DeploymentPlan {
    /// All stand-in leafs, on free ports.
    pub fn leaf_specs(&self) -> eyre::Result<Vec<LeafSpec>> {
        let mut specs = Vec::new();
        for place in &self.description.places {
            for group in &self.description.services {
                for service in &group.names {
                    for index in 0..group.leafs_per_place {
                        specs.push(self.leaf_spec(place, group, service, index)?);
                    }
                }
            }
        }
        Ok(specs)
    }

    fn leaf_spec(
        &self,
        place: &PlaceDescription,
        group: &ServiceGroup,
        service: &ServiceName,
        index: u32,
    ) -> eyre::Result<LeafSpec> {
        Ok(LeafSpec {
            leaf: leaf_name(service, &place.name, index)?,
            service: service.clone(),
            place: place.name.clone(),
            zone: zone_of(place, index),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: group.slots,
            maximum_connections: group.maximum_connections,
            behaviour: self.description.behaviour(group),
            holdings: vec![holding(group, index, FIRST_SNAPSHOT)?],
        })
    }

    /// All configuration objects at the start, in the order in which they are written.
    pub fn objects(
        &self,
        addresses: &LeafAddresses,
    ) -> eyre::Result<Vec<(ObjectKey, ConfigObject)>> {
        let mut objects = Vec::new();
        for group in &self.description.services {
            for service in &group.names {
                objects.push(definition(group, service));
                for place in &self.description.places {
                    let placement = placement(place, group, service, addresses)?;
                    let key = ObjectKey::Placement(service.clone(), place.name.clone());
                    objects.push((key, ConfigObject::Placement(placement)));
                }
            }
        }
        let table = ConfigObject::Table(self.table.clone());
        objects.push((ObjectKey::Table, table));
        Ok(objects)
    }
}

fn definition(group: &ServiceGroup, service: &ServiceName) -> (ObjectKey, ConfigObject) {
    let definition = ServiceDefinition {
        service: service.clone(),
        policy: group.policy.clone(),
    };
    let key = ObjectKey::Service(service.clone());
    (key, ConfigObject::Service(definition))
}

/// Leafs and the first snapshot of one service in one place.
pub fn placement(
    place: &PlaceDescription,
    group: &ServiceGroup,
    service: &ServiceName,
    addresses: &LeafAddresses,
) -> eyre::Result<ServicePlacement> {
    let mut leafs = Vec::new();
    for index in 0..group.leafs_per_place {
        let leaf = leaf_name(service, &place.name, index)?;
        let address = *addresses
            .get(&leaf)
            .ok_or_else(|| eyre::eyre!("leaf {leaf} has no address"))?;
        leafs.push(LeafDescriptor {
            leaf,
            address,
            zone: zone_of(place, index),
            slots: group.slots,
            maximum_connections: group.maximum_connections,
        });
    }
    Ok(ServicePlacement {
        service: service.clone(),
        place: place.name.clone(),
        leafs,
        snapshots: vec![snapshot(place, group, service, FIRST_SNAPSHOT)?],
    })
}

/// Shard list of one service in one place at a version.
pub fn snapshot(
    place: &PlaceDescription,
    group: &ServiceGroup,
    service: &ServiceName,
    version: SnapshotVersion,
) -> eyre::Result<Snapshot> {
    let mut shards = Vec::new();
    for index in 0..group.shards {
        let replicas: eyre::Result<Vec<LeafId>> = holders(group, index)
            .map(|leaf| leaf_name(service, &place.name, leaf))
            .collect();
        shards.push(ShardReplicas {
            shard: shard_name(version, index)?,
            replicas: replicas?,
        });
    }
    Ok(Snapshot { version, shards })
}

/// What one leaf holds at a version.
pub fn holding(group: &ServiceGroup, leaf: u32, version: SnapshotVersion) -> eyre::Result<Holding> {
    let shards: eyre::Result<Vec<ShardId>> = (0..group.shards)
        .filter(|shard| holders(group, *shard).any(|holder| holder == leaf))
        .map(|shard| shard_name(version, shard))
        .collect();
    Ok(Holding {
        snapshot: version,
        shards: shards?,
    })
}

fn holders(group: &ServiceGroup, shard: u32) -> impl Iterator<Item = u32> {
    let leafs = group.leafs_per_place;
    (0..group.replicas).map(move |replica| (shard + replica) % leafs)
}

/// Name of a leaf.
pub fn leaf_name(service: &ServiceName, place: &PlaceName, index: u32) -> eyre::Result<LeafId> {
    LeafId::new(format!("{service}.{place}.{index}")).wrap_err("name a leaf")
}

fn shard_name(version: SnapshotVersion, index: u32) -> eyre::Result<ShardId> {
    ShardId::new(format!("{version}-{index:03}")).wrap_err("name a shard")
}

fn zone_of(place: &PlaceDescription, index: u32) -> ZoneName {
    let zones = place.zones.len();
    place.zones[index as usize % zones].clone()
}
