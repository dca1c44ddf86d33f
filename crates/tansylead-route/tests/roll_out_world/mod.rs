//! Simulation of a roll-out in virtual time: real judges, simple daemons and leafs with random answers.

mod daemon;
mod service;

use daemon::Daemon;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use service::poisson;
pub use service::{Defect, Service, UnrelatedFault};
use std::collections::VecDeque;
use std::time::Duration;
use tansylead_route::{
    Conclusion, ConclusionReason, ExposureBounds, Grant, OrderId, Revision, RollOut, RollOutReport,
    RollOutState, RollOutTrial, TrialContext,
};
use tansylead_types::{Moment, NodeId};

/// Step of virtual time, in milliseconds.
const STEP: u64 = 10;
/// Number of judges of a roll-out.
const JUDGES: usize = 3;
/// Time between evaluations, in milliseconds.
const EVALUATION_PERIOD: u64 = 250;
/// Longest transit time of a message, in milliseconds.
const MAXIMUM_TRANSIT: u64 = 20;
/// Time from a write until every daemon knows of it, in milliseconds.
const PROPAGATION: u64 = 100;
/// Time until a judge that was killed is removed from the members, in milliseconds.
const FAILURE_DETECTION: u64 = 1_000;
/// How long the simulation goes on after the deadline, in milliseconds.
const OVERTIME: u64 = 6_000;

/// Scenario of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub daemons: usize,
    pub duration: Duration,
    pub service: Service,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Whether judges push grants after each evaluation to daemons that do not report the stage yet.
    pub are_stages_pushed: bool,
    /// When the first judge is killed for good, in milliseconds.
    pub judge_killed_at: Option<u64>,
    /// Start and end of a partition in which all messages to and from the first judge are lost, in milliseconds.
    pub judge_partition: Option<(u64, u64)>,
    /// Start and end of an outage of the source, in milliseconds.
    pub source_outage: Option<(u64, u64)>,
}

/// Result of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub ended: Option<(Conclusion, ConclusionReason, u64)>,
    /// Sends to the target version before it was accepted.
    pub sends: u64,
    pub requests: u64,
    /// Bad answers of the target version.
    pub bad: u64,
    /// Greatest number of sends beyond the bound at any moment.
    pub beyond_bound: f64,
}

impl Outcome {
    pub fn is(&self, conclusion: Conclusion) -> bool {
        self.ended.is_some_and(|(ended, _, _)| ended == conclusion)
    }
}

pub const BOUNDS: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 50.0,
};

enum Message {
    Report(usize, RollOutReport),
    Grant(usize, usize, Grant),
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    daemons: Vec<Daemon>,
    judges: Vec<RollOutTrial>,
    messages: VecDeque<(u64, Message)>,
    written: Option<(Conclusion, ConclusionReason, u64)>,
    outcome: Outcome,
}

/// Simulates one roll-out.
pub fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario.clone(), seed);
    let end = scenario.duration.as_millis() as u64 + OVERTIME;
    for step in 0..end / STEP {
        let now = step * STEP;
        simulation.step(now);
        let is_known = |(_, _, at): (_, _, u64)| now >= at + PROPAGATION;
        if simulation.written.is_some_and(is_known) {
            break;
        }
    }
    simulation.outcome.ended = simulation.written;
    simulation.outcome
}

pub fn node(index: usize) -> NodeId {
    NodeId(([10, 0, 0, 1], 1_000 + index as u16).into())
}

fn index_of(node: NodeId) -> usize {
    usize::from(node.0.port()) - 1_000
}

/// Virtual time does not begin at zero, so that daemons may have known of the order for a while.
pub fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

