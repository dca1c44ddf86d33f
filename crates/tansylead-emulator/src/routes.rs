//! Routes of a deployment.

use crate::configuration::{RoutePlan, RouteTarget};
use std::time::Duration;

/// Routes of a deployment.
#[derive(Debug, Clone)]
pub struct Routes {
    /// Query over all shards.
    pub query: RoutePlan,
    /// Lookup at one leaf; repeatable.
    pub lookup: RoutePlan,
    /// Post to one leaf; not repeatable.
    pub post: RoutePlan,
    /// Two routes for each further service.
    pub further: Vec<RoutePlan>,
}

impl Routes {
    /// Builds the routes for this many shards and further services.
    pub fn new(shards: usize, further_services: usize, single_timeout: Duration) -> Self {
        let shard_names = (0..shards).map(|shard| format!("shard-{shard}"));
        Self {
            query: RoutePlan {
                name: "query".to_owned(),
                target: RouteTarget::Shards {
                    shards: shard_names.collect(),
                    top: 20,
                    minimum_coverage: 0.74,
                },
                safe: true,
                timeout_millis: 3_000,
                objective_millis: 400,
                maximum_attempts: 2,
                homes: Vec::new(),
            },
            lookup: single_route("lookup", "files", true, single_timeout),
            post: single_route("post", "payments", false, single_timeout),
            further: (0..further_services)
                .flat_map(|number| further_routes(number, single_timeout))
                .collect(),
        }
    }

    /// All routes.
    pub fn all(&self) -> Vec<RoutePlan> {
        let mut all = vec![self.query.clone(), self.lookup.clone(), self.post.clone()];
        all.extend(self.further.iter().cloned());
        all
    }
}

/// Name of a further service.
pub fn further_service(number: usize) -> String {
    format!("further-{number}")
}

fn further_routes(number: usize, timeout: Duration) -> [RoutePlan; 2] {
    let service = further_service(number);
    ["read", "list"].map(|verb| single_route(&format!("{service}-{verb}"), &service, true, timeout))
}

fn single_route(name: &str, service: &str, safe: bool, timeout: Duration) -> RoutePlan {
    RoutePlan {
        name: name.to_owned(),
        target: RouteTarget::Services(vec![(service.to_owned(), 1.0)]),
        safe,
        timeout_millis: timeout.as_millis() as u64,
        objective_millis: 500,
        maximum_attempts: if safe { 2 } else { 1 },
        homes: Vec::new(),
    }
}
