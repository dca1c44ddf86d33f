//! Handling of the end of an attempt: checks every echoed field, updates the state of the leaf and
//! decides the next step for the shard.

use crate::context::Context;
use crate::event::AttemptResult;
use crate::leaf_table::LeafIndex;
use crate::leaving::LeavingSignal;
use crate::query::{Attempt, AttemptState, Query};
use crate::shard_progress::{LastEnd, ShardPhase, TriedState};
use crate::timers::Timer;
use std::time::Duration;
use tansylead_types::leaf::{LeafAnswer, LeafRefusal, RefusalReason};
use tansylead_types::{AttemptId, MissingReason, Moment, QueryId};

/// What an attempt that ended without an answer means for its shard.
#[derive(Debug, Clone, Copy)]
struct NoAnswer {
    /// Whether the attempt certainly did not run.
    certainly_not_run: bool,
    /// Whether the leaf may be tried again for the shard.
    tried_state: TriedState,
    /// How the attempt ended, which decides whether the next one needs the retry budget.
    last_end: LastEnd,
    /// Reason to report if nothing is left to try.
    reason: MissingReason,
    /// Whether another attempt can be useful.
    may_retry: bool,
}

const FAILED: NoAnswer = NoAnswer {
    certainly_not_run: false,
    tried_state: TriedState::Retryable,
    last_end: LastEnd::NeedsBudget,
    reason: MissingReason::Failed,
    may_retry: true,
};

const NOT_SENT: NoAnswer = NoAnswer {
    certainly_not_run: true,
    last_end: LastEnd::Redirected,
    ..FAILED
};

/// The deadline or the expiry has passed, so a later attempt cannot be in time either.
const EXPIRED: NoAnswer = NoAnswer {
    certainly_not_run: true,
    tried_state: TriedState::Excluded,
    last_end: LastEnd::NeedsBudget,
    reason: MissingReason::DeadlineExceeded,
    may_retry: false,
};

