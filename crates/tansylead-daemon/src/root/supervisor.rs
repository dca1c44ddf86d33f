//! Starts, configures and ends the roots of this daemon as the configuration changes.

use super::actor::{RootIdentity, RootLimits, spawn_root};
use super::handle::{RootCommand, RootHandle};
use crate::clock::Clock;
use crate::configuration::{ConfigurationView, PlacementKey};
use crate::metrics::Metrics;
use parking_lot::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_query::RateShare;
use tansylead_types::{InstanceId, PlaceName, ServiceDefinition, ServicePlacement};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// How often the hour of the table is looked at.
const HOUR_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The roots of this daemon, for those who hand over queries.
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

/// What a root was last told.
#[derive(Debug)]
struct Supervised {
    handle: RootHandle,
    definition: Arc<ServiceDefinition>,
    placement: Arc<ServicePlacement>,
    share: Option<RateShare>,
}

/// Keeps the roots in step with the configuration.
#[derive(Debug)]
pub struct RootSupervisor {
    instance: InstanceId,
    place: PlaceName,
    limits: RootLimits,
    clock: Clock,
    metrics: Arc<Metrics>,
    directory: RootDirectory,
    supervised: BTreeMap<PlacementKey, Supervised>,
}

impl RootSupervisor {
    /// A supervisor that publishes its roots in `directory`.
    pub fn new(
        instance: InstanceId,
        place: PlaceName,
        limits: RootLimits,
        metrics: Arc<Metrics>,
        directory: RootDirectory,
    ) -> Self {
        Self {
            instance,
            place,
            limits,
            clock: Clock,
            metrics,
            directory,
            supervised: BTreeMap::new(),
        }
    }

    /// Runs until the configuration's sender is gone.
    pub async fn run(mut self, mut view: watch::Receiver<Arc<ConfigurationView>>) {
        let mut hour_check = tokio::time::interval(HOUR_CHECK_PERIOD);
        loop {
            let current = Arc::clone(&view.borrow_and_update());
            self.reconcile(&current);
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                _ = hour_check.tick() => {}
            }
        }
    }

    fn reconcile(&mut self, view: &ConfigurationView) {
        let wanted: BTreeMap<PlacementKey, (Arc<ServiceDefinition>, Arc<ServicePlacement>)> = view
            .placements()
            .filter(|(key, _)| key.place == self.place)
            .filter_map(|(key, placement)| {
                let definition = Arc::clone(view.service(&key.service)?);
                Some((key.clone(), (definition, Arc::clone(placement))))
            })
            .collect();
        self.supervised.retain(|key, _| wanted.contains_key(key));
        for (key, (definition, placement)) in wanted {
            let share = self.rate_share(view, &key);
            self.ensure(key, definition, placement, share);
        }
        self.publish();
    }

    fn ensure(
        &mut self,
        key: PlacementKey,
        definition: Arc<ServiceDefinition>,
        placement: Arc<ServicePlacement>,
        share: RateShare,
    ) {
        let unchanged = self.supervised.get(&key).is_some_and(|known| {
            Arc::ptr_eq(&known.definition, &definition) && Arc::ptr_eq(&known.placement, &placement)
        });
        if !unchanged {
            let known = self.supervised.remove(&key);
            let handle = match known {
                Some(known) => known.handle,
                None => self.start(&key),
            };
            handle.send(RootCommand::Configure {
                definition: Arc::clone(&definition),
                placement: Arc::clone(&placement),
                roots: 1,
            });
            let supervised = Supervised {
                handle,
                definition,
                placement,
                share: None,
            };
            self.supervised.insert(key.clone(), supervised);
        }
        if let Some(known) = self.supervised.get_mut(&key)
            && known.share != Some(share)
        {
            known.share = Some(share);
            known.handle.send(RootCommand::SetRateShare(share));
        }
    }

    fn start(&self, key: &PlacementKey) -> RootHandle {
        log::info!("root for {} in {}: started", key.service, key.place);
        let seed_text = format!("{}/{}/{}", self.instance.boot, key.service, key.place);
        let identity = RootIdentity {
            instance: self.instance,
            service: key.service.clone(),
            place: key.place.clone(),
            seed: xxh3_64(seed_text.as_bytes()),
        };
        spawn_root(identity, self.limits.clone(), self.clock, &self.metrics)
    }

    fn rate_share(&self, view: &ConfigurationView, key: &PlacementKey) -> RateShare {
        let hour = self.clock.hour_of_day();
        let row = view.table().row(&key.service, &key.place, hour);
        RateShare {
            queries_per_second: row.map_or(f64::INFINITY, |row| f64::from(row.limit)),
            burst: self.limits.tuning.admission_burst,
        }
    }

    fn publish(&self) {
        let mut roots = self.directory.roots.write();
        if roots.keys().eq(self.supervised.keys()) {
            return;
        }
        let entries = self.supervised.iter();
        *roots = entries
            .map(|(key, known)| (key.clone(), known.handle.clone()))
            .collect();
    }
}
