//! Checks one reply against what every reply promises: the caller's own request, one snapshot, no
//! shard twice, coverage that is true against the snapshot's shard list, and results that a correct
//! leaf gives for exactly this body.

use super::answer::{CallerAnswer, CallerReply, CallerResult, ReplyBody};
use super::client::CallerRequest;
use super::shards::ShardLists;
use crate::leaf::result::{ShardSearchResult, expected_records};
use std::collections::BTreeSet;
use tansylead_types::{Coverage, Outcome, RequestId, ShardId, SnapshotVersion};

/// Why a reply is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AnswerFault {
    /// The answer belongs to another request.
    #[error("answered request {answered}")]
    OtherRequest {
        /// Request id in the answer.
        answered: RequestId,
    },
    /// A shard's result is not one of the leaf protocol's stand-in.
    #[error("shard {shard}: the result cannot be read: {cause}")]
    UnreadableResult {
        /// Shard.
        shard: ShardId,
        /// In the words of the JSON library.
        cause: String,
    },
    /// A shard's result belongs to another request.
    #[error("shard {shard} carries the result of request {request}")]
    CrossedResult {
        /// Shard.
        shard: ShardId,
        /// Whose result it is.
        request: RequestId,
    },
    /// A shard's result comes from another shard or snapshot.
    #[error("shard {shard} carries a result of shard {found_shard} at {found_snapshot}")]
    MixedResult {
        /// Shard.
        shard: ShardId,
        /// Shard that the leaf searched.
        found_shard: ShardId,
        /// Snapshot that the leaf searched.
        found_snapshot: SnapshotVersion,
    },
    /// A shard's records are not those of this body.
    #[error("shard {shard} carries other records than this query finds")]
    OtherRecords {
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
    /// The shards of the answer are not those of its snapshot.
    #[error("the answer's shards are not those of snapshot {snapshot}")]
    OtherShardList {
        /// Snapshot of the answer.
        snapshot: SnapshotVersion,
    },
    /// The outcome disagrees with the coverage or the status.
    #[error("status {status}, outcome {outcome:?} with coverage {answered} of {total}")]
    FalseOutcome {
        /// HTTP status.
        status: u16,
        /// Outcome stated.
        outcome: Outcome,
        /// Shards said to be answered.
        answered: u32,
        /// Shards said to be addressed.
        total: u32,
    },
    /// Results without a snapshot.
    #[error("results without a snapshot")]
    NoSnapshot,
}

/// Checks everything a reply promises about itself.
///
/// The answer to a key that was sent before may be that of an earlier sending; its results then
/// carry the request id of that sending.
pub fn check_reply(
    request: &CallerRequest,
    shards: &ShardLists,
    reply: &CallerReply,
) -> Result<(), AnswerFault> {
    let ReplyBody::Answer(answer) = &reply.body else {
        return Ok(());
    };
    if answer.request != request.request {
        return Err(AnswerFault::OtherRequest {
            answered: answer.request.clone(),
        });
    }
    check_coverage(answer)?;
    check_outcome(reply.status, answer)?;
    check_shard_list(request, shards, answer)?;
    answer
        .results
        .iter()
        .try_for_each(|result| check_result(request, answer.snapshot, result))
}

fn shards_named(answer: &CallerAnswer) -> impl Iterator<Item = &ShardId> {
    let answered = answer.results.iter().map(|result| &result.shard);
    let missing = answer.coverage.missing.iter().map(|entry| &entry.shard);
    answered.chain(missing)
}

fn check_coverage(answer: &CallerAnswer) -> Result<(), AnswerFault> {
    let coverage = &answer.coverage;
    let mut seen = BTreeSet::new();
    for shard in shards_named(answer) {
        if !seen.insert(shard) {
            return Err(AnswerFault::DoubledShard {
                shard: shard.clone(),
            });
        }
    }
    let all_answered_present = coverage.answered as usize == answer.results.len();
    let adds_up = seen.len() == coverage.total as usize;
    if all_answered_present && adds_up {
        return Ok(());
    }
    Err(AnswerFault::FalseCoverage {
        answered: coverage.answered,
        total: coverage.total,
        results: answer.results.len(),
        missing: coverage.missing.len(),
    })
}

fn check_outcome(status: u16, answer: &CallerAnswer) -> Result<(), AnswerFault> {
    let Coverage {
        answered, total, ..
    } = answer.coverage;
    let agrees = match answer.outcome {
        Outcome::Complete => status == 200 && answered == total && total > 0,
        Outcome::Partial => status != 200 && answered < total,
        Outcome::NotRun => status != 200 && answered == 0,
        Outcome::Unknown => status != 200,
    };
    if agrees {
        return Ok(());
    }
    Err(AnswerFault::FalseOutcome {
        status,
        outcome: answer.outcome,
        answered,
        total,
    })
}

/// A query with a routing key addresses one shard of the list; any other addresses all of them.
fn check_shard_list(
    request: &CallerRequest,
    shards: &ShardLists,
    answer: &CallerAnswer,
) -> Result<(), AnswerFault> {
    let Some(snapshot) = answer.snapshot else {
        return if answer.results.is_empty() {
            Ok(())
        } else {
            Err(AnswerFault::NoSnapshot)
        };
    };
    let other_list = AnswerFault::OtherShardList { snapshot };
    let list = shards
        .get(&request.service, snapshot)
        .ok_or(other_list.clone())?;
    let named: BTreeSet<ShardId> = shards_named(answer).cloned().collect();
    let agrees = match &request.routing_key {
        Some(_) => named.len() == 1 && named.is_subset(list),
        None => named == *list,
    };
    if agrees { Ok(()) } else { Err(other_list) }
}

fn check_result(
    request: &CallerRequest,
    snapshot: Option<SnapshotVersion>,
    result: &CallerResult,
) -> Result<(), AnswerFault> {
    let shard = result.shard.clone();
    let found: ShardSearchResult = serde_json::from_str(result.result.get()).map_err(|cause| {
        AnswerFault::UnreadableResult {
            shard: shard.clone(),
            cause: cause.to_string(),
        }
    })?;
    let is_earlier = request.key.is_some() && request.has_sibling(&found.request);
    if found.request != request.request && !is_earlier {
        return Err(AnswerFault::CrossedResult {
            shard,
            request: found.request,
        });
    }
    if found.shard != shard || Some(found.snapshot) != snapshot {
        return Err(AnswerFault::MixedResult {
            shard,
            found_shard: found.shard,
            found_snapshot: found.snapshot,
        });
    }
    let count = u32::try_from(found.records.len()).unwrap_or(u32::MAX);
    let expected = expected_records(&shard, found.snapshot, &request.query, count);
    if found.records.is_empty() || found.records != expected {
        return Err(AnswerFault::OtherRecords { shard });
    }
    Ok(())
}
