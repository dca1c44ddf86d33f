//! What the parts of one daemon share: readiness, status and metrics.

use crate::clock::Clock;
use crate::configuration::ConfigurationView;
use crate::metrics::Metrics;
use crate::root::RootDirectory;
use crate::status::{DaemonStatus, PlaceStatus, Readiness, ServiceStatus};
use prometheus::IntGauge;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tansylead_types::{ObjectKey, ServiceName, Settings};
use tokio::sync::watch;

/// Shared state of one daemon.
#[derive(Debug)]
pub struct DaemonState {
    settings: Settings,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    view: watch::Receiver<Arc<ConfigurationView>>,
    roots: RootDirectory,
    draining: AtomicBool,
    clock: Clock,
}

impl DaemonState {
    /// State of a daemon that has just started.
    pub fn new(
        settings: Settings,
        metrics: Arc<Metrics>,
        view: watch::Receiver<Arc<ConfigurationView>>,
        roots: RootDirectory,
    ) -> Self {
        Self {
            settings,
            metrics,
            view,
            roots,
            draining: AtomicBool::new(false),
            clock: Clock,
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a planned stop: not ready from now on.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
        self.metrics.draining.set(1);
    }

    /// Counts a query as in progress until the guard is dropped.
    pub fn query_started(&self) -> InProgress {
        InProgress::new(&self.metrics.queries_in_progress)
    }

    /// Queries in progress for callers.
    pub fn queries_in_progress(&self) -> i64 {
        self.metrics.queries_in_progress.get()
    }

    /// Whether callers should come here, and why not.
    pub fn readiness(&self) -> Readiness {
        let mut reasons = Vec::new();
        if self.is_draining() {
            reasons.push("a planned stop is under way".to_owned());
        }
        if self.view.borrow().is_empty() {
            reasons.push("no configuration yet, neither from the store nor from peers".to_owned());
        }
        Readiness {
            ready: reasons.is_empty(),
            reasons,
        }
    }

    /// Whether this daemon is root for some service.
    pub fn has_root(&self) -> bool {
        !self.roots.all().is_empty()
    }

    /// Brings gauges that are read rather than counted up to date.
    pub fn refresh_metrics(&self) {
        let view = self.view.borrow();
        let revision = i64::try_from(view.revision()).unwrap_or(i64::MAX);
        let objects = i64::try_from(view.len()).unwrap_or(i64::MAX);
        self.metrics.configuration_revision.set(revision);
        self.metrics.configuration_objects.set(objects);
    }

    /// The state in full.
    pub async fn status(&self) -> DaemonStatus {
        let view = Arc::clone(&self.view.borrow());
        let mut services = self.configured_services(&view);
        for (key, root) in self.roots.all() {
            let Some(service) = services.get_mut(&key.service) else {
                continue;
            };
            if let Some(place) = service.places.get_mut(&key.place) {
                place.serving_set.push(self.settings.peer_address);
                place.root = root.status().await;
            }
        }
        DaemonStatus {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            cluster: self.settings.cluster.clone(),
            place: self.settings.place.clone(),
            zone: self.settings.zone.clone(),
            peer_address: self.settings.peer_address,
            readiness: self.readiness(),
            revision: view.revision(),
            table_generation: view.generation(&ObjectKey::Table),
            services,
        }
    }

    fn configured_services(
        &self,
        view: &ConfigurationView,
    ) -> BTreeMap<ServiceName, ServiceStatus> {
        let mut services = BTreeMap::new();
        for definition in view.services() {
            let key = ObjectKey::Service(definition.service.clone());
            let status = ServiceStatus {
                generation: view.generation(&key),
                places: BTreeMap::new(),
            };
            services.insert(definition.service.clone(), status);
        }
        let hour = self.clock.hour_of_day();
        for (key, _) in view.placements() {
            let Some(service) = services.get_mut(&key.service) else {
                continue;
            };
            let row = view.table().row(&key.service, &key.place, hour);
            let object = ObjectKey::Placement(key.service.clone(), key.place.clone());
            let place = PlaceStatus {
                generation: view.generation(&object),
                weight: row.map(|row| row.weight),
                limit: row.map(|row| row.limit),
                serving_set: Vec::new(),
                root: None,
            };
            service.places.insert(key.place.clone(), place);
        }
        services
    }
}

/// Holds a gauge one higher for as long as it lives.
#[derive(Debug)]
pub struct InProgress {
    gauge: IntGauge,
}

impl InProgress {
    /// Raises the gauge.
    pub fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self {
            gauge: gauge.clone(),
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
