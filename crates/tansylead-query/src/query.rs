//! One query in progress: the pinned snapshot, the progress of every addressed shard and all
//! attempts. Dispatch, attempt ends, hedges, restarts and the final answer each have their own
//! module with an `impl Query`.
//!
//! Invariants: results and coverage belong to the pinned snapshot only; a shard is answered at
//! most once; an attempt of a non-repeatable query is followed by another for the same shard only
//! if it certainly did not run.

use crate::context::Context;
use crate::event::StartQuery;
use crate::leaf_table::LeafIndex;
use crate::shard_progress::{ShardPhase, ShardProgress};
use crate::snapshot_choice::{PinnedShard, PinnedSnapshot};
use crate::timers::Timer;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{
    AttemptId, Moment, QueryId, QueryRequest, ServicePolicy, SnapshotVersion, WaitPolicy,
};

/// State of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// In flight.
    Running,
    /// Its end was reported.
    Ended,
    /// Cancelled before its end was reported.
    Cancelled,
}

/// One attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// Position of the shard in the query.
    pub(crate) position: usize,
    /// Leaf it was sent to.
    pub(crate) leaf: LeafIndex,
    /// When it was sent.
    pub(crate) sent_at: Moment,
    /// Whether it is in flight, ended or cancelled.
    pub(crate) state: AttemptState,
}

/// One query in progress.
#[derive(Debug)]
pub(crate) struct Query {
    /// Id, unique within the engine.
    pub(crate) id: QueryId,
    /// The caller's request.
    pub(crate) request: QueryRequest,
    /// When the caller must have its answer.
    pub(crate) deadline: Moment,
    /// When a partial answer is first allowed before the deadline.
    pub(crate) early_partial_at: Option<Moment>,
    /// Least fraction of shards answered for an early partial answer.
    pub(crate) minimum_coverage: f64,
    /// Snapshot that the query is pinned to.
    pub(crate) snapshot: Arc<PinnedSnapshot>,
    /// Addressed shards in order of name.
    pub(crate) shards: Vec<ShardProgress>,
    /// Attempts, indexed by attempt id.
    pub(crate) attempts: Vec<Attempt>,
    /// Number of shards neither answered nor given up.
    pub(crate) unsettled: usize,
    /// Number of shards answered.
    pub(crate) answered: usize,
    /// Number of attempts that certainly did not run.
    pub(crate) certainly_not_run: u32,
    /// Whether an attempt may have run and its result is unknown.
    pub(crate) result_unknown: bool,
    /// Snapshots that the query has been pinned to, the current one last.
    pub(crate) pinned_versions: Vec<SnapshotVersion>,
    /// Whether a shard lost its last replica since the snapshot was pinned.
    pub(crate) snapshot_lost: bool,
    /// When the next check for slow attempts is due.
    pub(crate) hedge_timer: Option<Moment>,
    /// Longest `retry_after` that a leaf requested.
    pub(crate) retry_hint: Option<Duration>,
}

impl Query {
    /// A query pinned to a snapshot, with nothing sent yet.
    pub(crate) fn new(
        now: Moment,
        start: StartQuery,
        snapshot: Arc<PinnedSnapshot>,
        policy: &ServicePolicy,
    ) -> Self {
        let shards = addressed_shards(&snapshot, &start.request);
        let early_partial_at = match policy.wait {
            WaitPolicy::EarlyPartial { after_millis } if start.request.is_repeatable() => {
                Some(now + Duration::from_millis(after_millis))
            }
            _ => None,
        };
        Self {
            id: start.query,
            request: start.request,
            deadline: start.deadline,
            early_partial_at,
            minimum_coverage: policy.minimum_coverage,
            unsettled: shards.len(),
            shards,
            attempts: Vec::new(),
            answered: 0,
            certainly_not_run: 0,
            result_unknown: false,
            pinned_versions: vec![snapshot.version],
            snapshot,
            snapshot_lost: false,
            hedge_timer: None,
            retry_hint: None,
        }
    }

    /// Schedules the deadline and the early partial answer.
    pub(crate) fn schedule_timers(&self, context: &mut Context) {
        context.timers.schedule_deadline(self.deadline, self.id);
        if let Some(at) = self.early_partial_at {
            context.timers.schedule(at, Timer::EarlyPartial(self.id));
        }
    }

    /// Removes all timers.
    pub(crate) fn cancel_timers(&mut self, context: &mut Context) {
        context.timers.cancel_deadline(self.deadline, self.id);
        if let Some(at) = self.early_partial_at {
            context.timers.cancel(at, Timer::EarlyPartial(self.id));
        }
        if let Some(at) = self.hedge_timer.take() {
            context.timers.cancel(at, Timer::Hedge(self.id));
        }
    }

    /// A shard of the query as the pinned snapshot lists it.
    pub(crate) fn pinned_shard(&self, position: usize) -> &PinnedShard {
        &self.snapshot.shards[self.shards[position].snapshot_position]
    }

    /// Cancels every attempt, wait and backoff; the other timers stay.
    pub(crate) fn cancel_everything(&mut self, now: Moment, context: &mut Context) {
        for attempt in 0..self.attempts.len() {
            self.cancel_attempt(now, context, attempt);
        }
        for position in 0..self.shards.len() {
            self.stop_waiting(context, position);
            self.stop_backing_off(context, position);
        }
    }

    /// Whether every shard is answered or given up, or an early partial answer is allowed and good
    /// enough.
    pub(crate) fn is_over(&self, now: Moment) -> bool {
        self.unsettled == 0 || self.may_answer_early(now)
    }

    fn may_answer_early(&self, now: Moment) -> bool {
        if self.early_partial_at.is_none_or(|at| now < at) {
            return false;
        }
        let coverage = self.answered as f64 / self.shards.len() as f64;
        coverage >= self.minimum_coverage
    }

    /// Takes replicas from a newer configuration if its snapshot lists the same shards.
    pub(crate) fn refresh_replicas(&mut self, snapshot: Option<&Arc<PinnedSnapshot>>) {
        if let Some(snapshot) = snapshot
            && snapshot.has_same_shards(&self.snapshot)
        {
            self.snapshot = Arc::clone(snapshot);
        }
    }

    /// Marks a shard as answered or given up.
    pub(crate) fn settle(&mut self, position: usize, phase: ShardPhase) {
        let shard = &mut self.shards[position];
        debug_assert!(!shard.is_settled(), "a shard is settled once");
        self.answered += usize::from(matches!(phase, ShardPhase::Answered(_)));
        shard.phase = phase;
        self.unsettled -= 1;
    }

    /// The id of an attempt.
    pub(crate) fn attempt_id(attempt: usize) -> AttemptId {
        AttemptId(u32::try_from(attempt).unwrap_or(u32::MAX))
    }
}

/// Fresh progress for the shards that a request addresses.
pub(crate) fn addressed_shards(
    snapshot: &PinnedSnapshot,
    request: &QueryRequest,
) -> Vec<ShardProgress> {
    let addressed = snapshot.addressed(request.routing_key.as_deref());
    addressed.map(ShardProgress::new).collect()
}
