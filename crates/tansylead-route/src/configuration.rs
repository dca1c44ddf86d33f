//! The configuration of routed requests: routes, services and limits, as one immutable version.

use crate::home_regions::HomeRegions;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::ServiceName;

/// One whole version of the configuration. Never changed; replaced by a greater version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; greater is newer, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Configuration {
    /// The services that are shards of a route; some may come several times.
    pub fn shards(&self) -> impl Iterator<Item = &ServiceName> {
        self.routes.iter().flat_map(|route| match &route.target {
            Target::Shards(set) => set.shards.as_slice(),
            Target::Services(_) => &[],
        })
    }
}

/// One route: which requests it takes, where they go, and under which policy.
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
    /// How they are handled.
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

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Weight; a share of the sum of all weights of the route.
    pub weight: f64,
}

/// The shards a query is spread over. Each shard is a service whose leafs are replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardSet {
    /// Shards.
    pub shards: Vec<ServiceName>,
    /// Number of records in the merged answer.
    pub top: usize,
    /// Least share of shards in an answer, 0 to 1.
    pub minimum_coverage: f64,
}

impl ShardSet {
    /// Least number of parts that make an answer; at least one.
    pub fn parts_needed(&self) -> usize {
        /// Tolerance for products such as 0.9 times 10.
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
    /// Most leafs one request may be sent to; of a query over shards, for each shard.
    pub maximum_attempts: u32,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Regions whose leafs may serve the requests.
    pub homes: HomeRegions,
}

/// A service as configured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections one leaf accepts from all callers together.
    pub maximum_connections: u32,
    /// Requests a second that one leaf bears from all callers together while it is cold; none if it
    /// bears as many as any other.
    pub cold_requests_per_second: Option<f64>,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of request line and headers.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for the headers of one request.
    pub header_timeout: Duration,
    /// Time a connection may rest between requests.
    pub idle_timeout: Duration,
}
