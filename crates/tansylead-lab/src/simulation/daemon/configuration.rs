//! The configuration that a simulated daemon has put into force.

use std::collections::BTreeMap;
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

/// Objects in force.
#[derive(Debug, Default)]
pub struct Configuration {
    objects: BTreeMap<ObjectKey, StoredObject>,
}

impl Configuration {
    /// Puts an object into force, whatever was in force before.
    pub fn put(&mut self, object: StoredObject) {
        self.objects.insert(object.key.clone(), object);
    }

    /// An object as it is stored.
    pub fn stored(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Definition of a service.
    pub fn definition(&self, service: &ServiceName) -> Option<&ServiceDefinition> {
        match self.contents(&ObjectKey::Service(service.clone()))? {
            ConfigObject::Service(definition) => Some(definition),
            _ => None,
        }
    }

    /// All placements.
    pub fn placements(&self) -> impl Iterator<Item = (PlacementKey, &ServicePlacement)> {
        self.objects
            .iter()
            .filter_map(|(key, stored)| match (key, &stored.object) {
                (
                    ObjectKey::Placement(service, place),
                    Some(ConfigObject::Placement(placement)),
                ) => {
                    let key = PlacementKey {
                        service: service.clone(),
                        place: place.clone(),
                    };
                    Some((key, placement))
                }
                _ => None,
            })
    }

    /// The operators' table.
    pub fn table(&self) -> Option<&TrafficTable> {
        match self.contents(&ObjectKey::Table)? {
            ConfigObject::Table(table) => Some(table),
            _ => None,
        }
    }

    /// The claim view and the generation of its object.
    pub fn claim_view(&self) -> Option<(&ClaimView, u64)> {
        let stored = self.objects.get(&ObjectKey::ClaimView)?;
        match stored.object.as_ref()? {
            ConfigObject::ClaimView(view) => Some((view, stored.generation)),
            _ => None,
        }
    }

    fn contents(&self, key: &ObjectKey) -> Option<&ConfigObject> {
        self.objects.get(key)?.object.as_ref()
    }
}
