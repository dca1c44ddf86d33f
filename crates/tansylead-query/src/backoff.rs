//! Backoff before a shard is sent again to a replica that failed or refused it. The retry budget is
//! charged before the backoff, so that no query stays open for a retry that the budget then denies.

use crate::context::Context;
use crate::query::Query;
use crate::shard_progress::ShardPhase;
use crate::timers::Timer;
use std::time::Duration;
use tansylead_types::Moment;

/// The backoff is the time left divided by this: long deadlines outlast the restart of a leaf.
const TIME_LEFT_DIVISOR: u32 = 8;
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Shortest backoff; with less time left a shard is given up.
const MIN_BACKOFF: Duration = Duration::from_millis(1);

impl Query {
    /// When a retry of the shard may go out; none if it would come too late.
    pub(crate) fn retry_at(&self, now: Moment) -> Option<Moment> {
        let backoff = self.deadline.since(now) / TIME_LEFT_DIVISOR;
        let at = now + backoff.clamp(MIN_BACKOFF, MAX_BACKOFF);
        (at < self.deadline).then_some(at)
    }

    /// Postpones the next attempt of a shard.
    pub(crate) fn back_off(&mut self, context: &mut Context, position: usize, until: Moment) {
        let shard = &mut self.shards[position];
        shard.phase = ShardPhase::BackingOff(until);
        shard.backed_off = true;
        context.backing_off_shards += 1;
        context
            .timers
            .schedule(until, Timer::Retry(self.id, position));
    }

    /// Dispatches a shard whose backoff has passed.
    pub(crate) fn dispatch_after_backoff(
        &mut self,
        now: Moment,
        context: &mut Context,
        position: usize,
    ) {
        if self.stop_backing_off(context, position) && now < self.deadline {
            self.dispatch(now, context, position);
        }
    }

    /// Ends a backoff early or when it is due. Returns whether there was one.
    pub(crate) fn stop_backing_off(&mut self, context: &mut Context, position: usize) -> bool {
        let Some(shard) = self.shards.get_mut(position) else {
            return false;
        };
        let ShardPhase::BackingOff(until) = shard.phase else {
            return false;
        };
        shard.phase = ShardPhase::Open;
        context.backing_off_shards -= 1;
        context
            .timers
            .cancel(until, Timer::Retry(self.id, position));
        true
    }
}
