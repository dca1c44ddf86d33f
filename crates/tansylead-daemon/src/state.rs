//! State that the parts of one daemon share: readiness, status and metrics.

use crate::clock::Clock;
use crate::cluster::{ClusterHandle, ClusterStatus, MemberView};
use crate::configuration::{ConfigurationView, PlacementKey};
use crate::metrics::Metrics;
use crate::root::RootDirectory;
use crate::routing::Routes;
use crate::status::{DaemonStatus, PlaceStatus, Readiness, ServiceStatus};
use prometheus::IntGauge;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tansylead_cluster::spread::StoreState;
use tansylead_types::{Moment, ObjectKey, ServiceName, Settings};
use tokio::sync::watch;

/// Sources of the daemon's state.
#[derive(Debug)]
pub struct StateParts {
    /// Settings.
    pub settings: Settings,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Configuration in force.
    pub configuration: watch::Receiver<Arc<ConfigurationView>>,
    /// Members.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// State of membership and configuration spread.
    pub cluster_status: watch::Receiver<Arc<ClusterStatus>>,
    /// The cluster task.
    pub cluster: ClusterHandle,
    /// Roots of this daemon.
    pub roots: RootDirectory,
    /// Routes of queries.
    pub routes: Arc<Routes>,
}

/// Shared state of one daemon.
#[derive(Debug)]
pub struct DaemonState {
    parts: StateParts,
    draining: AtomicBool,
    refusing: AtomicBool,
    last_forwarded_micros: AtomicU64,
    shares_were_in_force: AtomicBool,
    clock: Clock,
}

impl DaemonState {
    /// State of a daemon that has just started.
    pub fn new(parts: StateParts) -> Self {
        Self {
            parts,
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            last_forwarded_micros: AtomicU64::new(0),
            shares_were_in_force: AtomicBool::new(false),
            clock: Clock,
        }
    }

