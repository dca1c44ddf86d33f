//! Status of one engine for operators and metrics.

use crate::context::Context;
use crate::counters::EngineCounters;
use crate::leaf_state::LeafState;
use std::time::Duration;
use tansylead_types::{LeafId, Moment, SnapshotVersion};

/// State of one leaf as this root sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LeafStatus {
    /// Id of the leaf.
    pub leaf: LeafId,
    /// Attempts that count as running.
    pub in_flight: u32,
    /// Current limit on `in_flight`.
    pub limit: u32,
    /// Slots of the leaf that belong to this root.
    pub slots: u32,
    /// Shards that wait for a slot of this leaf.
    pub waiting: usize,
    /// Average latency; none while there are no recent samples.
    pub latency: Option<Duration>,
    /// Whether the leaf gets no new work because it is leaving.
    pub leaving: bool,
    /// Whether the leaf itself signalled that it is leaving and has not been unreachable since, so
    /// that other roots should be told.
    pub leaving_self_reported: bool,
    /// Whether the leaf is ejected, as a straggler or for failures.
    pub ejected: bool,
    /// Whether consecutive health polls failed.
    pub unreachable: bool,
}

/// State of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Number of queries in progress.
    pub queries_in_progress: usize,
    /// Number of shards that wait for a slot.
    pub waiting_shards: usize,
    /// Number of shards that will be dispatched again after a backoff.
    pub backing_off_shards: usize,
    /// Snapshots in force, newest first.
    pub snapshots: Vec<SnapshotVersion>,
    /// The snapshot that an unrouted query would be pinned to now.
    pub snapshot_in_use: Option<SnapshotVersion>,
    /// Whether every shard of that snapshot has a live replica.
    pub every_shard_has_a_replica: bool,
    /// Learned hedge delay; none while there are too few samples.
    pub hedge_delay: Option<Duration>,
    /// Tokens left in the retry budget.
    pub retry_budget: f64,
    /// Configured leafs, ordered by name.
    pub leafs: Vec<LeafStatus>,
    /// Counters since the engine was created.
    pub counters: EngineCounters,
}

/// The status of every configured leaf.
pub(crate) fn leaf_statuses(context: &Context, now: Moment) -> Vec<LeafStatus> {
    let configured = context.leafs.iter().filter(|(_, leaf)| leaf.configured);
    let mut leafs: Vec<LeafStatus> = configured.map(|(_, leaf)| leaf_status(leaf, now)).collect();
    leafs.sort_by(|left, right| left.leaf.cmp(&right.leaf));
    leafs
}

fn leaf_status(leaf: &LeafState, now: Moment) -> LeafStatus {
    LeafStatus {
        leaf: leaf.id().clone(),
        in_flight: leaf.in_flight,
        limit: leaf.limit.limit(now),
        slots: leaf.limit.slots(),
        waiting: leaf.waiting.len(),
        latency: leaf.latency.average(now),
        leaving: leaf.leaving.is_leaving(),
        leaving_self_reported: leaf.leaving.is_self_reported(),
        ejected: leaf.ejection.is_ejected(now),
        unreachable: leaf.is_unreachable(),
    }
}
