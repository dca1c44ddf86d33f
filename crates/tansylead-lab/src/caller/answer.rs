//! What callers receive.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;
use tansylead_types::{Coverage, Outcome, RequestId, ShardId, SnapshotVersion};

/// An answer to a query.
#[derive(Debug, Clone, Deserialize)]
pub struct CallerAnswer {
    /// Echo of the request id.
    pub request: RequestId,
    /// What happened.
    pub outcome: Outcome,
    /// The pinned snapshot.
    pub snapshot: Option<SnapshotVersion>,
    /// Coverage.
    pub coverage: Coverage,
    /// Results by shard.
    pub results: Vec<CallerResult>,
    /// Attempts sent to leafs.
    pub attempts: u32,
    /// Why the query was refused or given up.
    pub reason: Option<String>,
}

/// Result of one shard.
#[derive(Debug, Clone, Deserialize)]
pub struct CallerResult {
    /// Which shard.
    pub shard: ShardId,
    /// JSON of the leaf.
    pub result: Box<RawValue>,
}

/// A request refused before a query was made of it.
#[derive(Debug, Clone, Deserialize)]
pub struct CallerRefusal {
    /// What is wrong.
    pub error: RefusalDetail,
    /// Whether an earlier request with the same key may have run.
    pub outcome: Outcome,
}

/// What is wrong with a refused request.
#[derive(Debug, Clone, Deserialize)]
pub struct RefusalDetail {
    /// One of a closed set, for programs.
    pub code: String,
    /// For people.
    pub message: String,
}

/// Body of any reply.
#[derive(Debug, Clone)]
pub enum ReplyBody {
    /// An answer to the query.
    Answer(CallerAnswer),
    /// A refusal.
    Refusal(CallerRefusal),
}

/// A whole reply.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// HTTP status.
    pub status: u16,
    /// Whether it says when to come back.
    pub has_retry_after: bool,
    /// Whether the daemon is about to close the connection.
    pub closes_connection: bool,
    /// Time from sending to having it whole.
    pub latency: Duration,
    /// Body.
    pub body: ReplyBody,
}

impl CallerReply {
    /// What happened to the query.
    pub fn outcome(&self) -> Outcome {
        match &self.body {
            ReplyBody::Answer(answer) => answer.outcome,
            ReplyBody::Refusal(refusal) => refusal.outcome,
        }
    }

    /// The answer, if it is one.
    pub fn answer(&self) -> Option<&CallerAnswer> {
        match &self.body {
            ReplyBody::Answer(answer) => Some(answer),
            ReplyBody::Refusal(_) => None,
        }
    }
}

/// Parses the body of a reply.
pub fn parse_body(bytes: &[u8]) -> Result<ReplyBody, serde_json::Error> {
    match serde_json::from_slice(bytes) {
        Ok(answer) => Ok(ReplyBody::Answer(answer)),
        Err(not_an_answer) => serde_json::from_slice(bytes)
            .map(ReplyBody::Refusal)
            .map_err(|_| not_an_answer),
    }
}
