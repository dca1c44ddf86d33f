//! All leafs of one engine, addressed by index.
//!
//! A leaf that the configuration drops stays in the table until the next configuration and for as
//! long as attempts run on it, so that their slots stay counted.

use crate::ejection::{EjectionCause, is_straggler};
use crate::leaf_state::LeafState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{LeafDescriptor, LeafId, Moment, SnapshotVersion};

/// Period of the check for stragglers.
const STRAGGLER_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Attempts needed before a leaf can count as a straggler.
const MIN_STRAGGLER_SAMPLES: u32 = 10;
/// At most one leaf in this many is ejected as a straggler (but one if there are two leafs).
const LEAFS_PER_EJECTED_STRAGGLER: usize = 3;
/// Latency assumed before the first answer.
const DEFAULT_LATENCY: Duration = Duration::from_millis(10);

/// Index of a leaf inside one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeafIndex(u32);

/// All leafs of one engine.
#[derive(Debug)]
pub(crate) struct LeafTable {
    leafs: BTreeMap<LeafIndex, LeafState>,
    indexes: BTreeMap<LeafId, LeafIndex>,
    next_index: u32,
    roots: u32,
    configured_once: bool,
    epoch: u64,
    checked_at: Moment,
    typical_latency: Duration,
}

/// What a configuration changed.
#[derive(Debug, Default)]
pub(crate) struct LeafChanges {
    /// Leafs that were removed or replaced; shards that wait for them must choose other leafs.
    pub(crate) displaced: Vec<LeafIndex>,
}

impl LeafTable {
    /// A table without leafs; this root is the only one.
    pub(crate) fn new() -> Self {
        Self {
            leafs: BTreeMap::new(),
            indexes: BTreeMap::new(),
            next_index: 0,
            roots: 1,
            configured_once: false,
            epoch: 0,
            checked_at: Moment::default(),
            typical_latency: DEFAULT_LATENCY,
        }
    }

    /// Applies a configured list of leafs.
    pub(crate) fn configure(
        &mut self,
        now: Moment,
        descriptors: &[LeafDescriptor],
        slow_start: bool,
    ) -> LeafChanges {
        let mut changes = LeafChanges::default();
        let mut listed = Vec::new();
        for descriptor in descriptors {
            listed.push(self.add_or_update(now, descriptor, slow_start, &mut changes));
        }
        listed.sort_unstable();
        self.remove_unlisted(&listed, &mut changes);
        self.configured_once = true;
        self.advance_epoch();
        changes
    }

    /// Divides the slots of every leaf among `roots` roots.
    pub(crate) fn set_roots(&mut self, roots: u32) {
        self.roots = roots.max(1);
        for leaf in self.leafs.values_mut() {
            leaf.limit
                .set_slots(share_of_slots(leaf.descriptor.slots, self.roots));
        }
    }

    /// Drops old evidence about snapshots that are no longer configured.
    pub(crate) fn retain_versions(&mut self, now: Moment, versions: &BTreeSet<SnapshotVersion>) {
        for leaf in self.leafs.values_mut() {
            leaf.snapshots.retain_versions(now, versions);
        }
    }

    /// Index of the leaf with this id.
    pub(crate) fn index(&self, leaf: &LeafId) -> Option<LeafIndex> {
        self.indexes.get(leaf).copied()
    }

    /// The leaf at an index.
    pub(crate) fn get(&self, index: LeafIndex) -> Option<&LeafState> {
        self.leafs.get(&index)
    }

    /// The leaf at an index, for changes.
    pub(crate) fn get_mut(&mut self, index: LeafIndex) -> Option<&mut LeafState> {
        self.leafs.get_mut(&index)
    }

