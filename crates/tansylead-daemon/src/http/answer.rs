//! Converts a [`QueryAnswer`] into an HTTP response.

use super::error::{ApiError, round_up_millis, round_up_seconds};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;
use tansylead_types::{Coverage, Outcome, QueryAnswer, RequestId, ShardId, SnapshotVersion};

/// Body of an answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Echo of the request id.
    pub request: RequestId,
    /// Outcome of the query.
    pub outcome: Outcome,
    /// The pinned snapshot.
    pub snapshot: Option<SnapshotVersion>,
    /// Which shards answered and which are missing.
    pub coverage: Coverage,
    /// Results, ordered by shard.
    pub results: Vec<ResultBody>,
    /// Attempts sent to leafs.
    pub attempts: u32,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Explanation for people.
    pub reason: Option<String>,
}

/// The answer of one shard.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResultBody {
    /// The shard.
    pub shard: ShardId,
    /// As the leaf returned it.
    pub result: Box<RawValue>,
}

/// HTTP status of an outcome.
pub(super) fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Complete => StatusCode::OK,
        Outcome::Partial => StatusCode::MULTI_STATUS,
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// The label of an outcome in metrics.
pub(super) fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "complete",
        Outcome::Partial => "partial",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}

/// The answer as an HTTP response.
pub(super) fn response(answer: QueryAnswer) -> Result<Response<Full<Bytes>>, ApiError> {
    let internal = |cause: String| ApiError::Internal { cause };
    let retry_after = answer.retry_after;
    let outcome = answer.outcome;
    let body = answer_body(answer, retry_after).map_err(|cause| internal(cause.to_string()))?;
    let text = serde_json::to_vec(&body).map_err(|cause| internal(cause.to_string()))?;
    let mut builder = Response::builder()
        .status(status_of(outcome))
        .header(CONTENT_TYPE, "application/json");
    if let Some(retry_after) = retry_after {
        builder = builder.header(RETRY_AFTER, round_up_seconds(retry_after));
    }
    builder
        .body(Full::new(Bytes::from(text)))
        .map_err(|cause| internal(cause.to_string()))
}

fn answer_body(
    answer: QueryAnswer,
    retry_after: Option<Duration>,
) -> Result<AnswerBody, serde_json::Error> {
    let mut results = Vec::with_capacity(answer.results.len());
    for result in answer.results {
        results.push(ResultBody {
            shard: result.shard,
            result: RawValue::from_string(result.result)?,
        });
    }
    Ok(AnswerBody {
        request: answer.request,
        outcome: answer.outcome,
        snapshot: answer.snapshot,
        coverage: answer.coverage,
        results,
        attempts: answer.attempts,
        retry_after_ms: retry_after.map(round_up_millis),
        reason: answer.reason,
    })
}
