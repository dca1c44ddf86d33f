//! What goes into the root engine and what comes out of it. The daemon, the simulation and the
//! fuzzers speak only these.

use std::time::Duration;
use tansylead_types::leaf::{LeafAnswer, LeafHealth, LeafRefusal};
use tansylead_types::{
    AttemptId, LeafId, Moment, QueryAnswer, QueryId, QueryRequest, ShardId, SnapshotVersion,
};

/// A query handed to the engine. Claims for non-repeatable requests are settled before this.
#[derive(Debug, Clone, PartialEq)]
pub struct StartQuery {
    /// Chosen by the caller of the engine, never reused.
    pub query: QueryId,
    /// The request.
    pub request: QueryRequest,
    /// When the caller must have its answer.
    pub deadline: Moment,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptResult {
    /// The leaf answered. The engine still matches every echoed field.
    Answered(LeafAnswer),
    /// The leaf refused before running.
    Refused(LeafRefusal),
    /// Nothing was handed to any connection (for example: connecting was refused).
    NotSent,
    /// Nothing was handed to any connection, because the deadline or the expiry of the request had
    /// passed right before the send. Says nothing about the leaf.
    Expired,
    /// The attempt failed after bytes may have left; the leaf may have run it.
    Failed,
}

/// Input of the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum RootEvent {
    /// Begin a query.
    Start(Box<StartQuery>),
    /// An attempt ended. Late, duplicate and unknown ones are discarded and counted.
    AttemptEnded {
        /// Query the transport believes it belongs to.
        query: QueryId,
        /// Attempt the transport believes it is.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A polled health report; none if the poll failed.
    LeafHealth {
        /// Which leaf.
        leaf: LeafId,
        /// What it said.
        report: Option<LeafHealth>,
    },
    /// The machine list or a peer says that the leaf is leaving.
    LeafLeaving(LeafId),
    /// The caller went away: cancel what is in flight, no answer is needed.
    CallerGone(QueryId),
    /// The moment returned by `next_wakeup` has come.
    Wakeup,
}

/// One attempt to send. Every field goes into the leaf request.
#[derive(Debug, Clone, PartialEq)]
pub struct SendAttempt {
    /// Query.
    pub query: QueryId,
    /// Attempt.
    pub attempt: AttemptId,
    /// Target.
    pub leaf: LeafId,
    /// Shard asked.
    pub shard: ShardId,
    /// Pinned snapshot.
    pub snapshot: SnapshotVersion,
    /// Attempt ends no later than this.
    pub deadline: Moment,
}

/// Output of the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum RootAction {
    /// Send this attempt now.
    Send(SendAttempt),
    /// Abandon the attempt: drop its connection so that no bytes reach another request.
    Cancel {
        /// Query.
        query: QueryId,
        /// Attempt.
        attempt: AttemptId,
    },
    /// The query is over; exactly one for each `Start` (none after `CallerGone`).
    Finish {
        /// Query.
        query: QueryId,
        /// Its answer.
        answer: QueryAnswer,
    },
}

/// Admission: how many queries per second this root may start, and for how much of a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateShare {
    /// Queries per second; infinite when the table has no limit.
    pub queries_per_second: f64,
    /// Length of the burst allowance.
    pub burst: Duration,
}