    /// All leafs in order of index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (LeafIndex, &LeafState)> {
        self.leafs.iter().map(|(index, leaf)| (*index, leaf))
    }

    /// Counter that grows whenever the set of leafs that may serve a snapshot may have changed.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records a change of which leaf may serve which snapshot.
    pub(crate) fn advance_epoch(&mut self) {
        self.epoch += 1;
    }

    /// Median of the leafs' average latencies.
    pub(crate) fn typical_latency(&self) -> Duration {
        self.typical_latency
    }

    /// Attempts that may run at once on all leafs that accept work.
    pub(crate) fn total_limit(&self, now: Moment) -> u32 {
        let accepting = self.leafs.values().filter(|leaf| leaf.accepts_work());
        accepting.map(|leaf| leaf.limit.limit(now)).sum()
    }

    /// Slots of this root on all leafs that accept work.
    pub(crate) fn total_slots(&self) -> u32 {
        let accepting = self.leafs.values().filter(|leaf| leaf.accepts_work());
        accepting.map(|leaf| leaf.limit.slots()).sum()
    }

    /// Once a check period, updates the typical latency and returns the leafs to eject as
    /// stragglers.
    pub(crate) fn find_stragglers(&mut self, now: Moment) -> Vec<LeafIndex> {
        if now.since(self.checked_at) < STRAGGLER_CHECK_PERIOD {
            return Vec::new();
        }
        self.checked_at = now;
        let mut averages = self.averages(now);
        if averages.is_empty() {
            return Vec::new();
        }
        averages.sort_unstable();
        let median = averages[(averages.len() - 1) / 2].0;
        self.typical_latency = median;
        let allowed = self.stragglers_allowed(now);
        let slowest_first = averages.into_iter().rev();
        let stragglers = slowest_first.filter(|(average, index)| {
            let samples = self.leafs[index].latency.samples();
            let ejected = self.leafs[index].ejection.is_ejected(now);
            !ejected && samples >= MIN_STRAGGLER_SAMPLES && is_straggler(*average, median)
        });
        stragglers.map(|(_, index)| index).take(allowed).collect()
    }

    /// Ejects a leaf; returns when the ejection ends.
    pub(crate) fn eject(
        &mut self,
        now: Moment,
        index: LeafIndex,
        cause: EjectionCause,
    ) -> Option<Moment> {
        self.advance_epoch();
        let leaf = self.leafs.get_mut(&index)?;
        Some(leaf.ejection.eject(now, cause))
    }

    fn averages(&self, now: Moment) -> Vec<(Duration, LeafIndex)> {
        let accepting = self.leafs.iter().filter(|(_, leaf)| leaf.accepts_work());
        accepting
            .filter_map(|(index, leaf)| Some((leaf.latency.average(now)?, *index)))
            .collect()
    }

    fn stragglers_allowed(&self, now: Moment) -> usize {
        let accepting = self.leafs.values().filter(|leaf| leaf.accepts_work());
        let (mut total, mut ejected) = (0, 0);
        for leaf in accepting {
            total += 1;
            ejected += usize::from(leaf.ejection.is_ejected(now));
        }
        if total < 2 {
            return 0;
        }
        let maximum = (total / LEAFS_PER_EJECTED_STRAGGLER).max(1);
        maximum.saturating_sub(ejected)
    }

    fn add_or_update(
        &mut self,
        now: Moment,
        descriptor: &LeafDescriptor,
        slow_start: bool,
        changes: &mut LeafChanges,
    ) -> LeafIndex {
        let slots = share_of_slots(descriptor.slots, self.roots);
        let Some(index) = self.index(&descriptor.leaf) else {
            return self.add(now, descriptor, slots, slow_start);
        };
        let leaf = self.leafs.get_mut(&index).expect("indexed leafs exist");
        let replaced = leaf.descriptor.address != descriptor.address;
        let returns = !leaf.configured;
        leaf.descriptor = descriptor.clone();
        leaf.configured = true;
        leaf.limit.set_slots(slots);
        if replaced || returns {
            leaf.reset_for_new_process(now, slow_start);
            changes.displaced.push(index);
        }
        index
    }

    fn add(
        &mut self,
        now: Moment,
        descriptor: &LeafDescriptor,
        slots: u32,
        slow_start: bool,
    ) -> LeafIndex {
        let index = LeafIndex(self.next_index);
        self.next_index += 1;
        let mut leaf = LeafState::new(descriptor.clone(), slots);
        // The leafs of the first configuration are not cold; only this root has just started.
        if self.configured_once && slow_start {
            leaf.limit.begin_slow_start(now);
        }
        self.leafs.insert(index, leaf);
        self.indexes.insert(descriptor.leaf.clone(), index);
        index
    }

    fn remove_unlisted(&mut self, listed: &[LeafIndex], changes: &mut LeafChanges) {
        let mut removable = Vec::new();
        for (index, leaf) in &mut self.leafs {
            if listed.binary_search(index).is_ok() {
                continue;
            }
            if leaf.configured {
                leaf.configured = false;
                changes.displaced.push(*index);
            } else if leaf.in_flight == 0 && leaf.waiting.is_empty() {
                removable.push(*index);
            }
        }
        for index in removable {
            if let Some(leaf) = self.leafs.remove(&index) {
                self.indexes.remove(leaf.id());
            }
        }
    }
}

/// This root's share of the slots of a leaf: equal parts, but at least one.
fn share_of_slots(slots: u32, roots: u32) -> u32 {
    (slots / roots.max(1)).max(1)
}