pub fn roll_out(duration: Duration) -> RollOut {
    let service = "desk".parse().expect("a service name");
    let target = "v2".parse().expect("a version");
    RollOut {
        order: OrderId::new(&service, &target, duration, "first"),
        service,
        target,
        duration,
        state: RollOutState::Ordered,
        changed_at: Revision::default(),
    }
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let order = roll_out(scenario.duration);
        let judge = |index| RollOutTrial::new(order.clone(), BOUNDS, node(index), at(0));
        let mut rng = StdRng::seed_from_u64(seed);
        let daemons = (0..scenario.daemons)
            .map(|index| Daemon::new(index, &order, rng.random_range(0..1_000)))
            .collect();
        Self {
            judges: (0..JUDGES.min(scenario.daemons)).map(judge).collect(),
            scenario,
            rng,
            daemons,
            messages: VecDeque::new(),
            written: None,
            outcome: Outcome::default(),
        }
    }

    fn is_killed(&self, index: usize, now: u64) -> bool {
        index == 0 && self.scenario.judge_killed_at.is_some_and(|at| now >= at)
    }

    fn step(&mut self, now: u64) {
        self.requests(now);
        for index in 0..self.daemons.len() {
            if self.is_killed(index, now) {
                continue;
            }
            self.daemons[index].finish_attempts(now);
            if let Some(report) = self.daemons[index].report(now) {
                for judge in 0..self.judges.len() {
                    self.send(now, Message::Report(judge, report.clone()));
                }
            }
        }
        self.deliver(now);
        if now.is_multiple_of(EVALUATION_PERIOD) {
            for judge in 0..self.judges.len() {
                self.evaluate(judge, now);
            }
        }
        self.check_bound();
    }

    fn requests(&mut self, now: u64) {
        let mean = self.scenario.service.rate * STEP as f64 / 1_000.0;
        for _ in 0..poisson(&mut self.rng, mean) {
            let index = self.rng.random_range(0..self.daemons.len());
            if !self.is_killed(index, now) {
                let deadline = self.scenario.duration;
                let service = &self.scenario.service;
                self.daemons[index].request(now, service, deadline, &mut self.rng);
            }
        }
    }

    fn send(&mut self, now: u64, message: Message) {
        let (Message::Report(judge, _) | Message::Grant(_, judge, _)) = &message;
        let partition = self.scenario.judge_partition;
        if *judge == 0 && partition.is_some_and(|(from, to)| (from..to).contains(&now)) {
            return;
        }
        if self.rng.random::<f64>() >= self.scenario.loss {
            let arrives = now + self.rng.random_range(1..=MAXIMUM_TRANSIT);
            self.messages.push_back((arrives, message));
        }
    }

    fn deliver(&mut self, now: u64) {
        for _ in 0..self.messages.len() {
            let Some((arrives, message)) = self.messages.pop_front() else {
                return;
            };
            if arrives > now {
                self.messages.push_back((arrives, message));
                continue;
            }
            match message {
                Message::Report(judge, report) if !self.is_killed(judge, now) => {
                    self.answer(judge, now, &report);
                }
                Message::Grant(daemon, judge, grant) => {
                    self.daemons[daemon].on_grant(now, judge, grant);
                }
                Message::Report(..) => {}
            }
        }
    }

    fn answer(&mut self, judge: usize, now: u64, report: &RollOutReport) {
        self.judges[judge].on_report(at(now), report);
        let grant = self.judges[judge].grant(at(now), report.reporter);
        self.send(now, Message::Grant(index_of(report.reporter), judge, grant));
    }

    fn evaluate(&mut self, judge: usize, now: u64) {
        if self.is_killed(judge, now) {
            return;
        }
        let is_noticed = now >= FAILURE_DETECTION && self.is_killed(0, now - FAILURE_DETECTION);
        let first = usize::from(is_noticed);
        let members: Vec<NodeId> = (first..self.daemons.len()).map(node).collect();
        let outage = self.scenario.source_outage;
        let context = TrialContext {
            members: &members,
            rank: judge - first,
            is_source_fresh: outage.is_none_or(|(from, to)| now < from || now >= to),
            is_alone: false,
        };
        let verdict = self.judges[judge].evaluate(at(now), context);
        if self.scenario.are_stages_pushed {
            self.push_stage(judge, now);
        }
        if let (Some((conclusion, reason)), None) = (verdict.write, self.written) {
            self.written = Some((conclusion, reason, now));
        }
    }

    fn push_stage(&mut self, judge: usize, now: u64) {
        for reporter in self.judges[judge].awaiting_stage(at(now)) {
            let grant = self.judges[judge].grant(at(now), reporter);
            self.send(now, Message::Grant(index_of(reporter), judge, grant));
        }
    }

    fn check_bound(&mut self) {
        let sum = |count: fn(&Daemon) -> u64| self.daemons.iter().map(count).sum::<u64>();
        let requests = sum(Daemon::requests);
        let sends = sum(|daemon| daemon.sends_on_trial);
        let bound = BOUNDS.share * requests as f64 + BOUNDS.slack;
        let beyond = (sends as f64 - bound).max(self.outcome.beyond_bound);
        self.outcome = Outcome {
            ended: None,
            sends,
            requests,
            bad: sum(|daemon| daemon.bad_answers),
            beyond_bound: beyond,
        };
    }
}
