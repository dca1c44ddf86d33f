//! The records of all members, with indexes by place and state.
//!
//! Invariant: the record of a node is only replaced by one of higher precedence, or removed after
//! its retention.

use super::member::{MemberRecord, MemberState};
use super::packet::PlaceSummary;
use crate::node_set::NodeSet;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use tansylead_types::{InstanceId, NodeId, PlaceName};
use xxhash_rust::xxh3::Xxh3;

/// How a received record compares to the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordAge {
    /// It is newer, or the first of its node, and was stored.
    Newer,
    /// It equals the one held.
    Same,
    /// It is older than the one held.
    Older,
}

/// Members of one place.
#[derive(Debug, Default)]
pub(super) struct PlaceMembers {
    pub(super) running: NodeSet,
    /// All members in any state.
    known: BTreeSet<NodeId>,
    hash: u64,
}

impl PlaceMembers {
    /// All members with addresses after `after`, ordered by address.
    pub(super) fn known_after(&self, after: Option<NodeId>) -> impl Iterator<Item = NodeId> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.known.range((start, Bound::Unbounded)).copied()
    }
}

/// The member table.
#[derive(Debug, Default)]
pub(super) struct MemberTable {
    records: BTreeMap<NodeId, MemberRecord>,
    places: BTreeMap<PlaceName, PlaceMembers>,
    failed: BTreeMap<PlaceName, NodeSet>,
    running: NodeSet,
    hash: u64,
}

impl MemberTable {
    pub(super) fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.records.get(&node)
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Hash over all running members.
    pub(super) fn hash(&self) -> u64 {
        self.hash
    }

    /// All running members.
    pub(super) fn running(&self) -> &NodeSet {
        &self.running
    }

    /// Members of a place, if any were ever known there.
    pub(super) fn place(&self, place: &PlaceName) -> Option<&PlaceMembers> {
        self.places.get(place)
    }

    /// Failed members of a place.
    pub(super) fn failed(&self, place: &PlaceName) -> Option<&NodeSet> {
        self.failed.get(place)
    }

    /// Hash of every place that has running members.
    pub(super) fn summaries(&self) -> Vec<PlaceSummary> {
        self.places
            .iter()
            .filter(|(_, members)| !members.running.is_empty())
            .map(|(place, members)| PlaceSummary {
                place: place.clone(),
                hash: members.hash,
            })
            .collect()
    }

    /// Hash over the running members of a place; 0 if there are none.
    pub(super) fn place_hash(&self, place: &PlaceName) -> u64 {
        self.places.get(place).map_or(0, |members| members.hash)
    }

    /// Stores a record if it takes precedence over the one held.
    pub(super) fn apply(&mut self, record: &MemberRecord) -> RecordAge {
        if let Some(held) = self.records.get(&record.node()) {
            match record.precedence().cmp(&held.precedence()) {
                std::cmp::Ordering::Less => return RecordAge::Older,
                std::cmp::Ordering::Equal => return RecordAge::Same,
                std::cmp::Ordering::Greater => {}
            }
        }
        self.unindex(record.node());
        self.index(record);
        self.records.insert(record.node(), record.clone());
        RecordAge::Newer
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, node: NodeId) -> Option<InstanceId> {
        self.unindex(node);
        self.records.remove(&node).map(|record| record.instance)
    }

    fn index(&mut self, record: &MemberRecord) {
        let node = record.node();
        let place = self.places.entry(record.place.clone()).or_default();
        place.known.insert(node);
        if record.state.is_running() {
            let hash = record_hash(record);
            place.running.insert(node);
            place.hash = place.hash.wrapping_add(hash);
            self.running.insert(node);
            self.hash = self.hash.wrapping_add(hash);
        } else if record.state == MemberState::Failed {
            let failed = self.failed.entry(record.place.clone()).or_default();
            failed.insert(node);
        }
    }

    fn unindex(&mut self, node: NodeId) {
        let Some(record) = self.records.get(&node) else {
            return;
        };
        let Some(place) = self.places.get_mut(&record.place) else {
            return;
        };
        place.known.remove(&node);
        if record.state.is_running() {
            let hash = record_hash(record);
            place.running.remove(node);
            place.hash = place.hash.wrapping_sub(hash);
            self.running.remove(node);
            self.hash = self.hash.wrapping_sub(hash);
        } else if let Some(failed) = self.failed.get_mut(&record.place) {
            failed.remove(node);
        }
    }
}

/// Hash of a record. Table hashes are sums of these, so they do not depend on the order of members.
fn record_hash(record: &MemberRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(record.node().to_string().as_bytes());
    hasher.update(&record.instance.boot.to_le_bytes());
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&[record.state as u8]);
    hasher.digest()
}
