//! Runtime state of one leaf at this root, and the shards that wait for one of its slots.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::ejection::EjectionState;
use crate::latency_average::LatencyAverage;
use crate::leaving::LeavingState;
use crate::snapshot_belief::{Holding, SnapshotBelief};
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_types::leaf::LeafLoad;
use tansylead_types::{LeafDescriptor, LeafId, Moment, QueryId, ShardId, SnapshotVersion};

/// Consecutive failed polls after which a leaf counts as unreachable.
const FAILED_POLLS_UNTIL_UNREACHABLE: u32 = 2;
/// Lower latencies count as this one, so that load decides among very fast leafs.
const MIN_LATENCY: Duration = Duration::from_micros(100);
/// Load figures older than this are ignored in the choice of a replica.
const LOAD_LIFETIME: Duration = Duration::from_millis(200);

/// A shard of a query that waits for a slot; ordered by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Waiter {
    /// Deadline of the query.
    pub(crate) deadline: Moment,
    /// Query that the shard belongs to.
    pub(crate) query: QueryId,
    /// Position of the shard in the query.
    pub(crate) position: usize,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    at: Moment,
    outstanding: u32,
}

/// Runtime state of one leaf.
#[derive(Debug)]
pub(crate) struct LeafState {
    /// Descriptor in force, or the last one if the leaf is no longer configured.
    pub(crate) descriptor: LeafDescriptor,
    /// Whether the current configuration lists the leaf.
    pub(crate) configured: bool,
    /// Attempts that count as running, cancelled ones included until they end.
    pub(crate) in_flight: u32,
    /// Since when the leaf has had work without replying.
    silent_since: Moment,
    /// Limit on `in_flight`.
    pub(crate) limit: ConcurrencyLimit,
    /// Average latency.
    pub(crate) latency: LatencyAverage,
    /// Snapshots and shards that the leaf is believed to hold.
    pub(crate) snapshots: SnapshotBelief,
    /// Whether the leaf is leaving.
    pub(crate) leaving: LeavingState,
    /// Whether the leaf is ejected.
    pub(crate) ejection: EjectionState,
    /// Shards that wait for a slot of this leaf (and perhaps of other leafs).
    pub(crate) waiting: BTreeSet<Waiter>,
    failed_polls: u32,
    load: Option<ReportedLoad>,
}

impl LeafState {
    /// A configured leaf that is not in slow start and has no history.
    pub(crate) fn new(descriptor: LeafDescriptor, slots: u32) -> Self {
        Self {
            descriptor,
            configured: true,
            in_flight: 0,
            silent_since: Moment::default(),
            limit: ConcurrencyLimit::new(slots),
            latency: LatencyAverage::default(),
            snapshots: SnapshotBelief::default(),
            leaving: LeavingState::default(),
            ejection: EjectionState::default(),
            waiting: BTreeSet::new(),
            failed_polls: 0,
            load: None,
        }
    }

    /// Id of the leaf.
    pub(crate) fn id(&self) -> &LeafId {
        &self.descriptor.leaf
    }

    /// Whether an attempt for the shard at the snapshot may be sent to the leaf at all.
    pub(crate) fn may_serve(&self, now: Moment, version: SnapshotVersion, shard: &ShardId) -> bool {
        self.accepts_work() && self.snapshots.holding(now, version, shard) != Holding::NotHeld
    }

    /// Whether there is no evidence that the leaf lacks the shard at the snapshot.
    pub(crate) fn likely_holds(
        &self,
        now: Moment,
        version: SnapshotVersion,
        shard: &ShardId,
    ) -> bool {
        self.snapshots.holding(now, version, shard) == Holding::Held
    }

    /// Whether the leaf is configured and not leaving.
    pub(crate) fn accepts_work(&self) -> bool {
        self.configured && !self.leaving.is_leaving()
    }

    /// Whether attempts to the leaf are expected to end with an answer.
    pub(crate) fn is_live(&self, now: Moment) -> bool {
        self.accepts_work() && !self.is_unreachable() && !self.ejection.is_ejected_for_failures(now)
    }

    /// Whether the leaf is to be used only where no better replica is left.
    pub(crate) fn is_last_resort(&self, now: Moment) -> bool {
        self.is_unreachable() || self.ejection.is_ejected(now)
    }

    /// Whether enough consecutive polls failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.failed_polls >= FAILED_POLLS_UNTIL_UNREACHABLE
    }

    /// Whether another attempt may start now.
    pub(crate) fn has_room(&self, now: Moment) -> bool {
        self.in_flight < self.limit.limit(now) && !self.limit.is_paused(now)
    }

    /// Counts one more attempt in flight.
    pub(crate) fn take_slot(&mut self, now: Moment) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Counts one attempt in flight less.
    pub(crate) fn free_slot(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Expected cost of sending one more attempt, for comparison with other leafs. The latency of a
    /// leaf that has work is at least the time since its last reply, so that a hung leaf is avoided
    /// before its average shows it.
    pub(crate) fn cost(&self, now: Moment, typical_latency: Duration) -> f64 {
        let average = self.latency.average(now).unwrap_or(typical_latency);
        let silent = if self.in_flight > 0 {
            now.since(self.silent_since)
        } else {
            Duration::ZERO
        };
        let latency = average.max(silent).max(MIN_LATENCY);
        let outstanding = self.in_flight.max(self.reported_outstanding(now));
        let load = f64::from(outstanding + 1);
        load * latency.as_secs_f64() / self.limit.slow_start_progress(now)
    }

    /// Records an answer or a refusal, which shows that the leaf is alive.
    pub(crate) fn on_reply(&mut self, now: Moment) {
        self.silent_since = now;
        self.failed_polls = 0;
        self.ejection.on_reply();
    }

    /// Records load figures from an answer, a refusal or a poll.
    pub(crate) fn on_load(&mut self, now: Moment, load: &LeafLoad) {
        self.load = Some(ReportedLoad {
            at: now,
            outstanding: load.running.saturating_add(load.queued),
        });
    }

    /// Records a poll that failed or found the leaf unable to serve.
    pub(crate) fn on_failed_poll(&mut self) {
        self.failed_polls = self.failed_polls.saturating_add(1);
    }

    /// Records a successful poll. Returns whether the leaf was unreachable.
    pub(crate) fn on_successful_poll(&mut self) -> bool {
        let was_unreachable = self.is_unreachable();
        self.failed_polls = 0;
        was_unreachable
    }

    /// Resets everything but running attempts, because a new process has replaced the leaf.
    pub(crate) fn reset_for_new_process(&mut self, now: Moment, slow_start: bool) {
        let slots = self.limit.slots();
        self.limit = ConcurrencyLimit::new(slots);
        if slow_start {
            self.limit.begin_slow_start(now);
        }
        self.latency = LatencyAverage::default();
        self.snapshots = SnapshotBelief::default();
        self.leaving = LeavingState::default();
        self.ejection = EjectionState::default();
        self.failed_polls = 0;
        self.load = None;
    }

    fn reported_outstanding(&self, now: Moment) -> u32 {
        match self.load {
            Some(load) if now.since(load.at) < LOAD_LIFETIME => load.outstanding,
            _ => 0,
        }
    }
}
