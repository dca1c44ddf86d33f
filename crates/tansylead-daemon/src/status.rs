//! Body of the answer to `GET /v1/status`.

use crate::root::RootStatus;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansylead_types::{PlaceName, ServiceName, ZoneName};

/// State of one daemon and of the cluster as it sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Program version.
    pub version: String,
    /// Cluster name.
    pub cluster: String,
    /// Place of the daemon.
    pub place: PlaceName,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Whether callers should send queries to it.
    pub readiness: Readiness,
    /// Number of running members as this daemon sees them, itself included.
    pub members: usize,
    /// What this daemon knows of the store.
    pub store: String,
    /// Highest store revision in force.
    pub revision: u64,
    /// Generation of the table in force; 0 if there is none.
    pub table_generation: u64,
    /// Epoch of the claim view in force, if there is one.
    pub claim_view_epoch: Option<u64>,
    /// Number of members of that view.
    pub claim_view_members: usize,
    /// Services.
    pub services: BTreeMap<ServiceName, ServiceStatus>,
}

/// Whether callers should send queries to a daemon. One that is not ready may still accept them, as
/// it does early in a planned stop.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it is ready.
    pub ready: bool,
    /// Why it is not ready; empty if it is.
    pub reasons: Vec<String>,
}

/// State of one service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Generation of its definition.
    pub generation: u64,
    /// Places that have leafs of it.
    pub places: BTreeMap<PlaceName, PlaceStatus>,
}

/// State of one service in one place.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlaceStatus {
    /// Generation of the placement.
    pub generation: u64,
    /// Weight of the table row of this hour; none without a row.
    pub weight: Option<u32>,
    /// Limit of the table row of this hour, queries per second; none without a row.
    pub limit: Option<u32>,
    /// Number of leafs.
    pub leafs: usize,
    /// Daemons that are roots.
    pub serving_set: Vec<SocketAddr>,
    /// State of this daemon's own root, if it is one.
    pub root: Option<RootStatus>,
}