    /// Metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.parts.metrics
    }

    /// The cluster task.
    pub fn cluster(&self) -> &ClusterHandle {
        &self.parts.cluster
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a planned stop: not ready from now on.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
        self.metrics().draining.set(1);
    }

    /// Whether new queries of callers are refused, as they are late in a planned stop.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Refuses new queries of callers from now on.
    pub fn set_refusing(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Counts a query as in progress until the guard is dropped.
    pub fn count_query(&self) -> GaugeGuard {
        GaugeGuard::new(&self.metrics().queries_in_progress)
    }

    /// Counts a query of another frontend as in progress until the guard is dropped.
    pub fn count_forwarded_query(&self) -> GaugeGuard {
        let now = self.clock.now();
        self.last_forwarded_micros.store(now.0, Ordering::Relaxed);
        self.count_query()
    }

    /// When the last query of another frontend arrived.
    pub fn last_forwarded(&self) -> Moment {
        Moment(self.last_forwarded_micros.load(Ordering::Relaxed))
    }

    /// Queries in progress, for this daemon's callers and for other frontends.
    pub fn queries_in_progress(&self) -> i64 {
        self.metrics().queries_in_progress.get()
    }

    /// Whether callers should send queries to this daemon, and if not, why.
    pub async fn readiness(&self) -> Readiness {
        let mut reasons = Vec::new();
        if self.is_draining() {
            reasons.push("a planned stop is under way".to_owned());
        }
        let status = Arc::clone(&self.parts.cluster_status.borrow());
        if let Some(reason) = &status.not_ready {
            reasons.push(reason.to_string());
        }
        if status.replaced {
            reasons.push("another daemon run holds this daemon's address".to_owned());
        }
        if !self.parts.members.borrow().joined {
            reasons.push("joining is not complete".to_owned());
        }
        if reasons.is_empty() && !self.shares_have_been_in_force().await {
            reasons.push("waiting to take over shares of limits".to_owned());
        }
        Readiness {
            ready: reasons.is_empty(),
            reasons,
        }
    }

    /// Whether all roots of this daemon could use their whole shares at some time. Only startup
    /// waits for it; later changes of the serving sets do not make a daemon unready.
    async fn shares_have_been_in_force(&self) -> bool {
        if self.shares_were_in_force.load(Ordering::Relaxed) {
            return true;
        }
        for (_, root) in self.parts.roots.all() {
            let status = root.status().await;
            if status.is_some_and(|status| !status.share_in_force) {
                return false;
            }
        }
        self.shares_were_in_force.store(true, Ordering::Relaxed);
        true
    }

    /// Whether there are other running daemons that are not leaving.
    pub fn has_peers(&self) -> bool {
        let members = self.parts.members.borrow();
        let own_node = self.parts.routes.own_node();
        members.live.iter().any(|member| member.node() != own_node)
    }

    /// Waits until another run of a daemon holds this daemon's address.
    pub async fn wait_until_replaced(&self) {
        let mut status = self.parts.cluster_status.clone();
        if status.wait_for(|status| status.replaced).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Updates the gauges that are read from the state instead of counted.
    pub fn refresh_metrics(&self) {
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let view = Arc::clone(&self.parts.configuration.borrow());
        let status = Arc::clone(&self.parts.cluster_status.borrow());
        let metrics = self.metrics();
        metrics.configuration_revision.set(gauge(view.revision()));
        metrics.configuration_objects.set(gauge(view.len() as u64));
        metrics.members.set(gauge(status.running as u64));
        metrics
            .suspicions
            .set(gauge(status.counters.suspicions_raised));
    }

    /// The full state.
    pub async fn status(&self) -> DaemonStatus {
        let view = Arc::clone(&self.parts.configuration.borrow());
        let cluster = Arc::clone(&self.parts.cluster_status.borrow());
        let mut services = self.service_statuses(&view);
        for (key, root) in self.parts.roots.all() {
            let service = services.get_mut(&key.service);
            if let Some(place) = service.and_then(|service| service.places.get_mut(&key.place)) {
                place.root = root.status().await;
            }
        }
        let settings = &self.parts.settings;
        DaemonStatus {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            cluster: settings.cluster.clone(),
            place: settings.place.clone(),
            zone: settings.zone.clone(),
            peer_address: settings.peer_address,
            readiness: self.readiness().await,
            members: cluster.running,
            store: describe_store(&cluster.store),
            revision: view.revision(),
            table_generation: view.generation(&ObjectKey::Table),
            claim_view_epoch: view.claim_view().map(|claim_view| claim_view.epoch),
            claim_view_members: view
                .claim_view()
                .map_or(0, |claim_view| claim_view.members.len()),
            services,
        }
    }

    fn service_statuses(&self, view: &ConfigurationView) -> BTreeMap<ServiceName, ServiceStatus> {
        let mut services = BTreeMap::new();
        for definition in view.services() {
            let key = ObjectKey::Service(definition.service.clone());
            let status = ServiceStatus {
                generation: view.generation(&key),
                places: BTreeMap::new(),
            };
            services.insert(definition.service.clone(), status);
        }
        for (key, placement) in view.placements() {
            if let Some(service) = services.get_mut(&key.service) {
                let mut place = self.place_status(view, key);
                place.leafs = placement.leafs.len();
                service.places.insert(key.place.clone(), place);
            }
        }
        services
    }

    fn place_status(&self, view: &ConfigurationView, key: &PlacementKey) -> PlaceStatus {
        let hour = self.clock.hour_of_day();
        let row = view.table().row(&key.service, &key.place, hour);
        let object = ObjectKey::Placement(key.service.clone(), key.place.clone());
        let set = self.parts.routes.serving_set(key);
        let roots = set.map(|set| set.distinct_roots()).unwrap_or_default();
        PlaceStatus {
            generation: view.generation(&object),
            weight: row.map(|row| row.weight),
            limit: row.map(|row| row.limit),
            leafs: 0,
            serving_set: roots.into_iter().map(|node| node.0).collect(),
            root: None,
        }
    }
}

fn describe_store(state: &StoreState) -> String {
    match state {
        StoreState::NotReading => "not read by this daemon".to_owned(),
        StoreState::Unknown => "first read under way".to_owned(),
        StoreState::Current => "current".to_owned(),
        StoreState::Behind { store_revision } => {
            format!("shows revision {store_revision}, older than what is in force")
        }
        StoreState::Failing { error } => format!("failing: {error}"),
    }
}

/// Keeps a gauge incremented by one until it is dropped.
#[derive(Debug)]
pub struct GaugeGuard {
    gauge: IntGauge,
}

impl GaugeGuard {
    /// Increments the gauge.
    pub fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self {
            gauge: gauge.clone(),
        }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
