//! The root engine: state of the leafs of one service in one place and of all queries in progress.
//!
//! Each event is handled in three steps. Queries whose deadline has passed are ended first, so that
//! nothing is sent for them however late the event arrives. Then the event itself is handled.
//! Timers and waiting shards, which may send attempts, come last because they must see what the
//! event says about leafs.

use crate::attempt_end::{is_snapshot_refusal, record_late_end};
use crate::context::Context;
use crate::counters::EngineCounters;
use crate::event::{AttemptResult, RateShare, RootAction, RootEvent, StartQuery};
use crate::finish::{RETRY_AFTER_WITHOUT_REPLICAS, refuse};
use crate::leaf_table::LeafIndex;
use crate::leaving::LeavingSignal;
use crate::query::Query;
use crate::snapshot_choice::{SnapshotCatalog, SnapshotChoice};
use crate::status::{EngineStatus, leaf_statuses};
use crate::timers::Timer;
use crate::tuning::EngineTuning;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tansylead_types::leaf::LeafHealth;
use tansylead_types::{AttemptId, LeafId, Moment, QueryId, ServiceDefinition, ServicePlacement};

/// `retry_after` for queries whose deadline had passed on arrival.
const RETRY_AFTER_LATE_ARRIVAL: Duration = Duration::from_millis(100);

/// State machine of one root for one (service, place).
#[derive(Debug)]
pub struct RootEngine {
    context: Context,
    catalog: SnapshotCatalog,
    queries: HashMap<QueryId, Box<Query>>,
}

impl RootEngine {
    /// An engine without leafs; `seed` seeds its random choices.
    pub fn new(seed: u64) -> Self {
        Self::with_tuning(seed, EngineTuning::default())
    }

    /// An engine without leafs and with the given tuning.
    pub fn with_tuning(seed: u64, tuning: EngineTuning) -> Self {
        Self {
            context: Context::new(seed, tuning),
            catalog: SnapshotCatalog::default(),
            queries: HashMap::new(),
        }
    }

    /// Sets the name that leafs must echo as `root`; the transport must put the same name into
    /// `LeafRequest::root`. The echo is not checked until a name is set.
    pub fn set_root_name(&mut self, name: impl Into<String>) {
        self.context.root_name = Some(name.into());
    }

    /// Puts a definition and a placement in force. Queries in progress keep their snapshot.
    pub fn configure(
        &mut self,
        now: Moment,
        definition: &ServiceDefinition,
        placement: &ServicePlacement,
    ) -> Vec<RootAction> {
        self.finish_expired(now);
        self.context.set_policy(definition.policy.clone());
        let slow_start = self.context.tuning.slow_start;
        let changes = self
            .context
            .leafs
            .configure(now, &placement.leafs, slow_start);
        self.catalog.configure(placement, &self.context.leafs);
        let versions: BTreeSet<_> = self.catalog.versions().into_iter().collect();
        self.context.leafs.retain_versions(now, &versions);
        for query in self.queries.values_mut() {
            query.refresh_replicas(self.catalog.get(query.snapshot.version));
        }
        for leaf in changes.displaced {
            self.context.displace_waiters(leaf);
        }
        self.mark_all_leafs_freed();
        self.take_actions(now)
    }

    /// Sets this root's share of the rate limit in the table.
    pub fn set_rate_share(&mut self, now: Moment, share: RateShare) {
        self.context.admission.set_share(now, share);
    }

    /// Sets how many roots, this one included, share the slots of each leaf.
    pub fn set_leaf_share(&mut self, now: Moment, roots: u32) -> Vec<RootAction> {
        self.finish_expired(now);
        self.context.leafs.set_roots(roots);
        self.mark_all_leafs_freed();
        self.take_actions(now)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Moment, event: RootEvent) -> Vec<RootAction> {
        // Before the deadlines: a disconnected caller gets no answer even if its deadline is due.
        if let RootEvent::CallerGone(query) = event {
            self.on_caller_gone(now, query);
        }
        self.finish_expired(now);
        match event {
            RootEvent::Start(start) => self.on_start(now, *start),
            RootEvent::AttemptEnded {
                query,
                attempt,
                result,
            } => self.on_attempt_ended(now, query, attempt, result),
            RootEvent::LeafHealth { leaf, report } => self.on_health(now, &leaf, report),
            RootEvent::LeafLeaving(leaf) => self.on_leaving(now, &leaf),
            RootEvent::CallerGone(_) | RootEvent::Wakeup => {}
        }
        self.take_actions(now)
    }

