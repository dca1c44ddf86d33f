//! Updates of leaf state from signals that reach the engine: leaving, failures, health polls, load.

use crate::context::Context;
use crate::ejection::EjectionCause;
use crate::leaf_table::LeafIndex;
use crate::leaving::LeavingSignal;
use crate::timers::Timer;
use tansylead_types::leaf::LeafLoad;
use tansylead_types::{Moment, ShardId, SnapshotVersion};

impl Context {
    /// Records a signal that the leaf is leaving.
    pub(crate) fn record_leaving(&mut self, now: Moment, leaf: LeafIndex, signal: LeavingSignal) {
        let Some(state) = self.leafs.get_mut(leaf) else {
            return;
        };
        if state.leaving.on_signal(now, signal) {
            log::info!("leaf {}: leaving ({signal:?})", state.id());
            self.counters.leafs_leaving += 1;
            self.leafs.advance_epoch();
            self.displace_waiters(leaf);
        }
    }

    /// Records a health report without a drain mark.
    pub(crate) fn record_not_draining(&mut self, now: Moment, leaf: LeafIndex) {
        let slow_start = self.tuning.slow_start;
        let Some(state) = self.leafs.get_mut(leaf) else {
            return;
        };
        if state.leaving.on_healthy_report(now) {
            log::info!("leaf {}: back in service", state.id());
            state.reset_for_new_process(now, slow_start);
            self.leafs.advance_epoch();
            self.mark_freed(leaf);
        }
    }

    /// Records the load figures, and the drain mark if there is one, of an answer or a refusal.
    pub(crate) fn record_in_band_load(&mut self, now: Moment, leaf: LeafIndex, load: &LeafLoad) {
        if let Some(state) = self.leafs.get_mut(leaf) {
            state.on_load(now, load);
        }
        if load.draining {
            self.record_leaving(now, leaf, LeavingSignal::InBand);
        }
    }

    /// Records that a poll failed or found the leaf unable to serve.
    pub(crate) fn record_failed_poll(&mut self, leaf: LeafIndex) {
        let Some(state) = self.leafs.get_mut(leaf) else {
            return;
        };
        let was_unreachable = state.is_unreachable();
        state.on_failed_poll();
        if !was_unreachable && state.is_unreachable() {
            log::info!("leaf {}: polls fail", state.id());
            self.leafs.advance_epoch();
            self.displace_waiters(leaf);
        }
    }

    /// Records that the leaf could not be reached at all.
    pub(crate) fn record_unreachable(&mut self, leaf: LeafIndex) {
        if let Some(state) = self.leafs.get_mut(leaf) {
            state.leaving.on_unreachable();
        }
    }

    /// Records a poll that found the leaf healthy.
    pub(crate) fn record_successful_poll(&mut self, now: Moment, leaf: LeafIndex, load: &LeafLoad) {
        let Some(state) = self.leafs.get_mut(leaf) else {
            return;
        };
        state.on_load(now, load);
        if state.on_successful_poll() {
            log::info!("leaf {}: polls succeed again", state.id());
            self.leafs.advance_epoch();
        }
    }

    /// Records the snapshots that a health report lists.
    pub(crate) fn record_reported_snapshots(
        &mut self,
        leaf: LeafIndex,
        snapshots: &[SnapshotVersion],
    ) {
        let Some(state) = self.leafs.get_mut(leaf) else {
            return;
        };
        if state.snapshots.on_report(snapshots) {
            self.leafs.advance_epoch();
            self.displace_waiters(leaf);
        }
    }

    /// Records that the leaf refused because it does not hold the snapshot.
    pub(crate) fn record_snapshot_not_held(
        &mut self,
        now: Moment,
        leaf: LeafIndex,
        version: SnapshotVersion,
    ) {
        if let Some(state) = self.leafs.get_mut(leaf) {
            state.snapshots.on_snapshot_not_held(now, version);
        }
        self.leafs.advance_epoch();
        self.displace_waiters(leaf);
    }

    /// Records that the leaf refused because it does not hold the shard at the snapshot.
    pub(crate) fn record_shard_not_held(
        &mut self,
        now: Moment,
        leaf: LeafIndex,
        version: SnapshotVersion,
        shard: &ShardId,
    ) {
        if let Some(state) = self.leafs.get_mut(leaf) {
            state.snapshots.on_shard_not_held(now, version, shard);
        }
        self.leafs.advance_epoch();
        self.displace_waiters(leaf);
    }

    /// Records that an attempt to the leaf failed or could not be sent.
    pub(crate) fn record_failure(&mut self, now: Moment, leaf: LeafIndex) {
        let Some(state) = self.leafs.get_mut(leaf) else {
            return;
        };
        if state.ejection.on_failure(now) && self.tuning.ejection {
            self.eject(now, leaf, EjectionCause::Failures);
        }
    }

    /// Once a check period, finds stragglers and ejects them.
    pub(crate) fn eject_stragglers(&mut self, now: Moment) {
        let stragglers = self.leafs.find_stragglers(now);
        if !self.tuning.ejection {
            return;
        }
        for leaf in stragglers {
            self.eject(now, leaf, EjectionCause::Straggler);
        }
    }

    /// Ends a pause or an ejection of a leaf if it is due.
    pub(crate) fn on_leaf_timer(&mut self, now: Moment, leaf: LeafIndex) {
        let slow_start = self.tuning.slow_start;
        let Some(state) = self.leafs.get_mut(leaf) else {
            return;
        };
        if state.ejection.end_if_due(now) {
            log::info!("leaf {}: ejection ended", state.id());
            state.latency = Default::default();
            if slow_start {
                state.limit.begin_slow_start(now);
            }
            self.leafs.advance_epoch();
        }
        self.mark_freed(leaf);
    }

    fn eject(&mut self, now: Moment, leaf: LeafIndex, cause: EjectionCause) {
        let Some(until) = self.leafs.eject(now, leaf, cause) else {
            return;
        };
        if let Some(state) = self.leafs.get(leaf) {
            log::info!("leaf {}: ejected ({cause:?})", state.id());
        }
        self.counters.ejections += 1;
        self.timers.schedule(until, Timer::Leaf(leaf));
        self.displace_waiters(leaf);
    }
}
