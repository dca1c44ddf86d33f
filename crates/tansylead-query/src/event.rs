//! Events that go into the root engine and actions that come out of it.

use std::time::Duration;
use tansylead_types::leaf::{LeafAnswer, LeafHealth, LeafRefusal};
use tansylead_types::{
    AttemptId, LeafId, Moment, QueryAnswer, QueryId, QueryRequest, ShardId, SnapshotVersion,
};

/// A query handed to the engine. The idempotency key of a non-repeatable request has been
/// claimed before.
#[derive(Debug, Clone, PartialEq)]
pub struct StartQuery {
    /// Unique id, chosen by the caller of the engine and never reused.
    pub query: QueryId,
    /// The request to run.
    pub request: QueryRequest,
    /// When the caller must have its answer.
    pub deadline: Moment,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptResult {
    /// The leaf answered. The engine itself checks every echoed field.
    Answered(LeafAnswer),
    /// The leaf refused before running.
    Refused(LeafRefusal),
    /// Nothing was handed to any connection (for example: connecting was refused).
    NotSent,
    /// Nothing was handed to any connection, because the deadline or the expiry of the request had
    /// passed right before the send. Says nothing about the leaf.
    Expired,
    /// The attempt failed after bytes may have been sent; the leaf may have run it.
    Failed,
}

/// Input of the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum RootEvent {
    /// Start a query.
    Start(Box<StartQuery>),
    /// An attempt ended. Late, duplicate and unknown ones are discarded and counted.
    AttemptEnded {
        /// Query that the transport attributes it to.
        query: QueryId,
        /// Attempt that the transport attributes it to.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A polled health report; none if the poll failed.
    LeafHealth {
        /// Polled leaf.
        leaf: LeafId,
        /// Its report.
        report: Option<LeafHealth>,
    },
    /// The machine list or a peer reports that the leaf is leaving.
    LeafLeaving(LeafId),
    /// The caller disconnected: cancel what is in flight; no answer is needed.
    CallerGone(QueryId),
    /// The time returned by `next_wakeup` has been reached.
    Wakeup,
}

/// One attempt to send. Every field goes into the leaf request.
#[derive(Debug, Clone, PartialEq)]
pub struct SendAttempt {
    /// Query that the attempt belongs to.
    pub query: QueryId,
    /// Id of the attempt, unique within the query.
    pub attempt: AttemptId,
    /// Leaf to send it to.
    pub leaf: LeafId,
    /// Shard to query.
    pub shard: ShardId,
    /// Snapshot that the query is pinned to.
    pub snapshot: SnapshotVersion,
    /// The attempt must end no later than this.
    pub deadline: Moment,
}

/// Output of the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum RootAction {
    /// Send this attempt now.
    Send(SendAttempt),
    /// Cancel the attempt: drop its connection so that none of its bytes reach another request.
    Cancel {
        /// Query that the attempt belongs to.
        query: QueryId,
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// The query is over; exactly one for each `Start` (none after `CallerGone`).
    Finish {
        /// Query that is over.
        query: QueryId,
        /// Its answer.
        answer: QueryAnswer,
    },
}

/// This root's share of the rate limit: the queries per second it may start, and the burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateShare {
    /// Queries per second; infinite when the table has no limit.
    pub queries_per_second: f64,
    /// Burst allowance: queries of this much time at the full rate.
    pub burst: Duration,
}
