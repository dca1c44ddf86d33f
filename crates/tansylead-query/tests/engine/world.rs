//! Runs the engine under virtual time, passes every event and action to the oracle, and can tamper
//! with events and actions to prove that the oracle notices.

use crate::builders::{ROOT, answer_to, definition, placement};
use crate::oracle::{Fate, Oracle};
use std::time::Duration;
use tansylead_query::{
    AttemptResult, EngineTuning, RateShare, RootAction, RootEngine, RootEvent, SendAttempt,
    StartQuery,
};
use tansylead_types::*;

/// More wakeups than this in one advance count as a livelock.
const MAX_WAKEUPS: usize = 100_000;

/// Changes or drops events before the engine sees them, and actions before the oracle sees them.
#[derive(Debug, Clone, Copy)]
pub struct Tampering {
    pub event: fn(&mut RootEvent) -> bool,
    pub result: fn(QueryId, AttemptId, &mut AttemptResult),
    pub action: fn(&RootAction) -> bool,
    pub answer: fn(&mut QueryAnswer),
    pub policy: fn(&mut ServicePolicy),
    pub leafs: fn(&mut Vec<LeafDescriptor>),
    pub deliver_wakeups: bool,
}

impl Tampering {
    pub fn none() -> Self {
        Self {
            event: |_| true,
            result: |_, _, _| {},
            action: |_| true,
            answer: |_| {},
            policy: |_| {},
            leafs: |_| {},
            deliver_wakeups: true,
        }
    }
}

/// The engine, the oracle and the tampering between them.
pub struct World {
    pub engine: RootEngine,
    pub oracle: Oracle,
    pub now: Moment,
    pub finished: Vec<QueryAnswer>,
    pub policy: ServicePolicy,
    pub leafs: Vec<LeafDescriptor>,
    pub snapshots: Vec<Snapshot>,
    tuning: EngineTuning,
    tampering: Tampering,
}

impl World {
    pub fn new(
        tuning: EngineTuning,
        policy: ServicePolicy,
        leafs: Vec<LeafDescriptor>,
        snapshots: Vec<Snapshot>,
    ) -> Self {
        Self::tampered(tuning, policy, leafs, snapshots, Tampering::none())
    }

    pub fn tampered(
        tuning: EngineTuning,
        policy: ServicePolicy,
        leafs: Vec<LeafDescriptor>,
        snapshots: Vec<Snapshot>,
        tampering: Tampering,
    ) -> Self {
        let mut engine = RootEngine::with_tuning(1, tuning.clone());
        engine.set_root_name(ROOT);
        let mut world = Self {
            engine,
            oracle: Oracle::default(),
            now: Moment::from_millis(1_000),
            finished: Vec::new(),
            policy,
            leafs,
            snapshots,
            tuning,
            tampering,
        };
        world.configure();
        world
    }

    /// Applies `policy`, `leafs` and `snapshots` as the configuration.
    pub fn configure(&mut self) -> Vec<RootAction> {
        let true_placement = placement(self.leafs.clone(), self.snapshots.clone());
        self.oracle.on_configure(&self.policy, &true_placement);
        let mut policy = self.policy.clone();
        (self.tampering.policy)(&mut policy);
        let mut leafs = self.leafs.clone();
        (self.tampering.leafs)(&mut leafs);
        let tampered_placement = placement(leafs, self.snapshots.clone());
        let actions = self
            .engine
            .configure(self.now, &definition(policy), &tampered_placement);
        self.process_actions(actions)
    }

    pub fn set_roots(&mut self, roots: u32) -> Vec<RootAction> {
        self.oracle.roots = roots;
        let actions = self.engine.set_leaf_share(self.now, roots);
        self.process_actions(actions)
    }

    pub fn set_rate(&mut self, queries_per_second: f64) {
        let share = RateShare {
            queries_per_second,
            burst: Duration::from_millis(100),
        };
        self.engine.set_rate_share(self.now, share);
    }

    pub fn start(&mut self, start: StartQuery) -> Vec<RootAction> {
        self.deliver(RootEvent::Start(Box::new(start)))
    }

    pub fn end(&mut self, send: &SendAttempt, result: AttemptResult) -> Vec<RootAction> {
        self.deliver(RootEvent::AttemptEnded {
            query: send.query,
            attempt: send.attempt,
            result,
        })
    }

    pub fn deliver(&mut self, mut event: RootEvent) -> Vec<RootAction> {
        self.oracle.on_event(self.now, &event);
        if !(self.tampering.event)(&mut event) {
            return Vec::new();
        }
        if let RootEvent::AttemptEnded {
            query,
            attempt,
            result,
        } = &mut event
        {
            (self.tampering.result)(*query, *attempt, result);
        }
        let actions = self.engine.on_event(self.now, event);
        self.process_actions(actions)
    }

    /// Advances the time and wakes the engine at each wakeup it requested.
    pub fn advance(&mut self, duration: Duration) -> Vec<RootAction> {
        let target = self.now + duration;
        let mut actions = Vec::new();
        for _ in 0..MAX_WAKEUPS {
            match self.engine.next_wakeup() {
                Some(at) if at <= target && self.tampering.deliver_wakeups => {
                    self.now = self.now.max(at);
                    actions.extend(self.deliver(RootEvent::Wakeup));
                }
                _ => {
                    self.now = target;
                    self.check();
                    return actions;
                }
            }
        }
        self.oracle.violation("livelock of wakeups".to_owned());
        actions
    }

    /// Attempts in flight, oldest query first.
    pub fn running(&self) -> Vec<SendAttempt> {
        self.attempts(&[Fate::Running])
    }

    /// Attempts that ended or were cancelled.
    pub fn past(&self) -> Vec<SendAttempt> {
        self.attempts(&[
            Fate::Cancelled,
            Fate::MayHaveRun,
            Fate::Answered,
            Fate::NotRun,
            Fate::Shed,
        ])
    }

    /// Answers every attempt in flight and those sent as a consequence.
    pub fn answer_all(&mut self) {
        while let Some(send) = self.running().first().cloned() {
            self.end(&send, AttemptResult::Answered(answer_to(&send)));
        }
    }

    pub fn assert_clean(&self) {
        let violations = &self.oracle.violations;
        assert!(violations.is_empty(), "{violations:#?}");
    }

    fn attempts(&self, fates: &[Fate]) -> Vec<SendAttempt> {
        let query_records = self.oracle.queries.values();
        let records = query_records.flat_map(|query_record| &query_record.attempts);
        let wanted = records.filter(|record| fates.contains(&record.fate));
        wanted.map(|record| record.send.clone()).collect()
    }

    /// Passes the actions to the oracle; returns those that the tampering keeps.
    fn process_actions(&mut self, actions: Vec<RootAction>) -> Vec<RootAction> {
        let mut kept = Vec::new();
        for mut action in actions {
            if !(self.tampering.action)(&action) {
                continue;
            }
            if let RootAction::Finish { answer, .. } = &mut action {
                (self.tampering.answer)(answer);
            }
            self.oracle.on_action(self.now, &self.tuning, &action);
            if let RootAction::Finish { answer, .. } = &action {
                self.finished.push(answer.clone());
            }
            kept.push(action);
        }
        self.check();
        kept
    }

    fn check(&mut self) {
        let status = self.engine.status(self.now);
        let waiting = status.waiting_shards + status.backing_off_shards;
        for leaf in status.leafs.iter().filter(|leaf| leaf.waiting > 0) {
            self.oracle.check_waited_for(&leaf.leaf);
        }
        let wakeup = self.engine.next_wakeup();
        self.oracle.check_open_queries(self.now, waiting, wakeup);
    }
}
