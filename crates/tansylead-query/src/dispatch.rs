//! Dispatch of attempts: which replicas may serve a shard, which of them have room, whether the
//! attempt is charged to the retry budget, and waiting for a slot.

use crate::context::Context;
use crate::event::{RootAction, SendAttempt};
use crate::leaf_state::Waiter;
use crate::leaf_table::LeafIndex;
use crate::query::{Attempt, AttemptState, Query};
use crate::replica_choice::choose_replica;
use crate::shard_progress::{LastEnd, ShardPhase, TriedState};
use tansylead_types::{MissingReason, Moment};

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// The first for the shard.
    First,
    /// The first for the shard after the query restarted.
    Restart,
    /// Follows one that was not sent, or whose leaf is leaving or does not hold the data, on a
    /// replica not tried before.
    Redirect,
    /// Any other attempt that follows one without an answer; charged to the retry budget.
    Retry,
    /// Runs in parallel with a slow one.
    Hedge,
}

/// Replicas of the best class that may serve a shard.
#[derive(Debug)]
pub(crate) struct Candidates {
    /// Leafs of the class, with or without room.
    pub(crate) leafs: Vec<LeafIndex>,
    /// Class that they all belong to.
    pub(crate) class: CandidateClass,
}

/// Classes of replicas, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CandidateClass {
    /// Not tried for the shard yet, and expected to answer.
    GoodStanding,
    /// Not tried for the shard, but ejected, unreachable, or without the snapshot by its health
    /// report.
    LastResort,
    /// Tried before.
    TriedBefore,
}

/// Backoff before the next attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Backoff {
    None,
    Until(Moment),
    ComesTooLate,
}

impl Query {
    /// Sends an attempt for a shard, lets the shard back off or wait for a slot, or gives it up.
    pub(crate) fn dispatch(&mut self, now: Moment, context: &mut Context, position: usize) {
        debug_assert_eq!(self.shards[position].running, 0);
        if self.shards[position].attempts >= context.tuning.maximum_attempts_per_shard {
            return self.give_up(position);
        }
        let candidates = self.candidates(now, context, position);
        if candidates.leafs.is_empty() {
            return self.give_up(position);
        }
        let kind = self.kind_of_next(position, candidates.class);
        let backoff = self.backoff_before(now, position, candidates.class);
        if backoff == Backoff::ComesTooLate {
            return self.give_up(position);
        }
        if kind == AttemptKind::Retry && !self.pay_for_retry(context, position) {
            return self.give_up(position);
        }
        if let Backoff::Until(until) = backoff {
            return self.back_off(context, position, until);
        }
        let with_room = leafs_with_room(now, context, &candidates.leafs);
        let choice = context.tuning.replica_choice;
        let chosen = choose_replica(choice, now, &context.leafs, &with_room, &mut context.random);
        match chosen {
            Some(leaf) => self.send(now, context, position, leaf, kind),
            None => self.wait(context, position, candidates.leafs),
        }
    }

    /// The best class of replicas that may serve a shard.
    pub(crate) fn candidates(&self, now: Moment, context: &Context, position: usize) -> Candidates {
        let shard = &self.shards[position];
        let pinned = self.pinned_shard(position);
        let version = self.snapshot.version;
        let (mut good, mut last_resort, mut tried_before) = (Vec::new(), Vec::new(), Vec::new());
        for index in &pinned.replicas {
            let Some(leaf) = context.leafs.get(*index) else {
                continue;
            };
            if !leaf.may_serve(now, version, &pinned.shard) {
                continue;
            }
            match shard.tried_state(*index) {
                None if leaf.is_last_resort(now)
                    || !leaf.likely_holds(now, version, &pinned.shard) =>
                {
                    last_resort.push(*index);
                }
                None => good.push(*index),
                Some(TriedState::Retryable) => tried_before.push(*index),
                Some(TriedState::Running | TriedState::Excluded) => {}
            }
        }
        let (leafs, class) = if !good.is_empty() {
            (good, CandidateClass::GoodStanding)
        } else if !last_resort.is_empty() {
            (last_resort, CandidateClass::LastResort)
        } else {
            (tried_before, CandidateClass::TriedBefore)
        };
        Candidates { leafs, class }
    }

    /// Sends an attempt.
    pub(crate) fn send(
        &mut self,
        now: Moment,
        context: &mut Context,
        position: usize,
        leaf: LeafIndex,
        kind: AttemptKind,
    ) {
        let Some(leaf_name) = context.leafs.get(leaf).map(|state| state.id().clone()) else {
            return self.give_up(position);
        };
        let attempt = Self::attempt_id(self.attempts.len());
        self.attempts.push(Attempt {
            position,
            leaf,
            sent_at: now,
            state: AttemptState::Running,
        });
        let shard = &mut self.shards[position];
        shard.phase = ShardPhase::Running;
        shard.running += 1;
        shard.attempts += 1;
        shard.retry_paid = false;
        shard.backed_off = false;
        shard.hedged = kind == AttemptKind::Hedge;
        if kind != AttemptKind::Hedge {
            shard.sent_at = now;
        }
        shard.set_tried(leaf, TriedState::Running);
        context.take_slot(now, leaf);
        count_attempt(context, kind);
        context.actions.push(RootAction::Send(SendAttempt {
            query: self.id,
            attempt,
            leaf: leaf_name,
            shard: self.pinned_shard(position).shard.clone(),
            snapshot: self.snapshot.version,
            deadline: self.deadline,
        }));
    }

