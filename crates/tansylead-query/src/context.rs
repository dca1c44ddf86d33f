//! State that all queries of one engine share: leafs, timers, retry budget, counters and the
//! actions being collected. Queries interact only through it.

use crate::admission::Admission;
use crate::counters::EngineCounters;
use crate::event::RootAction;
use crate::hedge_delay::HedgeDelay;
use crate::leaf_state::Waiter;
use crate::leaf_table::{LeafIndex, LeafTable};
use crate::retry_budget::RetryBudget;
use crate::timers::{Timer, Timers};
use crate::tuning::EngineTuning;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;
use tansylead_types::{AttemptId, Moment, QueryId, ServicePolicy, SnapshotVersion};

/// `retry_after` is increased by a random fraction of up to this much.
const RETRY_AFTER_JITTER: f64 = 0.25;

/// A slot of a cancelled attempt that the leaf may still be using.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldSlot {
    /// Leaf that the attempt was sent to.
    pub(crate) leaf: LeafIndex,
    /// Snapshot that the attempt asked for.
    pub(crate) snapshot: SnapshotVersion,
    until: Moment,
}

/// State shared by the queries of one engine.
#[derive(Debug)]
pub(crate) struct Context {
    /// Enabled mechanisms and their parameters.
    pub(crate) tuning: EngineTuning,
    /// Policy in force.
    pub(crate) policy: ServicePolicy,
    /// Name that leafs must echo for this root; not checked if none.
    pub(crate) root_name: Option<String>,
    /// Runtime state of the leafs.
    pub(crate) leafs: LeafTable,
    /// Pending timers and query deadlines.
    pub(crate) timers: Timers,
    /// Budget of extra attempts.
    pub(crate) budget: RetryBudget,
    /// Learned delay of hedges.
    pub(crate) hedge_delay: HedgeDelay,
    /// Rate limit.
    pub(crate) admission: Admission,
    /// Counters.
    pub(crate) counters: EngineCounters,
    /// Source of random choices.
    pub(crate) random: StdRng,
    /// Actions of the event being handled.
    pub(crate) actions: Vec<RootAction>,
    /// Shards waiting for a slot, over all queries.
    pub(crate) waiting_shards: usize,
    /// Shards backing off, over all queries.
    pub(crate) backing_off_shards: usize,
    held_slots: HashMap<(QueryId, AttemptId), HeldSlot>,
    freed: Vec<LeafIndex>,
    displaced: Vec<Waiter>,
}

impl Context {
    /// A context without leafs and with the default policy.
    pub(crate) fn new(seed: u64, tuning: EngineTuning) -> Self {
        let policy = ServicePolicy::default();
        let mut context = Self {
            budget: RetryBudget::new(tuning.retry_budget_burst),
            tuning,
            policy: policy.clone(),
            root_name: None,
            leafs: LeafTable::new(),
            timers: Timers::default(),
            hedge_delay: HedgeDelay::new(),
            admission: Admission::unlimited(),
            counters: EngineCounters::default(),
            random: StdRng::seed_from_u64(seed),
            actions: Vec::new(),
            waiting_shards: 0,
            backing_off_shards: 0,
            held_slots: HashMap::new(),
            freed: Vec::new(),
            displaced: Vec::new(),
        };
        context.set_policy(policy);
        context
    }

    /// Puts a policy in force.
    pub(crate) fn set_policy(&mut self, policy: ServicePolicy) {
        self.budget.set_percent(policy.retry_budget_percent);
        self.hedge_delay.set_quantile(policy.hedge_quantile);
        self.policy = policy;
    }

    /// Occupies a slot of the leaf.
    pub(crate) fn take_slot(&mut self, now: Moment, leaf: LeafIndex) {
        if let Some(state) = self.leafs.get_mut(leaf) {
            state.take_slot(now);
        }
    }

    /// Frees a slot of the leaf and marks it for [`Context::pop_freed`].
    pub(crate) fn free_slot(&mut self, leaf: LeafIndex) {
        if let Some(state) = self.leafs.get_mut(leaf) {
            state.free_slot();
        }
        self.freed.push(leaf);
    }

    /// Keeps the slot of a cancelled attempt until its end is reported or the hold time
    /// has passed.
    pub(crate) fn hold_slot(
        &mut self,
        now: Moment,
        query: QueryId,
        attempt: AttemptId,
        leaf: LeafIndex,
        snapshot: SnapshotVersion,
    ) {
        let until = now + self.tuning.cancelled_slot_hold;
        self.held_slots.insert(
            (query, attempt),
            HeldSlot {
                leaf,
                snapshot,
                until,
            },
        );
        self.timers
            .schedule(until, Timer::CancelledSlot(query, attempt));
    }

    /// Ends the hold of a slot, if there is one.
    pub(crate) fn release_held_slot(
        &mut self,
        query: QueryId,
        attempt: AttemptId,
    ) -> Option<HeldSlot> {
        let held = self.held_slots.remove(&(query, attempt))?;
        self.timers
            .cancel(held.until, Timer::CancelledSlot(query, attempt));
        self.free_slot(held.leaf);
        Some(held)
    }

    /// Marks a leaf that may now have room for its waiting shards.
    pub(crate) fn mark_freed(&mut self, leaf: LeafIndex) {
        self.freed.push(leaf);
    }

    /// Next leaf that may have room for its waiting shards.
    pub(crate) fn pop_freed(&mut self) -> Option<LeafIndex> {
        self.freed.pop()
    }

    /// Next waiting shard that must choose its leafs again.
    pub(crate) fn pop_displaced(&mut self) -> Option<Waiter> {
        self.displaced.pop()
    }

    /// Makes every shard that waits for the leaf choose its leafs again.
    pub(crate) fn displace_waiters(&mut self, leaf: LeafIndex) {
        if let Some(state) = self.leafs.get(leaf) {
            self.displaced.extend(state.waiting.iter().copied());
        }
    }

    /// Expected time until all waiting shards and `additional` others have got slots.
    pub(crate) fn expected_wait(&self, now: Moment, additional: usize) -> Duration {
        let waiting = self.waiting_shards + additional;
        if waiting == 0 {
            return Duration::ZERO;
        }
        let at_once = f64::from(self.leafs.total_limit(now).max(1));
        let rounds = waiting as f64 / at_once;
        self.leafs.typical_latency().mul_f64(rounds)
    }

    /// Adds jitter to a `retry_after`, so that callers do not retry all at once.
    pub(crate) fn jittered(&mut self, duration: Duration) -> Duration {
        let factor = 1.0 + self.random.random_range(0.0..RETRY_AFTER_JITTER);
        duration.mul_f64(factor)
    }
}