impl Query {
    /// Handles the end of an attempt that has not been cancelled.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Moment,
        context: &mut Context,
        id: AttemptId,
        result: AttemptResult,
    ) {
        let index = id.0 as usize;
        let Some(attempt) = self.attempts.get_mut(index) else {
            context.counters.answers_mismatched += 1;
            return;
        };
        match attempt.state {
            AttemptState::Ended => {
                context.counters.answers_duplicate += 1;
                return;
            }
            AttemptState::Cancelled => {
                context.counters.answers_late += 1;
                let leaf = attempt.leaf;
                return record_late_end(now, context, leaf, self.id, id, &result);
            }
            AttemptState::Running => attempt.state = AttemptState::Ended,
        }
        let attempt = *attempt;
        self.shards[attempt.position].running -= 1;
        context.free_slot(attempt.leaf);
        match result {
            AttemptResult::Answered(answer)
                if self.answer_matches(context, id, &attempt, &answer) =>
            {
                self.on_answer(now, context, attempt, answer);
            }
            AttemptResult::Refused(refusal) if self.is_refusal_of(context, id, &refusal) => {
                let no_answer = self.on_refusal(now, context, attempt, &refusal);
                self.on_no_answer(now, context, attempt, no_answer);
            }
            AttemptResult::Expired => {
                self.on_no_answer(now, context, attempt, EXPIRED);
            }
            AttemptResult::NotSent => {
                context.counters.attempts_not_sent += 1;
                record_unsent_attempt(now, context, attempt.leaf);
                self.on_no_answer(now, context, attempt, NOT_SENT);
            }
            other => {
                let mismatched = !matches!(other, AttemptResult::Failed);
                context.counters.answers_mismatched += u64::from(mismatched);
                context.counters.attempts_failed += 1;
                record_failed_attempt(now, context, attempt);
                self.on_no_answer(now, context, attempt, FAILED);
            }
        }
    }

    fn answer_matches(
        &self,
        context: &Context,
        id: AttemptId,
        attempt: &Attempt,
        answer: &LeafAnswer,
    ) -> bool {
        let pinned = self.pinned_shard(attempt.position);
        answer.request == self.request.request
            && is_own_root(context, &answer.root)
            && answer.query == self.id
            && answer.attempt == id
            && answer.shard == pinned.shard
            && answer.snapshot == self.snapshot.version
    }

    fn is_refusal_of(&self, context: &Context, id: AttemptId, refusal: &LeafRefusal) -> bool {
        refusal_matches(context, self.id, id, refusal)
    }

    fn on_answer(
        &mut self,
        now: Moment,
        context: &mut Context,
        attempt: Attempt,
        answer: LeafAnswer,
    ) {
        record_answer(now, context, attempt, &answer);
        self.cancel_other_attempts(now, context, attempt.position);
        self.settle(attempt.position, ShardPhase::Answered(answer.result));
    }

    /// Cancels the other attempts of a shard that has been answered.
    fn cancel_other_attempts(&mut self, now: Moment, context: &mut Context, position: usize) {
        if self.shards[position].running == 0 {
            return;
        }
        for index in 0..self.attempts.len() {
            if self.attempts[index].position == position {
                self.cancel_attempt(now, context, index);
            }
        }
    }

    fn on_no_answer(
        &mut self,
        now: Moment,
        context: &mut Context,
        attempt: Attempt,
        no_answer: NoAnswer,
    ) {
        self.certainly_not_run += u32::from(no_answer.certainly_not_run);
        self.result_unknown |= !no_answer.certainly_not_run;
        let may_retry = no_answer.may_retry
            && context.tuning.retries
            && (self.request.is_repeatable() || no_answer.certainly_not_run);
        let shard = &mut self.shards[attempt.position];
        shard.set_tried(attempt.leaf, no_answer.tried_state);
        shard.last_end = no_answer.last_end;
        shard.reason = no_answer.reason;
        if shard.running > 0 {
            return;
        }
        if may_retry {
            self.dispatch(now, context, attempt.position);
        } else {
            self.give_up(attempt.position);
        }
    }

    fn on_refusal(
        &mut self,
        now: Moment,
        context: &mut Context,
        attempt: Attempt,
        refusal: &LeafRefusal,
    ) -> NoAnswer {
        if let Some(state) = context.leafs.get_mut(attempt.leaf) {
            state.on_reply(now);
        }
        context.record_in_band_load(now, attempt.leaf, &refusal.load);
        match refusal.reason {
            RefusalReason::Overloaded => self.on_overloaded(now, context, attempt.leaf, refusal),
            RefusalReason::Draining => {
                context.counters.refused_draining += 1;
                context.record_leaving(now, attempt.leaf, LeavingSignal::InBand);
                redirect(MissingReason::NoReplica)
            }
            RefusalReason::SnapshotNotHeld | RefusalReason::ShardNotHeld => {
                self.on_not_held(now, context, attempt, refusal.reason)
            }
            RefusalReason::Expired => {
                context.counters.refused_expired += 1;
                // A repeatable query has no expiry, and by this root's clock it has time left.
                NoAnswer {
                    may_retry: self.request.is_repeatable(),
                    ..EXPIRED
                }
            }
        }
    }

    fn on_overloaded(
        &mut self,
        now: Moment,
        context: &mut Context,
        leaf: LeafIndex,
        refusal: &LeafRefusal,
    ) -> NoAnswer {
        context.counters.refused_overloaded += 1;
        let requested_pause = refusal.retry_after_millis.map(Duration::from_millis);
        self.retry_hint = self.retry_hint.max(requested_pause);
        let adaptive = context.tuning.adaptive_limit;
        if let Some(state) = context.leafs.get_mut(leaf) {
            let until = state.limit.on_overload(now, requested_pause, adaptive);
            context.timers.schedule(until, Timer::Leaf(leaf));
        }
        NoAnswer {
            certainly_not_run: true,
            reason: MissingReason::Overloaded,
            ..FAILED
        }
    }

    fn on_not_held(
        &mut self,
        now: Moment,
        context: &mut Context,
        attempt: Attempt,
        reason: RefusalReason,
    ) -> NoAnswer {
        context.counters.refused_not_held += 1;
        let version = self.snapshot.version;
        if reason == RefusalReason::ShardNotHeld {
            let shard = &self.pinned_shard(attempt.position).shard;
            context.record_shard_not_held(now, attempt.leaf, version, shard);
        } else {
            context.record_snapshot_not_held(now, attempt.leaf, version);
        }
        redirect(MissingReason::SnapshotGone)
    }
}

