//! The leaf protocol: one HTTP POST per attempt, with JSON bodies. Only the daemon's leaf adapter
//! and the lab's fake leaf encode and decode these types.

use crate::{
    AttemptId, IdempotencyKey, QueryId, RequestId, ServiceName, ShardId, SnapshotVersion, WallTime,
};
use serde::{Deserialize, Serialize};

/// Path of the search endpoint of a leaf.
pub const LEAF_SEARCH_PATH: &str = "/v1/search";
/// Path of the health endpoint of a leaf; answers [`LeafHealth`].
pub const LEAF_HEALTH_PATH: &str = "/v1/health";

/// One attempt: one shard of one query at one snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafRequest {
    /// The caller's request id.
    pub request: RequestId,
    /// Distinguishes equal request ids sent by different callers: root's process and query number.
    pub root: String,
    /// Query number inside the root.
    pub query: QueryId,
    /// Attempt number inside the query.
    pub attempt: AttemptId,
    /// Service to query.
    pub service: ServiceName,
    /// Shard to query.
    pub shard: ShardId,
    /// Pinned snapshot.
    pub snapshot: SnapshotVersion,
    /// Milliseconds left when the request was written; the leaf aborts after that.
    pub time_left_millis: u64,
    /// Set on non-repeatable requests: the leaf refuses, as not run, once this has passed.
    pub expires: Option<WallTime>,
    /// Set on non-repeatable requests, so that a leaf's own log can be audited.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Query body: JSON text.
    pub body: String,
}

/// Load of a leaf, attached to each answer and to its health report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeafLoad {
    /// Number of requests running.
    pub running: u32,
    /// Number of requests waiting for a slot.
    pub queued: u32,
    /// Number of slots.
    pub slots: u32,
    /// The leaf is about to leave and accepts no new work.
    pub draining: bool,
}

/// Successful answer (HTTP 200).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafAnswer {
    /// Echoed from the request.
    pub request: RequestId,
    /// Echoed from the request.
    pub root: String,
    /// Echoed from the request.
    pub query: QueryId,
    /// Echoed from the request.
    pub attempt: AttemptId,
    /// Shard that was searched.
    pub shard: ShardId,
    /// Snapshot that was searched.
    pub snapshot: SnapshotVersion,
    /// JSON text.
    pub result: String,
    /// Load after this request.
    pub load: LeafLoad,
}

/// Why a leaf refused a request before running anything (HTTP 503 with a [`LeafRefusal`] body).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// All slots and the queue are full.
    Overloaded,
    /// The leaf is leaving.
    Draining,
    /// The leaf no longer (or not yet) holds the snapshot.
    SnapshotNotHeld,
    /// The leaf does not hold the shard at that snapshot.
    ShardNotHeld,
    /// The deadline or expiry had passed on arrival or while queued.
    Expired,
}

/// A refusal before running: the leaf guarantees that nothing was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafRefusal {
    /// Echoed from the request, as in [`LeafAnswer`].
    pub root: String,
    /// Echoed from the request.
    pub query: QueryId,
    /// Echoed from the request.
    pub attempt: AttemptId,
    /// Why.
    pub reason: RefusalReason,
    /// Milliseconds after which a retry makes sense.
    pub retry_after_millis: Option<u64>,
    /// Load at the time of refusal.
    pub load: LeafLoad,
}

/// Health report of a leaf. It can be stale or wrong; in-band signals take precedence.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeafHealth {
    /// Whether the leaf reports that it can serve.
    pub healthy: bool,
    /// Load.
    pub load: LeafLoad,
    /// Snapshots the leaf holds.
    pub snapshots: Vec<SnapshotVersion>,
}
