//! Configuration documents as the operator writes them.

use serde_json::{Value, json};

/// Host of all routes.
pub const HOST: &str = "tansylead.example";
/// Idle time of callers' connections, in milliseconds.
pub const IDLE_TIMEOUT_MILLIS: u64 = 8_000;
/// Maximum size of a request's headers.
pub const MAXIMUM_HEADER_BYTES: usize = 8 * 1024;
/// Default maximum size of a request's body.
pub const MAXIMUM_BODY_BYTES: usize = 64 * 1024;

/// Requests per second that a cold leaf can take from all daemons together.
pub const COLD_REQUESTS_PER_SECOND: f64 = 8.0;

/// Destination of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteTarget {
    /// One leaf of one of these services, by weight.
    Services(Vec<(String, f64)>),
    /// One leaf of each shard.
    Shards {
        /// Shards.
        shards: Vec<String>,
        /// Maximum number of records in the answer.
        top: usize,
        /// Minimum share of shards that must answer.
        minimum_coverage: f64,
    },
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePlan {
    /// Name; its requests have the path `/NAME/...`.
    pub name: String,
    /// Target.
    pub target: RouteTarget,
    /// Whether requests may run more than once.
    pub safe: bool,
    /// Maximum time for a request, in milliseconds.
    pub timeout_millis: u64,
    /// Latency objective, in milliseconds: later answers are worth less.
    pub objective_millis: u64,
    /// Maximum number of leafs that a request may be sent to.
    pub maximum_attempts: u32,
    /// Regions whose leafs may serve its requests; all regions if empty.
    pub homes: Vec<String>,
}

impl RoutePlan {
    /// Prefix of its requests' paths.
    pub fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }

    /// Services that its requests may go to.
    pub fn services(&self) -> Vec<&str> {
        match &self.target {
            RouteTarget::Services(services) => {
                services.iter().map(|(name, _)| name.as_str()).collect()
            }
            RouteTarget::Shards { shards, .. } => shards.iter().map(String::as_str).collect(),
        }
    }

    fn document(&self) -> Value {
        let mut document = json!({
            "name": self.name,
            "host": HOST,
            "path_prefix": self.prefix(),
            "type": if self.safe { "safe" } else { "unsafe" },
            "timeout_ms": self.timeout_millis,
            "slo_ms": self.objective_millis,
            "max_attempts": self.maximum_attempts,
            "priority": 1,
            "allowed_regions": self.homes,
        });
        match &self.target {
            RouteTarget::Services(services) if services.len() == 1 => {
                document["service"] = json!(services[0].0);
            }
            RouteTarget::Services(services) => {
                let parts = services.iter();
                let parts = parts.map(|(name, weight)| json!({"service": name, "weight": weight}));
                document["backends"] = parts.collect();
            }
            RouteTarget::Shards {
                shards,
                top,
                minimum_coverage,
            } => {
                document["gather"] = json!(shards);
                document["top_k"] = json!(top);
                document["min_coverage"] = json!(minimum_coverage);
            }
        }
        document
    }
}

/// Builds the configuration document of a version.
pub fn document(
    version: u64,
    routes: &[RoutePlan],
    maximum_connections: u32,
    body_bytes: usize,
) -> Value {
    let mut names: Vec<&str> = routes.iter().flat_map(RoutePlan::services).collect();
    names.sort_unstable();
    names.dedup();
    let services = names.into_iter().map(|name| {
        json!({
            "name": name,
            "health_path": "/health",
            "max_conns": maximum_connections,
            "warmup_per_s": COLD_REQUESTS_PER_SECOND,
        })
    });
    json!({
        "version": version,
        "routes": routes.iter().map(RoutePlan::document).collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "limits": {
            "max_header_bytes": MAXIMUM_HEADER_BYTES,
            "max_body_bytes": body_bytes,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": IDLE_TIMEOUT_MILLIS,
        },
    })
}
