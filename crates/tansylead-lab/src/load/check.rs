//! Checks one answer against what every answer promises: the caller's own request, one snapshot,
//! no shard twice, coverage that adds up. Pure; it knows the JSON of the callers' interface and
//! nothing of the daemon's code.

use crate::load::recorder::{AnswerFigures, QueryResult};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use tansylead_types::{Coverage, Outcome, RequestId, ShardId, SnapshotVersion};

/// Status of a refusal for lack of capacity or configuration.
const UNAVAILABLE: u16 = 503;

/// A query answer as callers receive it. Fields that the checks do not need are left out.
#[derive(Debug, Deserialize)]
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
    #[serde(default)]
    pub results: Vec<CallerResult>,
    /// Attempts sent to leafs.
    #[serde(default)]
    pub attempts: u32,
}

/// Result of one shard.
#[derive(Debug, Deserialize)]
pub struct CallerResult {
    /// Which shard.
    pub shard: ShardId,
    /// JSON of the leaf.
    pub result: Box<RawValue>,
}

/// A refusal before a query was made of the request.
#[derive(Debug, Deserialize)]
struct CallerRefusal {
    outcome: Outcome,
}

/// What the stand-in leaf writes into its result, so that crossed answers show.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LeafEcho {
    request: Option<RequestId>,
    shard: Option<ShardId>,
    snapshot: Option<SnapshotVersion>,
}

/// Why an answer is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AnswerFault {
    /// The answer belongs to another request.
    #[error("asked {asked}, answered {answered}")]
    OtherRequest {
        /// Request id sent.
        asked: RequestId,
        /// Request id in the answer.
        answered: RequestId,
    },
    /// A shard's result belongs to another request.
    #[error("shard {shard} carries the result of request {request}")]
    CrossedResult {
        /// Shard.
        shard: ShardId,
        /// Whose result it is.
        request: RequestId,
    },
    /// A shard's result comes from another snapshot or another shard.
    #[error("shard {shard} carries a result of another shard or snapshot")]
    MixedResult {
        /// Shard.
        shard: ShardId,
    },
    /// A shard is counted twice, among results, missing shards or both.
    #[error("shard {shard} is counted twice")]
    DoubledShard {
        /// Shard.
        shard: ShardId,
    },
    /// Coverage figures disagree with the results.
    #[error("coverage {answered} of {total} with {results} results and {missing} missing")]
    FalseCoverage {
        /// Shards said to be answered.
        answered: u32,
        /// Shards said to be addressed.
        total: u32,
        /// Results present.
        results: usize,
        /// Shards listed as missing.
        missing: usize,
    },
    /// The outcome disagrees with the coverage.
    #[error("outcome {outcome:?} with coverage {answered} of {total}")]
    FalseOutcome {
        /// Outcome stated.
        outcome: Outcome,
        /// Shards said to be answered.
        answered: u32,
        /// Shards said to be addressed.
        total: u32,
    },
}

/// Judges a response: its status, its body and whether it had a `Retry-After` header.
pub fn judge(asked: &RequestId, status: u16, has_retry_after: bool, body: &[u8]) -> QueryResult {
    let Ok(answer) = serde_json::from_slice::<CallerAnswer>(body) else {
        return judge_refusal(status, has_retry_after, body);
    };
    match check_answer(asked, &answer) {
        Err(fault) => QueryResult::Wrong(fault.to_string()),
        Ok(()) => QueryResult::Answered(AnswerFigures {
            outcome: answer.outcome,
            total: answer.coverage.total,
            answered: answer.coverage.answered,
            attempts: answer.attempts,
            has_retry_after,
        }),
    }
}

/// Unavailable and not run is an honest refusal; anything else is a request gone wrong.
fn judge_refusal(status: u16, has_retry_after: bool, body: &[u8]) -> QueryResult {
    let refusal = serde_json::from_slice::<CallerRefusal>(body);
    let is_not_run = refusal.is_ok_and(|refusal| refusal.outcome == Outcome::NotRun);
    if status != UNAVAILABLE || !is_not_run {
        return QueryResult::Rejected(status);
    }
    QueryResult::Answered(AnswerFigures {
        outcome: Outcome::NotRun,
        total: 0,
        answered: 0,
        attempts: 0,
        has_retry_after,
    })
}

/// Checks everything an answer promises about itself.
pub fn check_answer(asked: &RequestId, answer: &CallerAnswer) -> Result<(), AnswerFault> {
    if answer.request != *asked {
        return Err(AnswerFault::OtherRequest {
            asked: asked.clone(),
            answered: answer.request.clone(),
        });
    }
    check_coverage(answer)?;
    check_outcome(answer)?;
    answer
        .results
        .iter()
        .try_for_each(|result| check_result(asked, answer.snapshot, result))
}

fn check_coverage(answer: &CallerAnswer) -> Result<(), AnswerFault> {
    let coverage = &answer.coverage;
    let mut seen = BTreeSet::new();
    let answered = answer.results.iter().map(|result| &result.shard);
    let missing = coverage.missing.iter().map(|missing| &missing.shard);
    for shard in answered.chain(missing) {
        if !seen.insert(shard) {
            return Err(AnswerFault::DoubledShard {
                shard: shard.clone(),
            });
        }
    }
    let all_listed = coverage.answered as usize == answer.results.len();
    let adds_up = seen.len() == coverage.total as usize;
    if all_listed && adds_up {
        return Ok(());
    }
    Err(AnswerFault::FalseCoverage {
        answered: coverage.answered,
        total: coverage.total,
        results: answer.results.len(),
        missing: coverage.missing.len(),
    })
}

fn check_outcome(answer: &CallerAnswer) -> Result<(), AnswerFault> {
    let coverage = &answer.coverage;
    let whole = coverage.answered == coverage.total;
    let agrees = match answer.outcome {
        Outcome::Complete => whole && coverage.total > 0,
        Outcome::Partial => !whole,
        Outcome::NotRun => coverage.answered == 0,
        Outcome::Unknown => true,
    };
    if agrees {
        return Ok(());
    }
    Err(AnswerFault::FalseOutcome {
        outcome: answer.outcome,
        answered: coverage.answered,
        total: coverage.total,
    })
}

fn check_result(
    asked: &RequestId,
    snapshot: Option<SnapshotVersion>,
    result: &CallerResult,
) -> Result<(), AnswerFault> {
    let echo: LeafEcho = serde_json::from_str(result.result.get()).unwrap_or_default();
    if let Some(request) = echo.request.filter(|request| request != asked) {
        return Err(AnswerFault::CrossedResult {
            shard: result.shard.clone(),
            request,
        });
    }
    let other_shard = echo.shard.is_some_and(|shard| shard != result.shard);
    let other_snapshot = echo.snapshot.is_some() && echo.snapshot != snapshot;
    if other_shard || other_snapshot {
        return Err(AnswerFault::MixedResult {
            shard: result.shard.clone(),
        });
    }
    Ok(())
}
