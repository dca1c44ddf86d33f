//! The daemon of its place from which each daemon receives changes: a tree over the members in
//! rendezvous order.
//!
//! The first members read the store; every other member has one parent that comes before it in the
//! order, and no member has more children than the fan-out. So a fixed number of daemons reads the
//! store, no daemon sends a change more often than the fan-out, and the depth grows with the
//! logarithm of the place's size. While daemons see different members they may disagree on parents;
//! a member whose parent's data is stale turns to [`FeedSources::upstream`].

use super::readers::ReaderRanking;
use std::collections::HashSet;
use tansylead_types::NodeId;

/// The tree of one place.
#[derive(Debug)]
pub struct FeedTree {
    /// Members in rendezvous order; the readers come first.
    order: Vec<NodeId>,
    readers: usize,
    fan_out: usize,
}

/// The daemons from which one member may receive changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedSources {
    /// The member's parent; `None` for a reader.
    pub parent: Option<NodeId>,
    /// Members at a smaller depth in the tree than this one; for a reader, the other readers.
    pub upstream: HashSet<NodeId>,
}

impl FeedTree {
    /// The tree over all ranked members. `readers` and `fan_out` count as at least one.
    pub fn new(ranking: &ReaderRanking, readers: usize, fan_out: usize) -> Self {
        Self {
            order: ranking.first(usize::MAX).collect(),
            readers: readers.max(1),
            fan_out: fan_out.max(1),
        }
    }

    /// The members that read the store.
    pub fn readers(&self) -> impl Iterator<Item = NodeId> {
        self.order.iter().take(self.readers).copied()
    }

    /// The sources of a member; empty if it is not in the tree.
    pub fn sources(&self, node: NodeId) -> FeedSources {
        let Some(position) = self.order.iter().position(|member| *member == node) else {
            return FeedSources::default();
        };
        let parent = self.parent_position(position);
        let upstream_end = match parent {
            None => self.readers,
            Some(parent) => self.level_end(parent),
        };
        let upstream = self.order.iter().take(upstream_end).copied();
        FeedSources {
            parent: parent.map(|parent| self.order[parent]),
            upstream: upstream.filter(|member| *member != node).collect(),
        }
    }

    fn parent_position(&self, position: usize) -> Option<usize> {
        let after_readers = position.checked_sub(self.readers)?;
        Some(after_readers / self.fan_out)
    }

    /// Position after the last member at the same depth as this one.
    fn level_end(&self, position: usize) -> usize {
        let mut end = self.readers;
        let mut level = self.readers;
        while end <= position {
            level = level.saturating_mul(self.fan_out);
            end = end.saturating_add(level);
        }
        end
    }
}
