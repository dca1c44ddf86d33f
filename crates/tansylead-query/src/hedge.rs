//! Hedging: a second attempt for a slow shard on another replica that has room, charged to the
//! retry budget. Only repeatable queries are hedged, each attempt at most once.

use crate::context::Context;
use crate::dispatch::{AttemptKind, CandidateClass, leafs_with_room};
use crate::query::Query;
use crate::replica_choice::choose_replica;
use crate::shard_progress::{ShardPhase, ShardProgress};
use crate::timers::Timer;
use std::time::Duration;
use tansylead_types::Moment;

/// A slow shard that could not be hedged, for lack of room or budget, is checked again after the
/// learned delay divided by this.
const RECHECK_DIVISOR: u32 = 20;
/// Shortest time before it is checked again.
const MIN_RECHECK: Duration = Duration::from_millis(5);
/// Until a delay has been learned, the hedge is sent after the time left divided by this.
const TIME_LEFT_DIVISOR_WITHOUT_DELAY: u32 = 2;

impl Query {
    /// Schedules the next check for slow attempts, unless one is scheduled.
    pub(crate) fn schedule_hedges(&mut self, now: Moment, context: &mut Context) {
        let enabled = context.tuning.hedging && self.request.is_repeatable();
        if !enabled || self.hedge_timer.is_some() {
            return;
        }
        let delay = context.hedge_delay.delay(now);
        let unhedged = self.shards.iter().filter(|shard| is_hedgeable(shard));
        let Some(earliest) = unhedged.map(|shard| self.hedge_due_at(shard, delay)).min() else {
            return;
        };
        let at = if earliest <= now {
            now + (delay.unwrap_or_default() / RECHECK_DIVISOR).max(MIN_RECHECK)
        } else {
            earliest
        };
        if at < self.deadline {
            self.hedge_timer = Some(at);
            context.timers.schedule(at, Timer::Hedge(self.id));
        }
    }

    /// Hedges every slow shard for which the budget and a replica allow it.
    pub(crate) fn hedge_slow_shards(&mut self, now: Moment, context: &mut Context) {
        self.hedge_timer = None;
        if now >= self.deadline {
            return;
        }
        let delay = context.hedge_delay.delay(now);
        for position in 0..self.shards.len() {
            let shard = &self.shards[position];
            if is_hedgeable(shard) && self.hedge_due_at(shard, delay) <= now {
                self.hedge(now, context, position);
            }
        }
    }

    fn hedge(&mut self, now: Moment, context: &mut Context, position: usize) {
        if self.shards[position].attempts >= context.tuning.maximum_attempts_per_shard {
            return;
        }
        let candidates = self.candidates(now, context, position);
        if candidates.class != CandidateClass::GoodStanding {
            return;
        }
        let with_room = leafs_with_room(now, context, &candidates.leafs);
        let choice = context.tuning.replica_choice;
        let chosen = choose_replica(choice, now, &context.leafs, &with_room, &mut context.random);
        let Some(leaf) = chosen else {
            return;
        };
        if context.budget.try_take_for_hedge() {
            self.send(now, context, position, leaf, AttemptKind::Hedge);
        } else {
            context.counters.budget_exhausted += 1;
        }
    }

    fn hedge_due_at(&self, shard: &ShardProgress, delay: Option<Duration>) -> Moment {
        let time_left = self.deadline.since(shard.sent_at);
        let delay = delay.unwrap_or(time_left / TIME_LEFT_DIVISOR_WITHOUT_DELAY);
        shard.sent_at + delay
    }
}

fn is_hedgeable(shard: &ShardProgress) -> bool {
    shard.phase == ShardPhase::Running && shard.running == 1 && !shard.hedged
}
