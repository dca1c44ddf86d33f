//! Starts, configures and ends the roots of this daemon as configuration and members change.

use super::actor::{RootContext, RootIdentity, spawn_root};
use super::handle::{RootCommand, RootConfiguration, RootHandle};
use crate::clock::Clock;
use crate::cluster::MemberView;
use crate::configuration::{ConfigurationView, PlacementKey};
use crate::routing::{PlaceInputs, PlaceRoutes};
use parking_lot::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, PlaceName, ServicePlacement};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// Period of checking the current hour of the table.
const HOUR_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Directory of the roots of this daemon, for submitting queries.
#[derive(Debug, Clone, Default)]
pub struct RootDirectory {
    roots: Arc<RwLock<BTreeMap<PlacementKey, RootHandle>>>,
}

impl RootDirectory {
    /// The root for a service in a place, if this daemon has one.
    pub fn get(&self, key: &PlacementKey) -> Option<RootHandle> {
        self.roots.read().get(key).cloned()
    }

    /// All roots.
    pub fn all(&self) -> Vec<(PlacementKey, RootHandle)> {
        let roots = self.roots.read();
        let entries = roots.iter();
        entries
            .map(|(key, handle)| (key.clone(), handle.clone()))
            .collect()
    }
}

/// Dependencies of the supervisor.
#[derive(Debug)]
pub struct SupervisorParts {
    /// The daemon.
    pub instance: InstanceId,
    /// Its place.
    pub place: PlaceName,
    /// What all roots share.
    pub context: RootContext,
    /// Where the roots are published.
    pub directory: RootDirectory,
    /// Cancelled when a planned stop begins.
    pub drain: CancellationToken,
    /// How long roots are then kept as they are, while peers learn of the stop. Less than the time
    /// after which others use this daemon's shares.
    pub drain_hold: Duration,
}

/// A root and the configuration last sent to it.
#[derive(Debug)]
struct SupervisedRoot {
    handle: RootHandle,
    last_sent: RootConfiguration,
}

/// Starts, configures and ends roots to match configuration and members.
#[derive(Debug)]
pub struct RootSupervisor {
    parts: SupervisorParts,
    clock: Clock,
    routes: BTreeMap<PlacementKey, PlaceRoutes>,
    supervised: BTreeMap<PlacementKey, SupervisedRoot>,
    drain_began: Option<Moment>,
}

impl RootSupervisor {
    /// A supervisor without roots yet.
    pub fn new(parts: SupervisorParts) -> Self {
        Self {
            parts,
            clock: Clock,
            routes: BTreeMap::new(),
            supervised: BTreeMap::new(),
            drain_began: None,
        }
    }

