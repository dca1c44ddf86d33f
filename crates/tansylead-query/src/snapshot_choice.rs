//! Choice of the snapshot a query is pinned to.
//!
//! The newest snapshot is chosen for which every addressed shard has a live replica believed to
//! hold it; if there is none, the one with the best coverage (the newest among equals). A snapshot
//! without shards is never chosen: it would make an empty answer look complete.

use crate::leaf_table::{LeafIndex, LeafTable};
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{Moment, ServicePlacement, ShardId, Snapshot, SnapshotVersion};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The choice for unrouted queries is cached for this time unless a leaf changes.
const CHOICE_LIFETIME: Duration = Duration::from_millis(50);

/// One shard of a pinned snapshot.
#[derive(Debug, Clone)]
pub(crate) struct PinnedShard {
    /// Name of the shard.
    pub(crate) shard: ShardId,
    /// Hash of the name, the seed for rendezvous hashing.
    hash: u64,
    /// Configured replicas.
    pub(crate) replicas: Vec<LeafIndex>,
}

/// A configured snapshot in the form that queries pin.
#[derive(Debug, Clone)]
pub(crate) struct PinnedSnapshot {
    /// Version of the snapshot.
    pub(crate) version: SnapshotVersion,
    /// Shards without duplicates, ordered by name.
    pub(crate) shards: Vec<PinnedShard>,
}

impl PinnedSnapshot {
    /// Converts a configured snapshot; replicas that are not in the leaf table are left out.
    fn new(snapshot: &Snapshot, leafs: &LeafTable) -> Self {
        let mut shards: Vec<PinnedShard> = snapshot
            .shards
            .iter()
            .map(|entry| PinnedShard {
                shard: entry.shard.clone(),
                hash: xxh3_64(entry.shard.as_str().as_bytes()),
                replicas: replica_indexes(&entry.replicas, leafs),
            })
            .collect();
        shards.sort_by(|left, right| left.shard.cmp(&right.shard));
        shards.dedup_by(|later, earlier| later.shard == earlier.shard);
        Self {
            version: snapshot.version,
            shards,
        }
    }

    /// Positions of the shards a query addresses: the owner of its routing key, or all.
    pub(crate) fn addressed(&self, routing_key: Option<&str>) -> std::ops::Range<usize> {
        match routing_key {
            None => 0..self.shards.len(),
            Some(key) => self
                .owner(key)
                .map_or(0..0, |position| position..position + 1),
        }
    }

    /// Whether the other snapshot has the same version and the same shards.
    pub(crate) fn has_same_shards(&self, other: &PinnedSnapshot) -> bool {
        let names = self.shards.iter().map(|entry| &entry.shard);
        let other_names = other.shards.iter().map(|entry| &entry.shard);
        self.version == other.version && names.eq(other_names)
    }

    fn owner(&self, key: &str) -> Option<usize> {
        let score = |entry: &PinnedShard| xxh3_64_with_seed(key.as_bytes(), entry.hash);
        let positions = 0..self.shards.len();
        positions.max_by_key(|position| score(&self.shards[*position]))
    }
}

fn replica_indexes(replicas: &[tansylead_types::LeafId], leafs: &LeafTable) -> Vec<LeafIndex> {
    let mut indexes: Vec<LeafIndex> = replicas
        .iter()
        .filter_map(|leaf| leafs.index(leaf))
        .collect();
    indexes.sort_unstable();
    indexes.dedup();
    indexes
}

/// The snapshot chosen for a query.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotChoice {
    /// Snapshot to pin.
    pub(crate) snapshot: Arc<PinnedSnapshot>,
    /// Whether every addressed shard has a live replica.
    pub(crate) every_shard_has_a_replica: bool,
}

#[derive(Debug, Clone)]
struct CachedChoice {
    epoch: u64,
    at: Moment,
    choice: Option<SnapshotChoice>,
}

/// Snapshots in force, newest first.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCatalog {
    snapshots: Vec<Arc<PinnedSnapshot>>,
    cached: Option<CachedChoice>,
}

