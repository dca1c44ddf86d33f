//! The configuration of routed requests: routes, services and limits, as one immutable version.

use crate::home_regions::HomeRegions;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::ServiceName;

/// One whole version of the configuration. Immutable; replaced by a greater version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; greater is newer, and numbers may be skipped.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

impl Configuration {
    /// The services that are shards of a route, possibly with duplicates.
    pub fn shards(&self) -> impl Iterator<Item = &ServiceName> {
        self.routes.iter().flat_map(|route| match &route.target {
            Target::Shards(set) => set.shards.as_slice(),
            Target::Services(_) => &[],
        })
    }
}

/// One route: which requests it matches, where they go, and under which policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host the request must name, in lower case and without a port.
    pub host: String,
    /// Prefix of the path; the longest prefix wins.
    pub path_prefix: String,
    /// Where requests go.
    pub target: Target,
    /// How requests are handled.
    pub policy: Policy,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one of these services, in proportion to the weights.
    Services(Vec<WeightedService>),
    /// To one leaf of each shard; the parts are merged.
    Shards(ShardSet),
}

/// A service and its weight within a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that takes the requests.
    pub service: ServiceName,
    /// Weight, relative to the sum of all weights of the route.
    pub weight: f64,
}

/// The shards that a query fans out to. Each shard is a service whose leafs are replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardSet {
    /// One service for each shard.
    pub shards: Vec<ServiceName>,
    /// Number of records in the merged answer.
    pub top: usize,
    /// Minimum share of shards that an answer must cover, 0 to 1.
    pub minimum_coverage: f64,
}

impl ShardSet {
    /// Minimum number of parts in an answer; at least one.
    pub fn parts_needed(&self) -> usize {
        /// Tolerance for rounding errors of products such as 0.9 times 10.
        const ROUNDING: f64 = 1e-9;
        let exact = self.minimum_coverage * self.shards.len() as f64;
        ((exact - ROUNDING).ceil() as usize).max(1)
    }
}

/// How the requests of a route are handled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Maximum number of leafs that one request is sent to; for a query over shards, per shard.
    pub maximum_attempts: u32,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency objective: an answer within this time has its full value.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Regions whose leafs may serve the requests.
    pub homes: HomeRegions,
}

/// A service as configured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections that one leaf accepts from all callers together.
    pub maximum_connections: u32,
    /// Requests per second that one leaf can take from all callers together while it is cold; none if
    /// it can take as many as any other.
    pub cold_requests_per_second: Option<f64>,
}

/// Limits on the size and the duration of callers' requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum bytes of request line and headers.
    pub header_bytes: usize,
    /// Maximum bytes of a body.
    pub body_bytes: usize,
    /// Maximum time for receiving the headers of one request.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}