/// The leaf cannot serve the shard, but another replica is likely to.
fn redirect(reason: MissingReason) -> NoAnswer {
    NoAnswer {
        certainly_not_run: true,
        tried_state: TriedState::Excluded,
        last_end: LastEnd::Redirected,
        reason,
        may_retry: true,
    }
}

/// Updates the state of the leaf from the end of an attempt that had been cancelled.
pub(crate) fn record_late_end(
    now: Moment,
    context: &mut Context,
    leaf: LeafIndex,
    query: QueryId,
    attempt: AttemptId,
    result: &AttemptResult,
) {
    match result {
        AttemptResult::Answered(answer)
            if answer.query == query
                && answer.attempt == attempt
                && is_own_root(context, &answer.root) =>
        {
            context.record_in_band_load(now, leaf, &answer.load);
        }
        AttemptResult::Refused(refusal) if refusal_matches(context, query, attempt, refusal) => {
            context.record_in_band_load(now, leaf, &refusal.load);
            if refusal.reason == RefusalReason::Draining {
                context.record_leaving(now, leaf, LeavingSignal::InBand);
            }
        }
        _ => {}
    }
}

/// Whether the end of an attempt says that its leaf does not hold the snapshot.
pub(crate) fn is_snapshot_refusal(
    context: &Context,
    query: QueryId,
    attempt: AttemptId,
    result: &AttemptResult,
) -> bool {
    match result {
        AttemptResult::Refused(refusal) => {
            refusal.reason == RefusalReason::SnapshotNotHeld
                && refusal_matches(context, query, attempt, refusal)
        }
        _ => false,
    }
}

fn refusal_matches(
    context: &Context,
    query: QueryId,
    attempt: AttemptId,
    refusal: &LeafRefusal,
) -> bool {
    is_own_root(context, &refusal.root) && refusal.query == query && refusal.attempt == attempt
}

fn is_own_root(context: &Context, echoed: &str) -> bool {
    let name = context.root_name.as_deref();
    name.is_none_or(|name| name == echoed)
}

fn record_answer(now: Moment, context: &mut Context, attempt: Attempt, answer: &LeafAnswer) {
    let latency = now.since(attempt.sent_at);
    context.hedge_delay.record(now, latency);
    let mut belief_changed = false;
    if let Some(state) = context.leafs.get_mut(attempt.leaf) {
        state.on_reply(now);
        state.latency.record(now, latency);
        state.limit.on_success(now);
        belief_changed = state.snapshots.on_answer(now, answer.snapshot);
    }
    if belief_changed {
        context.leafs.advance_epoch();
    }
    context.record_in_band_load(now, attempt.leaf, &answer.load);
    context.eject_stragglers(now);
}

fn record_failed_attempt(now: Moment, context: &mut Context, attempt: Attempt) {
    if let Some(state) = context.leafs.get_mut(attempt.leaf) {
        let elapsed = now.since(attempt.sent_at);
        state.latency.record_at_least(now, elapsed);
    }
    context.record_failure(now, attempt.leaf);
}

fn record_unsent_attempt(now: Moment, context: &mut Context, leaf: LeafIndex) {
    if let Some(state) = context.leafs.get_mut(leaf) {
        state.leaving.on_unreachable();
    }
    context.record_failure(now, leaf);
}