impl SnapshotCatalog {
    /// Applies the snapshots of a placement.
    pub(crate) fn configure(&mut self, placement: &ServicePlacement, leafs: &LeafTable) {
        let converted = placement
            .snapshots
            .iter()
            .map(|snapshot| Arc::new(PinnedSnapshot::new(snapshot, leafs)));
        self.snapshots = converted
            .filter(|snapshot| !snapshot.shards.is_empty())
            .collect();
        self.snapshots
            .sort_by_key(|snapshot| std::cmp::Reverse(snapshot.version));
        self.cached = None;
    }

    /// The snapshot in force with this version.
    pub(crate) fn get(&self, version: SnapshotVersion) -> Option<&Arc<PinnedSnapshot>> {
        self.snapshots
            .iter()
            .find(|snapshot| snapshot.version == version)
    }

    /// Versions in force, newest first.
    pub(crate) fn versions(&self) -> Vec<SnapshotVersion> {
        self.snapshots
            .iter()
            .map(|snapshot| snapshot.version)
            .collect()
    }

    /// Chooses the snapshot for a query; none if no snapshot is in force.
    pub(crate) fn choose(
        &mut self,
        now: Moment,
        leafs: &LeafTable,
        routing_key: Option<&str>,
    ) -> Option<SnapshotChoice> {
        if routing_key.is_some() {
            return self.choose_among(now, leafs, routing_key, &[]);
        }
        if let Some(cached) = &self.cached
            && cached.epoch == leafs.epoch()
            && now.since(cached.at) < CHOICE_LIFETIME
        {
            return cached.choice.clone();
        }
        let choice = self.choose_among(now, leafs, None, &[]);
        self.cached = Some(CachedChoice {
            epoch: leafs.epoch(),
            at: now,
            choice: choice.clone(),
        });
        choice
    }

    /// Chooses among the snapshots that are not listed in `excluded`.
    pub(crate) fn choose_among(
        &self,
        now: Moment,
        leafs: &LeafTable,
        routing_key: Option<&str>,
        excluded: &[SnapshotVersion],
    ) -> Option<SnapshotChoice> {
        let mut best: Option<(Availability, &Arc<PinnedSnapshot>)> = None;
        for snapshot in &self.snapshots {
            if excluded.contains(&snapshot.version) {
                continue;
            }
            let availability = Availability::of(now, snapshot, leafs, routing_key);
            if availability.live == 1.0 {
                return Some(SnapshotChoice {
                    snapshot: Arc::clone(snapshot),
                    every_shard_has_a_replica: true,
                });
            }
            if best
                .as_ref()
                .is_none_or(|(best_so_far, _)| availability.exceeds(best_so_far))
            {
                best = Some((availability, snapshot));
            }
        }
        let (_, snapshot) = best?;
        Some(SnapshotChoice {
            snapshot: Arc::clone(snapshot),
            every_shard_has_a_replica: false,
        })
    }
}

/// Fractions (0 to 1) of the addressed shards that have a replica.
#[derive(Debug, Clone, Copy)]
struct Availability {
    /// Fraction with a replica that is expected to answer.
    live: f64,
    /// Fraction with a replica that an attempt may be sent to at all.
    servable: f64,
}

impl Availability {
    fn of(
        now: Moment,
        snapshot: &PinnedSnapshot,
        leafs: &LeafTable,
        routing_key: Option<&str>,
    ) -> Self {
        let addressed = snapshot.addressed(routing_key);
        let total = addressed.len() as f64;
        let (mut live, mut servable) = (0, 0);
        for entry in &snapshot.shards[addressed] {
            let mut serving = entry
                .replicas
                .iter()
                .filter_map(|index| leafs.get(*index))
                .filter(|leaf| leaf.may_serve(now, snapshot.version, &entry.shard))
                .peekable();
            servable += u32::from(serving.peek().is_some());
            live += u32::from(serving.any(|leaf| {
                leaf.is_live(now) && leaf.likely_holds(now, snapshot.version, &entry.shard)
            }));
        }
        Self {
            live: f64::from(live) / total,
            servable: f64::from(servable) / total,
        }
    }

    fn exceeds(&self, other: &Availability) -> bool {
        (self.live, self.servable) > (other.live, other.servable)
    }
}
