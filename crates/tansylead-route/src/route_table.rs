//! Finds the route of a request: the longest matching prefix among the routes of a host.

use crate::configuration::{Configuration, Route};
use std::collections::HashMap;
use std::sync::Arc;

/// Routes of one configuration version, indexed by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// The route of a request to this host and path. The host may have a port and upper-case letters.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
