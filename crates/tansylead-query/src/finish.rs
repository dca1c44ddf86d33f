//! The final answer of a query: outcome, actual coverage of the pinned snapshot, and `retry_after`.

use crate::context::Context;
use crate::event::{RootAction, StartQuery};
use crate::query::Query;
use crate::shard_progress::{ShardPhase, ShardProgress};
use std::time::Duration;
use tansylead_types::{
    Coverage, MissingReason, MissingShard, Moment, Outcome, QueryAnswer, ShardResult,
};

/// Least `retry_after`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Least `retry_after` if the configuration or the leafs must change first.
pub(crate) const RETRY_AFTER_WITHOUT_REPLICAS: Duration = Duration::from_secs(1);

impl Query {
    /// Ends the query: cancels what is in flight and builds the answer.
    pub(crate) fn finish(mut self, now: Moment, context: &mut Context) -> RootAction {
        self.cancel_timers(context);
        self.cancel_everything(now, context);
        let outcome = self.outcome();
        count_outcome(context, outcome);
        let coverage = self.coverage(outcome);
        let retry_after = self.retry_after(now, context, outcome, &coverage);
        RootAction::Finish {
            query: self.id,
            answer: QueryAnswer {
                outcome,
                snapshot: Some(self.snapshot.version),
                reason: reason_text(&coverage),
                coverage,
                retry_after,
                attempts: u32::try_from(self.attempts.len()).unwrap_or(u32::MAX),
                results: self.take_results(),
                request: self.request.request,
            },
        }
    }

    fn outcome(&self) -> Outcome {
        if self.answered == self.shards.len() {
            Outcome::Complete
        } else if !self.may_have_run() {
            Outcome::NotRun
        } else if self.request.is_repeatable() || !self.result_unknown {
            Outcome::Partial
        } else {
            Outcome::Unknown
        }
    }

    /// Whether any attempt may have run.
    fn may_have_run(&self) -> bool {
        self.attempts.len() > self.certainly_not_run as usize
    }

    fn coverage(&self, outcome: Outcome) -> Coverage {
        let unanswered = |shard: &ShardProgress| {
            let reason = missing_reason(shard, outcome)?;
            Some(MissingShard {
                shard: self.snapshot.shards[shard.snapshot_position].shard.clone(),
                reason,
            })
        };
        Coverage {
            total: as_count(self.shards.len()),
            answered: as_count(self.answered),
            missing: self.shards.iter().filter_map(unanswered).collect(),
        }
    }

    fn take_results(&mut self) -> Vec<ShardResult> {
        let mut results = Vec::with_capacity(self.answered);
        for shard in &mut self.shards {
            if let ShardPhase::Answered(result) = &mut shard.phase {
                results.push(ShardResult {
                    shard: self.snapshot.shards[shard.snapshot_position].shard.clone(),
                    result: std::mem::take(result),
                });
            }
        }
        results
    }

    fn retry_after(
        &self,
        now: Moment,
        context: &mut Context,
        outcome: Outcome,
        coverage: &Coverage,
    ) -> Option<Duration> {
        let has = |reason| coverage.missing.iter().any(|shard| shard.reason == reason);
        let lacks_capacity = has(MissingReason::Overloaded);
        let lacks_replica = has(MissingReason::NoReplica) || has(MissingReason::SnapshotGone);
        let wanted = outcome == Outcome::NotRun || (outcome == Outcome::Partial && lacks_capacity);
        if !wanted {
            return None;
        }
        let least = if lacks_replica && !lacks_capacity {
            RETRY_AFTER_WITHOUT_REPLICAS
        } else {
            MIN_RETRY_AFTER
        };
        let hint = self.retry_hint.unwrap_or_default();
        let wait = context.expected_wait(now, 0);
        Some(context.jittered(least.max(hint).max(wait)))
    }
}

/// The answer to a query that is refused before a snapshot is pinned.
pub(crate) fn refuse(
    context: &mut Context,
    start: StartQuery,
    retry_after: Duration,
    reason: &str,
) -> RootAction {
    count_outcome(context, Outcome::NotRun);
    RootAction::Finish {
        query: start.query,
        answer: QueryAnswer {
            request: start.request.request,
            outcome: Outcome::NotRun,
            snapshot: None,
            coverage: Coverage::default(),
            results: Vec::new(),
            retry_after: Some(context.jittered(retry_after)),
            reason: Some(reason.to_owned()),
            attempts: 0,
        },
    }
}

/// Why a shard is missing; none if it was answered.
fn missing_reason(shard: &ShardProgress, outcome: Outcome) -> Option<MissingReason> {
    match &shard.phase {
        ShardPhase::Answered(_) => None,
        ShardPhase::Missing(reason) => Some(*reason),
        ShardPhase::BackingOff(_) => Some(shard.reason),
        ShardPhase::Open | ShardPhase::Waiting | ShardPhase::Running => {
            let never_asked = shard.attempts == 0 && outcome == Outcome::NotRun;
            Some(if never_asked {
                MissingReason::NotAsked
            } else {
                MissingReason::DeadlineExceeded
            })
        }
    }
}

fn reason_text(coverage: &Coverage) -> Option<String> {
    let first = coverage.missing.first()?;
    let cause = match first.reason {
        MissingReason::NoReplica => "no live replica",
        MissingReason::DeadlineExceeded => "no answer in time",
        MissingReason::Overloaded => "replicas are overloaded",
        MissingReason::Failed => "attempts failed",
        MissingReason::SnapshotGone => "replicas no longer hold the snapshot",
        MissingReason::NotAsked => "no slot became free in time",
    };
    let missing = coverage.missing.len();
    let total = coverage.total;
    Some(format!(
        "{missing} of {total} shards missing; {}: {cause}",
        first.shard
    ))
}

fn as_count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn count_outcome(context: &mut Context, outcome: Outcome) {
    let counters = &mut context.counters;
    match outcome {
        Outcome::Complete => counters.queries_complete += 1,
        Outcome::Partial => counters.queries_partial += 1,
        Outcome::NotRun => counters.queries_not_run += 1,
        Outcome::Unknown => counters.queries_unknown += 1,
    }
}
