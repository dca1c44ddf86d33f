//! Which leafs the requests of a route may use, by the configuration in force at the time of the check.
//!
//! A request keeps the route that it matched on arrival. Which leafs it may use follows the configuration:
//! a version that restricts the route to other regions also applies to requests in progress.

use crate::clock::Clock;
use crate::leaf::LeafState;
use crate::state::{ActiveConfiguration, Gateway};
use std::rc::Rc;
use std::sync::Arc;
use tansylead_route::{Eligibility, Route};

/// Decides which leafs the requests of a route may use now.
#[derive(Debug, Clone)]
pub struct LeafAccess {
    gateway: Rc<Gateway>,
    route: Arc<Route>,
    /// Version of the configuration that the route was found in.
    version: u64,
}

impl LeafAccess {
    /// Access for a request whose route was found in this version of the configuration.
    pub fn new(gateway: Rc<Gateway>, route: Arc<Route>, version: u64) -> Self {
        Self {
            gateway,
            route,
            version,
        }
    }

    /// The route as it is in force now, or as the request found it if it has been removed since.
    pub fn route_in_force(&self) -> Arc<Route> {
        let active = self.gateway.active();
        let newer = active.filter(|active| active.configuration.version != self.version);
        let current = newer.and_then(|newer| self.find_in(&newer));
        current.unwrap_or_else(|| Arc::clone(&self.route))
    }

    /// Whether a request may go to the leaf now.
    pub fn may_use(&self, leaf: &LeafState) -> bool {
        let route = self.route_in_force();
        let grace = self.gateway.settings.bounds.missing_grace();
        leaf.eligibility_for(&route.policy.homes, Clock.now(), grace) < Eligibility::Ineligible
    }

    fn find_in(&self, active: &ActiveConfiguration) -> Option<Arc<Route>> {
        let found = active
            .routes
            .find(&self.route.host, &self.route.path_prefix)?;
        (found.name == self.route.name).then(|| Arc::clone(found))
    }
}