    /// Runs until its task is ended or the sources of its inputs are gone.
    pub async fn run(
        mut self,
        mut configuration: watch::Receiver<Arc<ConfigurationView>>,
        mut members: watch::Receiver<Arc<MemberView>>,
    ) {
        let mut hour_check = tokio::time::interval(HOUR_CHECK_PERIOD);
        loop {
            let view = Arc::clone(&configuration.borrow_and_update());
            let current = Arc::clone(&members.borrow_and_update());
            if !self.keeps_roots_unchanged() {
                self.reconcile(&view, &current);
            }
            let changed = tokio::select! {
                changed = configuration.changed() => changed,
                changed = members.changed() => changed,
                _ = hour_check.tick() => Ok(()),
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Whether a planned stop has begun so recently that roots are kept as they are.
    fn keeps_roots_unchanged(&mut self) -> bool {
        if !self.parts.drain.is_cancelled() {
            return false;
        }
        let now = self.clock.now();
        let began = *self.drain_began.get_or_insert(now);
        now.since(began) < self.parts.drain_hold
    }

    fn reconcile(&mut self, view: &ConfigurationView, members: &MemberView) {
        let required = self.required_roots(view, members);
        let leaving = self.drain_began.is_some();
        let routes = &self.routes;
        self.supervised.retain(|key, _| {
            // The last root serves on until the end of its planned stop.
            let is_last = routes
                .get(key)
                .is_some_and(|known| known.set.roots.is_empty());
            let keep = required.contains_key(key) || (leaving && is_last);
            if !keep {
                log::info!("root for {} in {}: ended", key.service, key.place);
            }
            keep
        });
        for (key, configuration) in required {
            self.start_or_configure(key, configuration);
        }
        self.publish();
    }

    /// The roots that this daemon should run, and their configurations.
    fn required_roots(
        &mut self,
        view: &ConfigurationView,
        members: &MemberView,
    ) -> BTreeMap<PlacementKey, RootConfiguration> {
        let candidates = members.candidates(&self.parts.place);
        let hour = self.clock.hour_of_day();
        let mut known = std::mem::take(&mut self.routes);
        let mut required = BTreeMap::new();
        let own_place =
            |(key, _): &(&PlacementKey, &Arc<ServicePlacement>)| key.place == self.parts.place;
        for (key, placement) in view.placements().filter(own_place) {
            let (service, place) = (&key.service, &key.place);
            let candidates = Arc::clone(&candidates);
            let inputs = PlaceInputs::new(service, place, placement, view.table(), candidates);
            let routes = PlaceRoutes::reuse_or_compute(known.remove(key), service, place, inputs);
            if let Some(definition) = view.service(service)
                && routes.set.contains(self.parts.instance.node)
            {
                let row = view.table().row(service, place, hour);
                let configuration = RootConfiguration {
                    definition: Arc::clone(definition),
                    placement: Arc::clone(placement),
                    serving_set: Arc::clone(&routes.set),
                    limit: row.map_or(0, |row| row.limit),
                };
                required.insert(key.clone(), configuration);
            }
            self.routes.insert(key.clone(), routes);
        }
        required
    }

    fn start_or_configure(&mut self, key: PlacementKey, configuration: RootConfiguration) {
        let ended = |known: &SupervisedRoot| known.handle.has_ended();
        if self.supervised.get(&key).is_some_and(ended) {
            log::error!(
                "root for {} in {}: ended by a fault",
                key.service,
                key.place
            );
            self.supervised.remove(&key);
            // `publish` compares only keys; without this it would keep the handle that has ended.
            self.parts.directory.roots.write().remove(&key);
        }
        if let Some(known) = self.supervised.get_mut(&key) {
            if !is_same(&known.last_sent, &configuration) {
                known.last_sent = configuration.clone();
                known.handle.send(RootCommand::Configure(configuration));
            }
            return;
        }
        let handle = self.start(&key);
        handle.send(RootCommand::Configure(configuration.clone()));
        let supervised = SupervisedRoot {
            handle,
            last_sent: configuration,
        };
        self.supervised.insert(key, supervised);
    }

    fn start(&self, key: &PlacementKey) -> RootHandle {
        log::info!("root for {} in {}: started", key.service, key.place);
        let boot = self.parts.instance.boot;
        let seed_text = format!("{boot}/{}/{}", key.service, key.place);
        let identity = RootIdentity {
            instance: self.parts.instance,
            key: key.clone(),
            seed: xxh3_64(seed_text.as_bytes()),
        };
        spawn_root(identity, self.parts.context.clone())
    }

    fn publish(&self) {
        let mut roots = self.parts.directory.roots.write();
        if roots.keys().eq(self.supervised.keys()) {
            return;
        }
        let entries = self.supervised.iter();
        *roots = entries
            .map(|(key, known)| (key.clone(), known.handle.clone()))
            .collect();
    }
}

fn is_same(left: &RootConfiguration, right: &RootConfiguration) -> bool {
    Arc::ptr_eq(&left.definition, &right.definition)
        && Arc::ptr_eq(&left.placement, &right.placement)
        && Arc::ptr_eq(&left.serving_set, &right.serving_set)
        && left.limit == right.limit
}
