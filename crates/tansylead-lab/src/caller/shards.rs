//! The shard list of each snapshot of each service, as the checks know it.

use std::collections::{BTreeMap, BTreeSet};
use tansylead_types::{ConfigObject, ServiceName, ShardId, Snapshot, SnapshotVersion};

/// Shard lists by service and snapshot.
#[derive(Debug, Clone, Default)]
pub struct ShardLists {
    lists: BTreeMap<(ServiceName, SnapshotVersion), BTreeSet<ShardId>>,
}

impl ShardLists {
    /// The lists named by the placements among some configuration objects.
    pub fn from_objects<'a>(objects: impl IntoIterator<Item = &'a ConfigObject>) -> Self {
        let mut lists = Self::default();
        for object in objects {
            lists.add(object);
        }
        lists
    }

    /// Adds the lists of a placement; other objects add nothing.
    pub fn add(&mut self, object: &ConfigObject) {
        let ConfigObject::Placement(placement) = object else {
            return;
        };
        for snapshot in &placement.snapshots {
            self.add_snapshot(&placement.service, snapshot);
        }
    }

    /// Adds the list of one snapshot.
    pub fn add_snapshot(&mut self, service: &ServiceName, snapshot: &Snapshot) {
        let shards = snapshot.shards.iter().map(|entry| entry.shard.clone());
        let key = (service.clone(), snapshot.version);
        self.lists.insert(key, shards.collect());
    }

    /// The shard list of a snapshot.
    pub fn get(
        &self,
        service: &ServiceName,
        snapshot: SnapshotVersion,
    ) -> Option<&BTreeSet<ShardId>> {
        self.lists.get(&(service.clone(), snapshot))
    }
}
