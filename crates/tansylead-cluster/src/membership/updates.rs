//! The gossip queue: records waiting to be sent to peers.
//!
//! Invariants: an update is sent a bounded number of times; the one sent least often goes first; a
//! newer record of a node replaces the queued one and resets its count.

use super::member::MemberRecord;
use super::sizes::record_bytes;
use super::table::MemberTable;
use std::collections::{BTreeMap, BTreeSet};
use tansylead_types::NodeId;

/// Maximum number of updates in a packet.
const MAXIMUM_UPDATES: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    transmissions: u32,
    queue_number: u64,
}

/// Nodes whose records wait to be sent, by priority.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    order: BTreeSet<(Priority, NodeId)>,
    priorities: BTreeMap<NodeId, Priority>,
    next_queue_number: u64,
}

impl UpdateQueue {
    /// Queues the record of a node, or resets its transmission count.
    pub(super) fn push(&mut self, node: NodeId) {
        self.remove(node);
        let priority = Priority {
            transmissions: 0,
            queue_number: self.next_queue_number,
        };
        self.next_queue_number += 1;
        self.insert(node, priority);
    }

    /// Counts an update received from a peer as one transmission of the queued record, since it
    /// shows that the record has spread.
    pub(super) fn count_received(&mut self, node: NodeId, transmission_limit: u32) {
        if let Some(priority) = self.priorities.get(&node).copied() {
            self.count_transmission(node, priority, transmission_limit);
        }
    }

    /// Drops all updates, once peers have shown that they know them.
    pub(super) fn clear(&mut self) {
        self.order.clear();
        self.priorities.clear();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns updates that fit the budget and counts one transmission of each.
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
