//! Routes of one service, computed from the configuration and the members, and refreshed when these
//! change.

use super::place_routes::{PlaceInputs, PlaceRoutes};
use crate::cluster::MemberView;
use crate::configuration::ConfigurationView;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::routing::{
    PlaceChoice, RootReport, ServicePlaces, ServingSet, choose_place, choose_root,
};
use tansylead_types::{Moment, NodeId, PlaceName, ServiceName, TableRow, TrafficTable};

/// Retry time given to callers when the chosen place has just run out of room.
const RETRY_AFTER_WITHOUT_ROOT: Duration = Duration::from_millis(100);

/// Where a query goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteChoice {
    /// To a root.
    Root {
        /// Its place.
        place: PlaceName,
        /// The root.
        root: NodeId,
    },
    /// Nowhere for now.
    Refuse {
        /// Why.
        reason: String,
        /// When to retry.
        retry_after: Duration,
    },
}

/// Routes of one service.
#[derive(Debug)]
pub(super) struct ServiceRoutes {
    service: ServiceName,
    view: Arc<ConfigurationView>,
    members: Arc<MemberView>,
    table: TrafficTable,
    sets: BTreeMap<PlaceName, PlaceRoutes>,
    places: ServicePlaces,
}

impl ServiceRoutes {
    pub(super) fn new(service: ServiceName) -> Self {
        Self {
            service,
            view: Arc::default(),
            members: Arc::default(),
            table: TrafficTable::default(),
            sets: BTreeMap::new(),
            places: ServicePlaces::default(),
        }
    }

    /// Updates the routes to the configuration and members in force.
    pub(super) fn refresh(&mut self, view: &Arc<ConfigurationView>, members: &Arc<MemberView>) {
        let same_view = Arc::ptr_eq(&self.view, view);
        let same_members = Arc::ptr_eq(&self.members, members);
        if same_view && same_members {
            return;
        }
        if !Arc::ptr_eq(self.view.table(), view.table()) {
            self.table = service_table(&self.service, view.table());
        }
        let mut previous = std::mem::take(&mut self.sets);
        for (key, placement) in view.placements_of(&self.service) {
            let place = &key.place;
            let candidates = members.candidates(place);
            let inputs = PlaceInputs::new(&self.service, place, placement, &self.table, candidates);
            let known = previous.remove(place);
            let routes = PlaceRoutes::reuse_or_compute(known, &self.service, place, inputs);
            self.places
                .set_roots(place, reachable_roots(&routes.set, members));
            self.sets.insert(place.clone(), routes);
        }
        for place in previous.keys() {
            self.places.set_roots(place, []);
        }
        self.view = Arc::clone(view);
        self.members = Arc::clone(members);
    }

    pub(super) fn set(&self, place: &PlaceName) -> Option<Arc<ServingSet>> {
        self.sets.get(place).map(|routes| Arc::clone(&routes.set))
    }

    pub(super) fn row(&self, place: &PlaceName, hour: u8) -> Option<&TableRow> {
        self.table.row(&self.service, place, hour)
    }

    pub(super) fn choose(
        &self,
        now: Moment,
        hour: u8,
        own_place: &PlaceName,
        own_node: NodeId,
    ) -> RouteChoice {
        let mut random = rand::rng();
        let choice = choose_place(
            now,
            &self.service,
            hour,
            own_place,
            &self.table,
            &self.places,
            &mut random,
        );
        match choice {
            PlaceChoice::Refuse { cause, retry_after } => RouteChoice::Refuse {
                reason: cause.to_string(),
                retry_after,
            },
            PlaceChoice::Place { place, .. } => {
                match choose_root(now, own_node, &place, &self.places, &mut random) {
                    Some(root) => RouteChoice::Root { place, root },
                    None => RouteChoice::Refuse {
                        reason: format!("no root in {place} has room"),
                        retry_after: RETRY_AFTER_WITHOUT_ROOT,
                    },
                }
            }
        }
    }

    pub(super) fn on_report(
        &mut self,
        now: Moment,
        place: &PlaceName,
        root: NodeId,
        report: RootReport,
    ) {
        self.places.on_report(now, place, root, report);
    }

    pub(super) fn on_refusal(
        &mut self,
        now: Moment,
        place: &PlaceName,
        root: NodeId,
        retry_after: Duration,
    ) {
        self.places.on_refusal(now, place, root, retry_after);
    }

    pub(super) fn on_unreachable(&mut self, now: Moment, place: &PlaceName, root: NodeId) {
        self.places.on_unreachable(now, place, root);
    }
}

/// The roots that answer probes; all of them if none does.
fn reachable_roots(set: &ServingSet, members: &MemberView) -> BTreeSet<NodeId> {
    let all = set.distinct_roots();
    let answering: BTreeSet<NodeId> = all.difference(&members.suspects).copied().collect();
    if answering.is_empty() { all } else { answering }
}

/// The rows of one service, so that a query does not scan the others.
fn service_table(service: &ServiceName, table: &TrafficTable) -> TrafficTable {
    let rows = table.rows.iter().filter(|row| row.service == *service);
    TrafficTable {
        rows: rows.cloned().collect(),
        ..TrafficTable::default()
    }
}
