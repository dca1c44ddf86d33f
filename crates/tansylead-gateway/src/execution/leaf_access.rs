//! Which leafs the requests of a route may use, by what is in force when it is asked.
//!
//! A request keeps the route it was taken under. Where it may go follows the configuration: a version
//! that confines the route to other regions also binds attempts of requests that are under way.

use crate::clock::Clock;
use crate::leaf::LeafState;
use crate::state::{ActiveConfiguration, Gateway};
use std::rc::Rc;
use std::sync::Arc;
use tansylead_route::{Eligibility, Route};

/// The route of a request, and what of it is in force now.
#[derive(Debug, Clone)]
pub struct LeafAccess {
    gateway: Rc<Gateway>,
    route: Arc<Route>,
    /// Version that the route was found in.
    version: u64,
}

impl LeafAccess {
    /// Access of a request whose route was found in this version of the configuration.
    pub fn new(gateway: Rc<Gateway>, route: Arc<Route>, version: u64) -> Self {
        Self {
            gateway,
            route,
            version,
        }
    }

    /// The route as it is in force now, or as the request found it if it was removed since.
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