    /// Latest time at which the engine needs [`RootEvent::Wakeup`].
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.context.timers.next()
    }

    /// Counters since the engine was made.
    pub fn counters(&self) -> EngineCounters {
        self.context.counters
    }

    /// Status for operators and metrics.
    pub fn status(&self, now: Moment) -> EngineStatus {
        let leafs = &self.context.leafs;
        let choice = self.catalog.choose_among(now, leafs, None, &[]);
        EngineStatus {
            queries_in_progress: self.queries.len(),
            waiting_shards: self.context.waiting_shards,
            backing_off_shards: self.context.backing_off_shards,
            snapshots: self.catalog.versions(),
            snapshot_in_use: choice.as_ref().map(|choice| choice.snapshot.version),
            every_shard_has_a_replica: choice
                .is_some_and(|choice| choice.every_shard_has_a_replica),
            hedge_delay: self.context.hedge_delay.last_delay(),
            retry_budget: self.context.budget.balance(),
            leafs: leaf_statuses(&self.context, now),
            counters: self.context.counters,
        }
    }

    fn on_start(&mut self, now: Moment, start: StartQuery) {
        if self.queries.contains_key(&start.query) {
            self.context.counters.duplicate_query_ids += 1;
            return;
        }
        self.context.counters.queries_started += 1;
        match self.admit(now, &start) {
            Ok(choice) => self.begin(now, start, choice),
            Err(refusal) => {
                let action = refuse(
                    &mut self.context,
                    start,
                    refusal.retry_after,
                    refusal.reason,
                );
                self.context.actions.push(action);
            }
        }
    }

    fn admit(&mut self, now: Moment, start: &StartQuery) -> Result<SnapshotChoice, Refusal> {
        if start.deadline <= now {
            return Err(Refusal {
                retry_after: RETRY_AFTER_LATE_ARRIVAL,
                reason: "the deadline had passed on arrival",
            });
        }
        let routing_key = start.request.routing_key.as_deref();
        let choice = self.catalog.choose(now, &self.context.leafs, routing_key);
        let choice = choice.ok_or(Refusal {
            retry_after: RETRY_AFTER_WITHOUT_REPLICAS,
            reason: "no snapshot is configured",
        })?;
        let shards = choice.snapshot.addressed(routing_key).len();
        self.check_capacity(now, start.deadline, shards)?;
        let admitted = self.context.admission.admit(now);
        admitted.map_err(|retry_after| {
            self.context.counters.refused_rate += 1;
            Refusal {
                retry_after,
                reason: "the limit of the table is reached",
            }
        })?;
        Ok(choice)
    }

    /// While shards wait for slots, refuses a query that exceeds the bound on waiting shards or is
    /// not expected to get its slots before its deadline.
    fn check_capacity(
        &mut self,
        now: Moment,
        deadline: Moment,
        shards: usize,
    ) -> Result<(), Refusal> {
        let waiting = self.context.waiting_shards;
        if waiting == 0 {
            return Ok(());
        }
        let slots = self.context.leafs.total_slots() as usize;
        let bound = slots * self.context.tuning.waiting_shards_per_slot as usize;
        let needed = self.context.expected_wait(now, shards);
        if waiting + shards <= bound && needed <= deadline.since(now) {
            return Ok(());
        }
        self.context.counters.refused_capacity += 1;
        Err(Refusal {
            retry_after: self.context.expected_wait(now, 0),
            reason: "no slot will become free in time",
        })
    }

    fn begin(&mut self, now: Moment, start: StartQuery, choice: SnapshotChoice) {
        let id = start.query;
        let query = Query::new(now, start, choice.snapshot, &self.context.policy);
        query.schedule_timers(&mut self.context);
        self.queries.insert(id, Box::new(query));
        self.advance(now, id, |query, context| query.dispatch_all(now, context));
    }

    fn on_attempt_ended(
        &mut self,
        now: Moment,
        query: QueryId,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let held = self.context.release_held_slot(query, attempt);
        if let Some(held) = held {
            self.context.counters.answers_late += 1;
            record_late_end(now, &mut self.context, held.leaf, query, attempt, &result);
            let refused = is_snapshot_refusal(&self.context, query, attempt, &result);
            if refused {
                self.context
                    .record_snapshot_not_held(now, held.leaf, held.snapshot);
            }
        } else if self.queries.contains_key(&query) {
            self.advance(now, query, |query, context| {
                query.on_attempt_ended(now, context, attempt, result);
            });
        } else {
            self.context.counters.answers_late += 1;
        }
    }

    fn on_health(&mut self, now: Moment, leaf: &LeafId, report: Option<LeafHealth>) {
        let Some(index) = self.context.leafs.index(leaf) else {
            return;
        };
        match report {
            Some(report) if report.healthy => self.on_healthy(now, index, &report),
            Some(report) => {
                self.context.record_failed_poll(index);
                if report.load.draining {
                    self.context
                        .record_leaving(now, index, LeavingSignal::Polled);
                }
            }
            None => {
                self.context.record_failed_poll(index);
                self.context.record_unreachable(index);
            }
        }
    }

    fn on_healthy(&mut self, now: Moment, index: LeafIndex, report: &LeafHealth) {
        self.context
            .record_reported_snapshots(index, &report.snapshots);
        self.context
            .record_successful_poll(now, index, &report.load);
        if report.load.draining {
            self.context
                .record_leaving(now, index, LeavingSignal::Polled);
        } else {
            self.context.record_not_draining(now, index);
        }
    }

    fn on_leaving(&mut self, now: Moment, leaf: &LeafId) {
        if let Some(index) = self.context.leafs.index(leaf) {
            self.context
                .record_leaving(now, index, LeavingSignal::Announced);
        }
    }

    fn on_caller_gone(&mut self, now: Moment, query: QueryId) {
        let Some(mut query) = self.queries.remove(&query) else {
            return;
        };
        self.context.counters.queries_abandoned += 1;
        query.cancel_timers(&mut self.context);
        query.cancel_everything(now, &mut self.context);
    }

    /// Ends queries whose deadline has passed, without sending attempts.
    fn finish_expired(&mut self, now: Moment) {
        while let Some(query) = self.context.timers.pop_due_deadline(now) {
            self.finish(now, query);
        }
    }

    /// Fires the other timers, which may send attempts.
    fn fire_timers(&mut self, now: Moment) {
        while let Some(timer) = self.context.timers.pop_due(now) {
            match timer {
                Timer::EarlyPartial(query) => self.advance(now, query, |_, _| {}),
                Timer::Hedge(query) => self.advance(now, query, |query, context| {
                    query.hedge_slow_shards(now, context);
                }),
                Timer::Retry(query, position) => self.advance(now, query, |query, context| {
                    query.dispatch_after_backoff(now, context, position);
                }),
                Timer::CancelledSlot(query, attempt) => {
                    self.context.release_held_slot(query, attempt);
                }
                Timer::Leaf(leaf) => self.context.on_leaf_timer(now, leaf),
            }
        }
    }

    /// Applies a change to one query, then restarts it, finishes it or schedules its hedges.
    fn advance(&mut self, now: Moment, id: QueryId, change: impl FnOnce(&mut Query, &mut Context)) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        change(query, &mut self.context);
        query.restart_if_useful(now, &mut self.context, &self.catalog);
        if query.is_over(now) {
            self.finish(now, id);
        } else {
            query.schedule_hedges(now, &mut self.context);
        }
    }

    fn finish(&mut self, now: Moment, id: QueryId) {
        if let Some(query) = self.queries.remove(&id) {
            let action = query.finish(now, &mut self.context);
            self.context.actions.push(action);
        }
    }

    fn mark_all_leafs_freed(&mut self) {
        let leafs: Vec<LeafIndex> = self.context.leafs.iter().map(|(index, _)| index).collect();
        for leaf in leafs {
            self.context.mark_freed(leaf);
        }
    }

    /// Fires due timers, dispatches waiting shards until none can proceed, and returns the actions.
    fn take_actions(&mut self, now: Moment) -> Vec<RootAction> {
        self.fire_timers(now);
        loop {
            if let Some(waiter) = self.context.pop_displaced() {
                self.advance(now, waiter.query, |query, context| {
                    query.dispatch_waiting(now, context, waiter.position);
                });
            } else if let Some(leaf) = self.context.pop_freed() {
                self.serve_waiters(now, leaf);
            } else {
                return std::mem::take(&mut self.context.actions);
            }
        }
    }

    fn serve_waiters(&mut self, now: Moment, leaf: LeafIndex) {
        loop {
            let Some(state) = self.context.leafs.get_mut(leaf) else {
                return;
            };
            if !state.has_room(now) {
                return;
            }
            let Some(waiter) = state.waiting.pop_first() else {
                return;
            };
            self.advance(now, waiter.query, |query, context| {
                query.dispatch_waiting(now, context, waiter.position);
            });
        }
    }
}

/// Why a query is refused before a snapshot is pinned.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    retry_after: Duration,
    reason: &'static str,
}
