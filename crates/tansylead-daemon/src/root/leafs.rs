//! The leafs of one root: their connections and when to poll them.

use crate::leaf::pool::LeafPool;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{LeafDescriptor, LeafId, Moment};

/// One leaf of a root.
#[derive(Debug)]
pub(super) struct RootLeaf {
    pub(super) pool: LeafPool,
    pub(super) next_poll: Moment,
    /// When the last poll began.
    pub(super) last_poll: Moment,
    /// When the leaf last answered or refused an attempt.
    pub(super) last_response: Moment,
    pub(super) is_polling: bool,
}

impl RootLeaf {
    /// Whether a poll may be skipped: the leaf has just shown its state in-band, and the last poll,
    /// which also reports the snapshots it holds, is so recent that the next poll still detects in
    /// time that the leaf is leaving.
    pub(super) fn may_skip_poll(&self, now: Moment, period: Duration, grace: Duration) -> bool {
        let responded = now.since(self.last_response) < period;
        responded && now.since(self.last_poll) + period * 2 < grace
    }
}

/// All leafs of a root.
#[derive(Debug, Default)]
pub(super) struct RootLeafs {
    leafs: BTreeMap<LeafId, RootLeaf>,
}

impl RootLeafs {
    /// Applies a placement. Pools of leafs whose address and connection limit are unchanged are
    /// kept.
    pub(super) fn configure(
        &mut self,
        now: Moment,
        descriptors: &[LeafDescriptor],
        capacity: usize,
    ) {
        let mut previous = std::mem::take(&mut self.leafs);
        for descriptor in descriptors {
            let kept = previous.remove(&descriptor.leaf).filter(|leaf| {
                leaf.pool.address() == descriptor.address && leaf.pool.capacity() == capacity
            });
            let leaf = kept.unwrap_or_else(|| RootLeaf {
                pool: LeafPool::new(descriptor.address, capacity),
                next_poll: now,
                last_poll: Moment::default(),
                last_response: Moment::default(),
                is_polling: false,
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

    pub(super) fn next_poll(&self) -> Option<Moment> {
        let waiting = self.leafs.values().filter(|leaf| !leaf.is_polling);
        waiting.map(|leaf| leaf.next_poll).min()
    }

    pub(super) fn open_connections(&self) -> usize {
        self.leafs
            .values()
            .map(|leaf| leaf.pool.open_connections())
            .sum()
    }
}
