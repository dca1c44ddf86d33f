//! Configuration objects, kept in the platform's store and replicated to every daemon.

use crate::{
    ChangeId, InstanceId, LeafId, PlaceName, ServiceName, ShardId, SnapshotVersion, TrafficTable,
    ZoneName,
};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// How long to wait for the other shards once some have answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitPolicy {
    /// Use the whole deadline to get a complete answer (dispute files).
    WholeDeadline,
    /// Return a partial answer this long after the start, if the minimum coverage is reached.
    EarlyPartial {
        /// Milliseconds from the start of the query.
        after_millis: u64,
    },
}

/// Policy of one service. All fields have defaults that suit a lookup service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServicePolicy {
    /// Deadline if the caller gives none, in milliseconds.
    pub default_deadline_millis: u64,
    /// Longest deadline that a caller may request, in milliseconds.
    pub maximum_deadline_millis: u64,
    /// Minimum share of shards (0 to 1) for which a partial answer carries results and is useful;
    /// below it the answer is still returned as partial with true coverage, but never early.
    pub minimum_coverage: f64,
    /// How long to wait for missing shards.
    pub wait: WaitPolicy,
    /// Whether requests without an idempotency key may be repeated.
    pub repeatable: bool,
    /// Extra attempts (hedges and retries) allowed, in per cent of first attempts.
    pub retry_budget_percent: f64,
    /// Hedge after this quantile (0 to 1) of the service's learned attempt latency.
    pub hedge_quantile: f64,
    /// Largest query body, in bytes.
    pub maximum_body_bytes: usize,
}

impl Default for ServicePolicy {
    fn default() -> Self {
        Self {
            default_deadline_millis: 500,
            maximum_deadline_millis: 30_000,
            minimum_coverage: 0.5,
            wait: WaitPolicy::WholeDeadline,
            repeatable: true,
            retry_budget_percent: 5.0,
            hedge_quantile: 0.97,
            maximum_body_bytes: 64 * 1024,
        }
    }
}

/// Definition of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDefinition {
    /// Name, as in the key.
    pub service: ServiceName,
    /// Policy.
    #[serde(default)]
    pub policy: ServicePolicy,
}

/// One leaf of a placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafDescriptor {
    /// Name.
    pub leaf: LeafId,
    /// HTTP address.
    pub address: SocketAddr,
    /// Zone the leaf runs in.
    pub zone: ZoneName,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Number of connections it accepts from all daemons together.
    pub maximum_connections: u32,
}

/// Replicas of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardReplicas {
    /// Shard.
    pub shard: ShardId,
    /// Leafs believed to hold it.
    pub replicas: Vec<LeafId>,
}

/// An index version together with its shard list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version.
    pub version: SnapshotVersion,
    /// Shards, ordered by shard id.
    pub shards: Vec<ShardReplicas>,
}

/// Leafs and snapshots of one service in one place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlacement {
    /// Service.
    pub service: ServiceName,
    /// Place.
    pub place: PlaceName,
    /// Leafs.
    pub leafs: Vec<LeafDescriptor>,
    /// Snapshots that may be queried, in any order.
    pub snapshots: Vec<Snapshot>,
}

/// Daemons that may grant claims for non-repeatable requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimView {
    /// Incremented by each change of members.
    pub epoch: u64,
    /// Members with their zones.
    pub members: Vec<ClaimViewMember>,
    /// Views whose claims the members must copy before they may grant: the last view whose members
    /// held all earlier claims and every view after it, oldest first. Empty only in the first view.
    #[serde(default)]
    pub earlier: Vec<EarlierClaimView>,
}

/// A predecessor of a [`ClaimView`] whose claims may still be in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EarlierClaimView {
    /// Its epoch.
    pub epoch: u64,
    /// Its members.
    pub members: Vec<ClaimViewMember>,
}

/// One member of a [`ClaimView`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimViewMember {
    /// The run of the daemon; a restart makes it another instance.
    pub instance: InstanceId,
    /// Its place.
    pub place: PlaceName,
    /// Its zone.
    pub zone: ZoneName,
}

/// Any configuration object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigObject {
    /// A service and its policy.
    Service(ServiceDefinition),
    /// Leafs and snapshots of a service in a place.
    Placement(ServicePlacement),
    /// The operators' table.
    Table(TrafficTable),
    /// Claim members.
    ClaimView(ClaimView),
}

/// Key of a configuration object; also its path in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum ObjectKey {
    /// `services/{service}`
    Service(ServiceName),
    /// `placements/{service}/{place}`
    Placement(ServiceName, PlaceName),
    /// `table`
    Table,
    /// `claim-view`
    ClaimView,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectKey::Service(service) => write!(formatter, "services/{service}"),
            ObjectKey::Placement(service, place) => {
                write!(formatter, "placements/{service}/{place}")
            }
            ObjectKey::Table => formatter.write_str("table"),
            ObjectKey::ClaimView => formatter.write_str("claim-view"),
        }
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> String {
        key.to_string()
    }
}

/// A text that is not an object key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not an object key")]
pub struct InvalidObjectKey(pub String);

impl TryFrom<String> for ObjectKey {
    type Error = InvalidObjectKey;
    fn try_from(text: String) -> Result<Self, InvalidObjectKey> {
        let invalid = || InvalidObjectKey(text.clone());
        let parts: Vec<&str> = text.split('/').collect();
        match parts.as_slice() {
            ["table"] => Ok(ObjectKey::Table),
            ["claim-view"] => Ok(ObjectKey::ClaimView),
            ["services", service] => {
                Ok(ObjectKey::Service(service.parse().map_err(|_| invalid())?))
            }
            ["placements", service, place] => Ok(ObjectKey::Placement(
                service.parse().map_err(|_| invalid())?,
                place.parse().map_err(|_| invalid())?,
            )),
            _ => Err(invalid()),
        }
    }
}

/// An object as the store holds it and as daemons replicate it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Key.
    pub key: ObjectKey,
    /// Store revision of the last write to this object; revisions increase across the whole store.
    pub revision: u64,
    /// Version of this object; incremented by each write, also across deletion.
    pub generation: u64,
    /// The write that created this generation.
    pub change: ChangeId,
    /// Contents; none after deletion.
    pub object: Option<ConfigObject>,
}
