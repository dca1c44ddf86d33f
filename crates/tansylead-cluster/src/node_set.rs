//! A set of addresses with constant-time choice of a random one.

use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use tansylead_types::NodeId;

/// A set of addresses. The order of `as_slice` depends only on the history of changes.
#[derive(Debug, Default)]
pub(crate) struct NodeSet {
    nodes: Vec<NodeId>,
    positions: BTreeMap<NodeId, usize>,
}

impl NodeSet {
    pub(crate) fn insert(&mut self, node: NodeId) {
        if !self.positions.contains_key(&node) {
            self.positions.insert(node, self.nodes.len());
            self.nodes.push(node);
        }
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(position) = self.positions.remove(&node) else {
            return;
        };
        self.nodes.swap_remove(position);
        if let Some(moved) = self.nodes.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    pub(crate) fn contains(&self, node: NodeId) -> bool {
        self.positions.contains_key(&node)
    }

    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    pub(crate) fn as_slice(&self) -> &[NodeId] {
        &self.nodes
    }

    pub(crate) fn random(&self, random: &mut impl Rng) -> Option<NodeId> {
        if self.nodes.is_empty() {
            return None;
        }
        Some(self.nodes[random.random_range(0..self.nodes.len())])
    }

    /// Up to `count` different random nodes, none of them in `excluded`. Gives up after a bounded
    /// number of draws, so it may return fewer than there are.
    pub(crate) fn sample(
        &self,
        random: &mut impl Rng,
        count: usize,
        excluded: &[NodeId],
    ) -> Vec<NodeId> {
        const DRAWS_PER_NODE: usize = 4;
        let mut chosen = Vec::with_capacity(count);
        for _ in 0..count * DRAWS_PER_NODE {
            if chosen.len() == count {
                break;
            }
            match self.random(random) {
                Some(node) if !excluded.contains(&node) && !chosen.contains(&node) => {
                    chosen.push(node);
                }
                _ => {}
            }
        }
        chosen
    }
}
