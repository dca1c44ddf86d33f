//! A roll-out played in virtual time: real judges, simple daemons and leafs that answer by chance.

mod daemon;
mod service;

use daemon::Daemon;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use service::poisson;
pub use service::{Badness, Service, Trouble};
use std::collections::VecDeque;
use std::time::Duration;
use tansylead_route::{
    Conclusion, ConclusionReason, ExposureBounds, Grant, OrderId, Revision, RollOut, RollOutReport,
    RollOutState, RollOutTrial, TrialContext,
};
use tansylead_types::{Moment, NodeId};

/// Step of virtual time, in milliseconds.
const STEP: u64 = 10;
/// Judges of a roll-out.
const JUDGES: usize = 3;
const LOOK_EVERY: u64 = 250;
/// Longest way of a message, in milliseconds.
const LONGEST_WAY: u64 = 20;
/// From a write until every daemon knows of it.
const KNOWN_AFTER: u64 = 100;
/// Until a judge that was lost is no member any more.
const LOSS_NOTICED: u64 = 1_000;
/// Played on beyond the deadline.
const BEYOND: u64 = 6_000;

/// What is played.
#[derive(Debug, Clone)]
pub struct Setting {
    pub daemons: usize,
    pub duration: Duration,
    pub service: Service,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Whether judges send grants unasked after each look to daemons that do not report the stage yet.
    pub are_stages_pushed: bool,
    /// When the first judge is killed for good, in milliseconds.
    pub judge_killed_at: Option<u64>,
    /// From when until when the first judge's messages are lost both ways, in milliseconds.
    pub judge_cut: Option<(u64, u64)>,
    /// From when until when the source does not answer, in milliseconds.
    pub source_away: Option<(u64, u64)>,
}

/// How it ended.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub ended: Option<(Conclusion, ConclusionReason, u64)>,
    /// Sends to the target version before it was taken for good.
    pub sends: u64,
    pub requests: u64,
    /// Bad answers of the target version.
    pub bad: u64,
    /// Sends beyond the bound at the worst moment.
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

struct Played {
    setting: Setting,
    chance: StdRng,
    daemons: Vec<Daemon>,
    judges: Vec<RollOutTrial>,
    messages: VecDeque<(u64, Message)>,
    written: Option<(Conclusion, ConclusionReason, u64)>,
    outcome: Outcome,
}

/// Plays one roll-out.
pub fn play(setting: &Setting, seed: u64) -> Outcome {
    let mut played = Played::new(setting.clone(), seed);
    let end = setting.duration.as_millis() as u64 + BEYOND;
    for step in 0..end / STEP {
        let now = step * STEP;
        played.step(now);
        let is_known = |(_, _, at): (_, _, u64)| now >= at + KNOWN_AFTER;
        if played.written.is_some_and(is_known) {
            break;
        }
    }
    played.outcome.ended = played.written;
    played.outcome
}

pub fn node(index: usize) -> NodeId {
    NodeId(([10, 0, 0, 1], 1_000 + index as u16).into())
}

fn index_of(node: NodeId) -> usize {
    usize::from(node.0.port()) - 1_000
}

/// Virtual time begins late enough for daemons that have known of the order for a while.
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

impl Played {
    fn new(setting: Setting, seed: u64) -> Self {
        let order = roll_out(setting.duration);
        let judge = |index| RollOutTrial::new(order.clone(), BOUNDS, node(index), at(0));
        let mut chance = StdRng::seed_from_u64(seed);
        let daemons = (0..setting.daemons)
            .map(|index| Daemon::new(index, &order, chance.random_range(0..1_000)))
            .collect();
        Self {
            judges: (0..JUDGES.min(setting.daemons)).map(judge).collect(),
            setting,
            chance,
            daemons,
            messages: VecDeque::new(),
            written: None,
            outcome: Outcome::default(),
        }
    }

    fn is_lost(&self, index: usize, now: u64) -> bool {
        index == 0 && self.setting.judge_killed_at.is_some_and(|at| now >= at)
    }

    fn step(&mut self, now: u64) {
        self.requests(now);
        for index in 0..self.daemons.len() {
            if self.is_lost(index, now) {
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
        if now.is_multiple_of(LOOK_EVERY) {
            for judge in 0..self.judges.len() {
                self.look(judge, now);
            }
        }
        self.check_bound();
    }

    fn requests(&mut self, now: u64) {
        let mean = self.setting.service.rate * STEP as f64 / 1_000.0;
        for _ in 0..poisson(&mut self.chance, mean) {
            let index = self.chance.random_range(0..self.daemons.len());
            if !self.is_lost(index, now) {
                let deadline = self.setting.duration;
                let service = &self.setting.service;
                self.daemons[index].request(now, service, deadline, &mut self.chance);
            }
        }
    }

    fn send(&mut self, now: u64, message: Message) {
        let (Message::Report(judge, _) | Message::Grant(_, judge, _)) = &message;
        let cut = self.setting.judge_cut;
        if *judge == 0 && cut.is_some_and(|(from, to)| (from..to).contains(&now)) {
            return;
        }
        if self.chance.random::<f64>() >= self.setting.loss {
            let arrives = now + self.chance.random_range(1..=LONGEST_WAY);
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
                Message::Report(judge, report) if !self.is_lost(judge, now) => {
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

    fn look(&mut self, judge: usize, now: u64) {
        if self.is_lost(judge, now) {
            return;
        }
        let is_noticed = now >= LOSS_NOTICED && self.is_lost(0, now - LOSS_NOTICED);
        let first = usize::from(is_noticed);
        let members: Vec<NodeId> = (first..self.daemons.len()).map(node).collect();
        let away = self.setting.source_away;
        let context = TrialContext {
            members: &members,
            rank: judge - first,
            is_source_fresh: away.is_none_or(|(from, to)| now < from || now >= to),
        };
        let verdict = self.judges[judge].look(at(now), context);
        if self.setting.are_stages_pushed {
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
