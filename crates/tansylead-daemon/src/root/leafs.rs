//! The leafs of one root: their connections and what `status` says about them.

use crate::leaf::pool::LeafPool;
use std::collections::BTreeMap;
use tansylead_types::leaf::LeafHealth;
use tansylead_types::{LeafDescriptor, LeafId, Moment};

/// Views of membership that may hold at the same time; each may have its own set of roots.
const MEMBERSHIP_VIEWS: usize = 2;

/// One leaf of a root.
#[derive(Debug)]
pub(super) struct RootLeaf {
    pub(super) pool: LeafPool,
    pub(super) next_poll: Moment,
    pub(super) polling: bool,
    pub(super) draining: bool,
    pub(super) reachable: bool,
}

impl RootLeaf {
    pub(super) fn note_report(&mut self, report: Option<&LeafHealth>) {
        self.polling = false;
        self.reachable = report.is_some();
        if let Some(report) = report {
            self.draining = report.load.draining;
        }
    }
}

/// All leafs of a root.
#[derive(Debug, Default)]
pub(super) struct RootLeafs {
    leafs: BTreeMap<LeafId, RootLeaf>,
}

impl RootLeafs {
    /// Takes over a placement. Pools of leafs whose address and bound are unchanged are kept.
    pub(super) fn configure(&mut self, now: Moment, descriptors: &[LeafDescriptor], roots: usize) {
        let mut old = std::mem::take(&mut self.leafs);
        for descriptor in descriptors {
            let capacity = connections_per_root(descriptor, roots);
            let kept = old.remove(&descriptor.leaf).filter(|leaf| {
                leaf.pool.address() == descriptor.address && leaf.pool.capacity() == capacity
            });
            let leaf = kept.unwrap_or_else(|| RootLeaf {
                pool: LeafPool::new(descriptor.address, capacity),
                next_poll: now,
                polling: false,
                draining: false,
                reachable: true,
            });
            self.leafs.insert(descriptor.leaf.clone(), leaf);
        }
    }

    pub(super) fn get_mut(&mut self, leaf: &LeafId) -> Option<&mut RootLeaf> {
        self.leafs.get_mut(leaf)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&LeafId, &mut RootLeaf)> {
        self.leafs.iter_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.leafs.len()
    }

    pub(super) fn next_poll(&self) -> Option<Moment> {
        let waiting = self.leafs.values().filter(|leaf| !leaf.polling);
        waiting.map(|leaf| leaf.next_poll).min()
    }

    pub(super) fn open_connections(&self) -> usize {
        self.leafs
            .values()
            .map(|leaf| leaf.pool.open_connections())
            .sum()
    }

    pub(super) fn draining(&self) -> Vec<LeafId> {
        self.names(|leaf| leaf.draining)
    }

    pub(super) fn unreachable(&self) -> Vec<LeafId> {
        self.names(|leaf| !leaf.reachable)
    }

    fn names(&self, keep: impl Fn(&RootLeaf) -> bool) -> Vec<LeafId> {
        let kept = self.leafs.iter().filter(|(_, leaf)| keep(leaf));
        kept.map(|(name, _)| name.clone()).collect()
    }
}

/// Connections each root may open, so that all roots of two views of membership stay under the
/// leaf's bound.
fn connections_per_root(descriptor: &LeafDescriptor, roots: usize) -> usize {
    let bound = usize::try_from(descriptor.maximum_connections).unwrap_or(usize::MAX);
    (bound / (roots.max(1) * MEMBERSHIP_VIEWS)).max(1)
}