    /// Dispatches a shard that waited, because a slot is free or its replicas changed.
    pub(crate) fn dispatch_waiting(&mut self, now: Moment, context: &mut Context, position: usize) {
        let waiting = self
            .shards
            .get(position)
            .is_some_and(|shard| shard.phase == ShardPhase::Waiting);
        if !waiting {
            return;
        }
        self.stop_waiting(context, position);
        self.dispatch(now, context, position);
    }

    /// Removes a shard from the waiting sets of all leafs.
    pub(crate) fn stop_waiting(&mut self, context: &mut Context, position: usize) {
        let waiter = self.waiter(position);
        let shard = &mut self.shards[position];
        if shard.phase != ShardPhase::Waiting {
            return;
        }
        shard.phase = ShardPhase::Open;
        for leaf in std::mem::take(&mut shard.waiting_on) {
            if let Some(state) = context.leafs.get_mut(leaf) {
                state.waiting.remove(&waiter);
            }
        }
        context.waiting_shards -= 1;
    }

    /// Cancels an attempt if it is in flight.
    pub(crate) fn cancel_attempt(&mut self, now: Moment, context: &mut Context, index: usize) {
        let attempt = &mut self.attempts[index];
        if attempt.state != AttemptState::Running {
            return;
        }
        attempt.state = AttemptState::Cancelled;
        let (leaf, position, sent_at) = (attempt.leaf, attempt.position, attempt.sent_at);
        self.shards[position].running -= 1;
        self.result_unknown = true;
        let elapsed = now.since(sent_at);
        if let Some(state) = context.leafs.get_mut(leaf) {
            state.latency.record_at_least(now, elapsed);
        }
        context.hedge_delay.record(now, elapsed);
        context.counters.attempts_cancelled += 1;
        let attempt = Self::attempt_id(index);
        context.hold_slot(now, self.id, attempt, leaf, self.snapshot.version);
        context.actions.push(RootAction::Cancel {
            query: self.id,
            attempt,
        });
    }

    /// Gives a shard up for its most recently recorded reason.
    pub(crate) fn give_up(&mut self, position: usize) {
        let reason = self.shards[position].reason;
        let lost = matches!(
            reason,
            MissingReason::NoReplica | MissingReason::SnapshotGone
        );
        self.snapshot_lost |= lost;
        self.settle(position, ShardPhase::Missing(reason));
    }

    fn kind_of_next(&self, position: usize, class: CandidateClass) -> AttemptKind {
        let shard = &self.shards[position];
        let untried = class != CandidateClass::TriedBefore;
        match shard.last_end {
            LastEnd::None if self.pinned_versions.len() > 1 => AttemptKind::Restart,
            LastEnd::None => AttemptKind::First,
            LastEnd::Redirected if untried => AttemptKind::Redirect,
            LastEnd::Redirected | LastEnd::NeedsBudget => AttemptKind::Retry,
        }
    }

    fn backoff_before(&self, now: Moment, position: usize, class: CandidateClass) -> Backoff {
        if class != CandidateClass::TriedBefore || self.shards[position].backed_off {
            return Backoff::None;
        }
        let until = self.retry_at(now);
        until.map_or(Backoff::ComesTooLate, Backoff::Until)
    }

    fn pay_for_retry(&mut self, context: &mut Context, position: usize) -> bool {
        let shard = &mut self.shards[position];
        if !shard.retry_paid {
            shard.retry_paid = context.budget.try_take_for_retry();
            context.counters.budget_exhausted += u64::from(!shard.retry_paid);
        }
        shard.retry_paid
    }

    fn wait(&mut self, context: &mut Context, position: usize, leafs: Vec<LeafIndex>) {
        let waiter = self.waiter(position);
        for leaf in &leafs {
            if let Some(state) = context.leafs.get_mut(*leaf) {
                state.waiting.insert(waiter);
            }
        }
        let shard = &mut self.shards[position];
        shard.phase = ShardPhase::Waiting;
        shard.waiting_on = leafs;
        context.waiting_shards += 1;
    }

    fn waiter(&self, position: usize) -> Waiter {
        Waiter {
            deadline: self.deadline,
            query: self.id,
            position,
        }
    }
}

/// The leafs that may start another attempt now.
pub(crate) fn leafs_with_room(
    now: Moment,
    context: &Context,
    leafs: &[LeafIndex],
) -> Vec<LeafIndex> {
    let has_room = |index: &LeafIndex| {
        let leaf = context.leafs.get(*index);
        leaf.is_some_and(|leaf| leaf.has_room(now))
    };
    leafs.iter().copied().filter(has_room).collect()
}

fn count_attempt(context: &mut Context, kind: AttemptKind) {
    let counters = &mut context.counters;
    match kind {
        AttemptKind::First => {
            counters.attempts_first += 1;
            context.budget.deposit();
        }
        AttemptKind::Restart => counters.attempts_restart += 1,
        AttemptKind::Redirect => counters.attempts_redirect += 1,
        AttemptKind::Retry => counters.attempts_retry += 1,
        AttemptKind::Hedge => counters.attempts_hedge += 1,
    }
}
