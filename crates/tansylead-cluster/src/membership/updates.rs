//! Statements waiting to be passed on.
//!
//! Invariants: a statement is passed on a bounded number of times; the least passed on goes
//! first; a newer statement about a node replaces the queued one and starts over.

use super::member::MemberRecord;
use super::sizes::record_bytes;
use super::table::MemberTable;
use std::collections::{BTreeMap, BTreeSet};
use tansylead_types::NodeId;

/// No packet holds more statements than this.
const MAXIMUM_UPDATES: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    transmissions: u32,
    queued: u64,
}

/// Statements waiting to be passed on.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    order: BTreeSet<(Priority, NodeId)>,
    priorities: BTreeMap<NodeId, Priority>,
    next_queued: u64,
}

impl UpdateQueue {
    /// Queues the statement held about a node, or starts over with it.
    pub(super) fn push(&mut self, node: NodeId) {
        self.remove(node);
        let priority = Priority {
            transmissions: 0,
            queued: self.next_queued,
        };
        self.next_queued += 1;
        self.insert(node, priority);
    }

    /// A peer passed the queued statement on to this daemon: it counts like one passing on, since
    /// the statement is known that much more widely.
    pub(super) fn on_received(&mut self, node: NodeId, transmission_limit: u32) {
        if let Some(priority) = self.priorities.get(&node).copied() {
            self.count_transmission(node, priority, transmission_limit);
        }
    }

    /// Drops everything: peers have shown to know it.
    pub(super) fn clear(&mut self) {
        self.order.clear();
        self.priorities.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Takes statements that fit the budget and counts them as passed on once more.
    pub(super) fn take(
        &mut self,
        table: &MemberTable,
        mut budget: usize,
        transmission_limit: u32,
    ) -> Vec<MemberRecord> {
        let mut taken = Vec::new();
        let first: Vec<_> = self.order.iter().take(MAXIMUM_UPDATES).copied().collect();
        for (priority, node) in first {
            let Some(record) = table.get(node) else {
                self.remove(node);
                continue;
            };
            let bytes = record_bytes(record);
            if bytes > budget {
                break;
            }
            budget -= bytes;
            taken.push(record.clone());
            self.count_transmission(node, priority, transmission_limit);
        }
        taken
    }

    fn count_transmission(&mut self, node: NodeId, priority: Priority, limit: u32) {
        self.remove(node);
        let transmissions = priority.transmissions + 1;
        if transmissions < limit {
            let priority = Priority {
                transmissions,
                ..priority
            };
            self.insert(node, priority);
        }
    }

    fn insert(&mut self, node: NodeId, priority: Priority) {
        self.order.insert((priority, node));
        self.priorities.insert(node, priority);
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(priority) = self.priorities.remove(&node) {
            self.order.remove(&(priority, node));
        }
    }
}
