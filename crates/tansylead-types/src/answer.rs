//! The answer to a query: outcome, pinned snapshot, true coverage, results by shard.

use crate::{RequestId, ShardId, SnapshotVersion};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What happened to a query. The set is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every shard of the pinned snapshot answered.
    Complete,
    /// Some shards answered; the others are listed with a reason.
    Partial,
    /// No leaf ran any part of the request: it is safe to retry.
    NotRun,
    /// The request may have run, fully or in part, and the result is not known.
    Unknown,
}

/// Why a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No live replica holds the shard at the pinned snapshot.
    NoReplica,
    /// The deadline passed before an answer arrived.
    DeadlineExceeded,
    /// Every replica tried refused for lack of capacity.
    Overloaded,
    /// Attempts failed (connection, error answer) and no replica was left to try.
    Failed,
    /// The replicas no longer hold the pinned snapshot.
    SnapshotGone,
    /// Not asked: the query was refused before any leaf was asked.
    NotAsked,
}

/// One shard without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// Which shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Coverage counted against the shard list of the pinned snapshot (after routing).
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards the query addresses.
    pub total: u32,
    /// Shards whose answer is in `results`; equals `results.len()`.
    pub answered: u32,
    /// Every other shard; `answered + missing.len() == total`.
    pub missing: Vec<MissingShard>,
}

/// The answer of one shard. At most one for each shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardResult {
    /// Which shard.
    pub shard: ShardId,
    /// JSON text as the leaf returned it.
    pub result: String,
}

/// Final answer to one query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The request id, echoed.
    pub request: RequestId,
    /// What happened.
    pub outcome: Outcome,
    /// The pinned snapshot; none if the query was refused before one was chosen.
    pub snapshot: Option<SnapshotVersion>,
    /// True coverage.
    pub coverage: Coverage,
    /// Results, ordered by shard id.
    pub results: Vec<ShardResult>,
    /// When to retry; set on `NotRun`, and on `Partial` for lack of capacity.
    pub retry_after: Option<Duration>,
    /// Why the query was refused or abandoned: one human-readable line.
    pub reason: Option<String>,
    /// Number of attempts sent to leafs, to measure extra load.
    pub attempts: u32,
}

impl QueryAnswer {
    /// An answer without results from any leaf.
    pub fn without_results(
        request: RequestId,
        outcome: Outcome,
        reason: String,
        retry_after: Option<Duration>,
    ) -> Self {
        Self {
            request,
            outcome,
            snapshot: None,
            coverage: Coverage::default(),
            results: Vec::new(),
            retry_after,
            reason: Some(reason),
            attempts: 0,
        }
    }
}
