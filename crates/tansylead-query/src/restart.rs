//! Restart of a query on another snapshot when the pinned one goes away. Results of two snapshots
//! are never mixed: those of the old one are dropped and its attempts cancelled.

use crate::context::Context;
use crate::query::{Query, addressed_shards};
use crate::snapshot_choice::{PinnedSnapshot, SnapshotCatalog};
use std::sync::Arc;
use tansylead_types::Moment;

/// A query restarts only if at least this many typical latencies are left before the deadline.
const MIN_LATENCIES_LEFT: u32 = 2;

impl Query {
    /// Restarts if a shard lost its last replica and another snapshot has a live replica of every
    /// shard.
    pub(crate) fn restart_if_useful(
        &mut self,
        now: Moment,
        context: &mut Context,
        catalog: &SnapshotCatalog,
    ) {
        while std::mem::take(&mut self.snapshot_lost) {
            if !self.may_restart(now, context) {
                return;
            }
            let routing_key = self.request.routing_key.as_deref();
            let excluded = &self.pinned_versions;
            let choice = catalog.choose_among(now, &context.leafs, routing_key, excluded);
            let Some(choice) = choice.filter(|choice| choice.every_shard_has_a_replica) else {
                return;
            };
            self.restart(now, context, choice.snapshot);
        }
    }

    /// Dispatches every addressed shard.
    pub(crate) fn dispatch_all(&mut self, now: Moment, context: &mut Context) {
        for position in 0..self.shards.len() {
            self.dispatch(now, context, position);
        }
    }

    fn may_restart(&self, now: Moment, context: &Context) -> bool {
        let restarts = self.pinned_versions.len() - 1;
        let time_needed = context.leafs.typical_latency() * MIN_LATENCIES_LEFT;
        context.tuning.restarts
            && self.request.is_repeatable()
            && restarts < context.tuning.maximum_restarts as usize
            && self.deadline.since(now) >= time_needed
    }

    fn restart(&mut self, now: Moment, context: &mut Context, snapshot: Arc<PinnedSnapshot>) {
        context.counters.restarts += 1;
        self.cancel_everything(now, context);
        self.pinned_versions.push(snapshot.version);
        self.shards = addressed_shards(&snapshot, &self.request);
        self.snapshot = snapshot;
        self.unsettled = self.shards.len();
        self.answered = 0;
        self.dispatch_all(now, context);
    }
}
