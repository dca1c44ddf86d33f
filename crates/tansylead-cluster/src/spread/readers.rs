//! Which daemons of a place read the store: the first few, by rendezvous hashing, of the members
//! that may take work. There is no election: while daemons see different members, there may be a
//! reader too many or too few, which does no harm.

use crate::membership::MemberRecord;
use std::collections::{BTreeMap, BTreeSet};
use tansylead_types::{NodeId, PlaceName};
use xxhash_rust::xxh3::xxh3_64;

/// Members of one place in rendezvous order.
#[derive(Debug)]
pub struct ReaderRanking {
    place: PlaceName,
    order: BTreeSet<(u64, NodeId)>,
    scores: BTreeMap<NodeId, u64>,
}

impl ReaderRanking {
    /// An empty ranking for the members of `place`.
    pub fn new(place: PlaceName) -> Self {
        Self {
            place,
            order: BTreeSet::new(),
            scores: BTreeMap::new(),
        }
    }

    /// Applies the current record of a member.
    pub fn update(&mut self, record: &MemberRecord) {
        let node = record.node();
        self.remove(node);
        if record.place == self.place && record.state.takes_work() {
            let score = xxh3_64(format!("store-reader/{node}").as_bytes());
            self.scores.insert(node, score);
            self.order.insert((score, node));
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(score) = self.scores.remove(&node) {
            self.order.remove(&(score, node));
        }
    }

    /// The first `count` members.
    pub fn first(&self, count: usize) -> impl Iterator<Item = NodeId> {
        self.order.iter().take(count).map(|(_, node)| *node)
    }

    /// Whether a node is among the first `count`.
    pub fn is_reader(&self, node: NodeId, count: usize) -> bool {
        self.first(count).any(|ranked| ranked == node)
    }
}
