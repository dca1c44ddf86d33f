//! Registry of the started leafs and of the version that each service runs.

use crate::leaf::LeafControl;
use crate::version::LeafVersion;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The registry; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeafRegistry {
    registered: Arc<Mutex<Registered>>,
}

#[derive(Debug, Default)]
struct Registered {
    leafs: Vec<LeafControl>,
    versions: HashMap<String, LeafVersion>,
}

impl LeafRegistry {
    /// Adds a leaf.
    pub(crate) fn add(&self, leaf: LeafControl) {
        self.registered.lock().leafs.push(leaf);
    }

    /// The version that a service runs.
    pub(crate) fn version(&self, service: &str) -> LeafVersion {
        let registered = self.registered.lock();
        let version = registered.versions.get(service).cloned();
        version.unwrap_or_else(LeafVersion::first)
    }

    /// Sets the version that a service runs.
    pub(crate) fn set_version(&self, service: &str, version: LeafVersion) {
        let versions = &mut self.registered.lock().versions;
        versions.insert(service.to_owned(), version);
    }

    /// Zone and processing time of each leaf of the version that a service runs.
    pub(crate) fn zones_and_work(&self, service: &str) -> Vec<(String, Duration)> {
        let version = self.version(service).name;
        let registered = self.registered.lock();
        let leafs = registered.leafs.iter().map(LeafControl::plan);
        let current = leafs.filter(|plan| plan.service == service && plan.version.name == version);
        let mut zones_and_work: Vec<_> =
            current.map(|plan| (plan.zone.clone(), plan.work)).collect();
        // A restarted leaf is registered once for each of its runs.
        zones_and_work.sort();
        zones_and_work.dedup();
        zones_and_work
    }

    /// Removes the leafs of a service with a matching version and marks them as not to be restarted.
    pub(crate) fn retire(
        &self,
        service: &str,
        matches_version: impl Fn(&str) -> bool,
    ) -> Vec<LeafControl> {
        let mut registered = self.registered.lock();
        let leafs = std::mem::take(&mut registered.leafs);
        let (retired, kept) = leafs.into_iter().partition(|leaf: &LeafControl| {
            let plan = leaf.plan();
            plan.service == service && matches_version(&plan.version.name)
        });
        registered.leafs = kept;
        for leaf in &retired {
            leaf.retire();
        }
        retired
    }
}
