//! Routes of all services, created when a service is first looked up.

use super::service_routes::{RouteChoice, ServiceRoutes};
use crate::clock::Clock;
use crate::cluster::MemberView;
use crate::configuration::{ConfigurationView, PlacementKey};
use crate::peers::{LeafLeavingNotice, PeerClient, PeerNotice};
use crate::root::{RootCommand, RootDirectory};
use parking_lot::{Mutex, RwLock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::routing::{RootReport, ServingSet};
use tansylead_types::{NodeId, PlaceName, ServiceName, TableRow};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Dependencies of [`Routes`].
#[derive(Debug)]
pub struct RoutesParts {
    /// This daemon.
    pub own_node: NodeId,
    /// Its place.
    pub place: PlaceName,
    /// Configuration in force.
    pub configuration: watch::Receiver<Arc<ConfigurationView>>,
    /// Members.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// For notices to other roots.
    pub peers: Arc<PeerClient>,
    /// Roots of this daemon.
    pub roots: RootDirectory,
    /// Cancelled when a planned stop begins.
    pub drain: CancellationToken,
}

/// Routes of all services, created when a service is first looked up.
#[derive(Debug)]
pub struct Routes {
    parts: RoutesParts,
    services: RwLock<BTreeMap<ServiceName, Arc<Mutex<ServiceRoutes>>>>,
    clock: Clock,
}

impl Routes {
    /// Routes with these dependencies, of no service yet.
    pub fn new(parts: RoutesParts) -> Self {
        Self {
            parts,
            services: RwLock::default(),
            clock: Clock,
        }
    }

    /// This daemon.
    pub fn own_node(&self) -> NodeId {
        self.parts.own_node
    }

    /// This daemon's place.
    pub fn own_place(&self) -> &PlaceName {
        &self.parts.place
    }

    /// Whether a planned stop of this daemon has begun.
    pub fn is_leaving(&self) -> bool {
        self.parts.drain.is_cancelled()
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Arc<ConfigurationView> {
        Arc::clone(&self.parts.configuration.borrow())
    }

    /// Chooses where a query of a service goes.
    pub fn choose(&self, service: &ServiceName) -> RouteChoice {
        let now = self.clock.now();
        let hour = self.clock.hour_of_day();
        let (place, node) = (&self.parts.place, self.parts.own_node);
        self.with_routes(service, |routes| routes.choose(now, hour, place, node))
    }

    /// The serving set of a service in a place; `None` if it has no leafs there.
    pub fn serving_set(&self, key: &PlacementKey) -> Option<Arc<ServingSet>> {
        self.with_routes(&key.service, |routes| routes.set(&key.place))
    }

    /// The row of the table in force at this hour.
    pub fn row(&self, key: &PlacementKey) -> Option<TableRow> {
        let hour = self.clock.hour_of_day();
        self.with_routes(&key.service, |routes| routes.row(&key.place, hour).cloned())
    }

    /// Records the room that a root reported.
    pub fn on_report(
        &self,
        service: &ServiceName,
        place: &PlaceName,
        root: NodeId,
        report: RootReport,
    ) {
        let now = self.clock.now();
        self.with_routes(service, |routes| routes.on_report(now, place, root, report));
    }

    /// Records that a root refused a query.
    pub fn on_refusal(
        &self,
        service: &ServiceName,
        place: &PlaceName,
        root: NodeId,
        retry_after: Duration,
    ) {
        let now = self.clock.now();
        self.with_routes(service, |routes| {
            routes.on_refusal(now, place, root, retry_after)
        });
    }

    /// Records that a root could not be reached.
    pub fn on_unreachable(&self, service: &ServiceName, place: &PlaceName, root: NodeId) {
        let now = self.clock.now();
        self.with_routes(service, |routes| routes.on_unreachable(now, place, root));
    }

    /// Notifies the roots in this place that the leaf at an address is reported as leaving.
    pub fn notify_leaf_leaving(&self, address: SocketAddr) {
        let view = self.configuration();
        for (key, placement) in view.placements() {
            if key.place != self.parts.place {
                continue;
            }
            let leaf = placement.leafs.iter().find(|leaf| leaf.address == address);
            if let Some(leaf) = leaf {
                self.notify_roots(key, &leaf.leaf);
            }
        }
    }

    fn notify_roots(&self, key: &PlacementKey, leaf: &tansylead_types::LeafId) {
        let Some(set) = self.serving_set(key) else {
            return;
        };
        for root in set.distinct_roots() {
            if root != self.parts.own_node {
                let notice = LeafLeavingNotice {
                    service: key.service.clone(),
                    place: key.place.clone(),
                    leaf: leaf.clone(),
                };
                self.parts
                    .peers
                    .notify(root, PeerNotice::LeafLeaving(notice));
            } else if let Some(handle) = self.parts.roots.get(key) {
                handle.send(RootCommand::LeafLeaving(leaf.clone()));
            }
        }
    }

    /// Runs a short function on the up-to-date routes of a service, under their lock.
    fn with_routes<T>(
        &self,
        service: &ServiceName,
        run: impl FnOnce(&mut ServiceRoutes) -> T,
    ) -> T {
        let view = self.configuration();
        let members = Arc::clone(&self.parts.members.borrow());
        let routes = self.service_routes(service);
        let mut routes = routes.lock();
        routes.refresh(&view, &members);
        run(&mut routes)
    }

    fn service_routes(&self, service: &ServiceName) -> Arc<Mutex<ServiceRoutes>> {
        if let Some(known) = self.services.read().get(service) {
            return Arc::clone(known);
        }
        let mut services = self.services.write();
        let routes = services
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Mutex::new(ServiceRoutes::new(service.clone()))));
        Arc::clone(routes)
    }
}
