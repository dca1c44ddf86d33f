//! The configuration in force: an immutable view that is replaced as a whole. It follows the
//! daemon's replica of the configuration, which never returns to an older state.

use std::collections::BTreeMap;
use std::sync::Arc;
use tansylead_types::{
    ClaimView, ConfigObject, ObjectKey, PlaceName, ServiceDefinition, ServiceName,
    ServicePlacement, StoredObject, TrafficTable,
};

/// A service in a place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlacementKey {
    /// Service.
    pub service: ServiceName,
    /// Place.
    pub place: PlaceName,
}

/// All configuration objects in force, by kind.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationView {
    generations: BTreeMap<ObjectKey, u64>,
    revision: u64,
    services: BTreeMap<ServiceName, Arc<ServiceDefinition>>,
    placements: BTreeMap<PlacementKey, Arc<ServicePlacement>>,
    table: Arc<TrafficTable>,
    claim_view: Option<Arc<ClaimView>>,
}

impl ConfigurationView {
    /// Puts an object in force. The replica of the configuration decides which is newer.
    pub fn put(&mut self, stored: &StoredObject) {
        self.generations
            .insert(stored.key.clone(), stored.generation);
        self.revision = self.revision.max(stored.revision);
        self.replace(&stored.key, stored.object.as_ref());
    }

    fn replace(&mut self, key: &ObjectKey, object: Option<&ConfigObject>) {
        match key {
            ObjectKey::Service(service) => match object {
                Some(ConfigObject::Service(definition)) => {
                    self.services
                        .insert(service.clone(), Arc::new(definition.clone()));
                }
                _ => drop(self.services.remove(service)),
            },
            ObjectKey::Placement(service, place) => {
                let key = PlacementKey {
                    service: service.clone(),
                    place: place.clone(),
                };
                match object {
                    Some(ConfigObject::Placement(placement)) => {
                        self.placements.insert(key, Arc::new(placement.clone()));
                    }
                    _ => drop(self.placements.remove(&key)),
                }
            }
            ObjectKey::Table => {
                self.table = match object {
                    Some(ConfigObject::Table(table)) => Arc::new(table.clone()),
                    _ => Arc::default(),
                };
            }
            ObjectKey::ClaimView => {
                self.claim_view = match object {
                    Some(ConfigObject::ClaimView(view)) => Some(Arc::new(view.clone())),
                    _ => None,
                };
            }
        }
    }

    /// Whether no object was ever put in force.
    pub fn is_empty(&self) -> bool {
        self.generations.is_empty()
    }

    /// Number of objects in force, deleted ones included.
    pub fn len(&self) -> usize {
        self.generations.len()
    }

    /// Generation of an object; 0 if it was never seen.
    pub fn generation(&self, key: &ObjectKey) -> u64 {
        self.generations.get(key).copied().unwrap_or(0)
    }

    /// Highest store revision of any object in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Definition of a service.
    pub fn service(&self, service: &ServiceName) -> Option<&Arc<ServiceDefinition>> {
        self.services.get(service)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceDefinition>> {
        self.services.values()
    }

    /// Leafs and snapshots of a service in a place.
    pub fn placement(&self, key: &PlacementKey) -> Option<&Arc<ServicePlacement>> {
        self.placements.get(key)
    }

    /// All placements.
    pub fn placements(&self) -> impl Iterator<Item = (&PlacementKey, &Arc<ServicePlacement>)> {
        self.placements.iter()
    }

    /// The places that have leafs of a service.
    pub fn placements_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a PlacementKey, &'a Arc<ServicePlacement>)> {
        let placements = self.placements.iter();
        placements.filter(move |(key, _)| key.service == *service)
    }

    /// The operators' table.
    pub fn table(&self) -> &Arc<TrafficTable> {
        &self.table
    }

    /// The claim view in force.
    pub fn claim_view(&self) -> Option<&Arc<ClaimView>> {
        self.claim_view.as_ref()
    }
}
