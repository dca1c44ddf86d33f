//! Deterministic fleet of a roll-out: the daemons get requests in turn and send what they are granted.

use std::time::Duration;
use tansylead_route::{
    ExposureBounds, Grant, OrderId, Revision, RollOut, RollOutReport, RollOutState, RollOutTrial,
    RouteEvidence, Stage, TrialContext, TrialCounts, TrialVerdict,
};
use tansylead_types::{Moment, NodeId};

pub const DURATION: Duration = Duration::from_secs(12);
/// [`DURATION`] in milliseconds.
pub const DEADLINE: u64 = 12_000;
/// Time between evaluations, in milliseconds.
const STEP: u64 = 250;
/// Requests of all daemons between two evaluations: a hundred a second.
const REQUESTS: u64 = 25;
/// Latency of each answer of old leafs.
pub const LATENCY: Duration = Duration::from_millis(10);

pub fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

pub fn node(index: usize) -> NodeId {
    NodeId(([10, 0, 0, 1], 1_000 + index as u16).into())
}

/// The judge under test: the first daemon.
pub fn judge() -> NodeId {
    node(0)
}

pub fn bounds() -> ExposureBounds {
    ExposureBounds {
        share: 0.1,
        slack: 50.0,
    }
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

pub struct Fleet {
    pub trial: RollOutTrial,
    order: RollOut,
    bounds: ExposureBounds,
    members: Vec<NodeId>,
    reports: Vec<RollOutReport>,
    grants: Vec<Option<Grant>>,
    millis: u64,
    verdict: TrialVerdict,
    pub rank: usize,
    pub is_source_fresh: bool,
    pub answers_new: bool,
    pub fails_new: bool,
    /// Latency of each answer of the target version.
    pub new_latency: Duration,
    /// The target version is the only one that runs, and gets all requests.
    pub is_alone: bool,
    /// Every daemon always has an attempt in progress on old leafs.
    pub runs_on_old: bool,
    /// A daemon that does not report.
    pub silent: Option<usize>,
    /// Number of daemons, from the first on, that can reach the judge.
    pub reachable: usize,
    /// Number of daemons, from the first on, that the membership lists.
    pub listed: usize,
    /// The target version also gets requests that this judge has not granted.
    pub sends_anyway: bool,
    /// Stage that is reported in place of the granted one.
    pub reported_stage: Option<Stage>,
    /// How long before the judge the daemons learned of the order, in milliseconds.
    pub known_before: u64,
}

impl Fleet {
    pub fn new(daemons: usize) -> Self {
        let order = roll_out(DURATION);
        let report = |index| RollOutReport {
            service: order.service.clone(),
            order: order.order,
            reporter: node(index),
            boot: 1,
            sequence: 0,
            known_for_millis: 0,
            follows: Some(judge()),
            stage: None,
            evidence: Default::default(),
        };
        Self {
            trial: RollOutTrial::new(order.clone(), bounds(), judge(), at(0)),
            bounds: bounds(),
            members: (0..daemons).map(node).collect(),
            reports: (0..daemons).map(report).collect(),
            grants: vec![None; daemons],
            millis: 0,
            verdict: TrialVerdict {
                stage: Stage::Trial,
                write: None,
            },
            order,
            rank: 0,
            is_source_fresh: true,
            answers_new: true,
            fails_new: false,
            new_latency: LATENCY,
            is_alone: false,
            runs_on_old: false,
            silent: None,
            reachable: daemons,
            listed: daemons,
            sends_anyway: false,
            reported_stage: None,
            known_before: 0,
        }
    }

    pub fn set_bounds(&mut self, share: f64, slack: f64) {
        self.bounds = ExposureBounds { share, slack };
        self.restart_trial();
    }

    pub fn set_state(&mut self, state: RollOutState) {
        self.order.state = state;
        self.restart_trial();
    }

    fn restart_trial(&mut self) {
        self.trial = RollOutTrial::new(self.order.clone(), self.bounds, judge(), self.now());
    }

    pub fn follow(&mut self, judge: Option<NodeId>) {
        for report in &mut self.reports {
            report.follows = judge;
        }
    }

    pub fn restart(&mut self, daemon: usize) {
        let report = &mut self.reports[daemon];
        report.boot += 1;
        report.sequence = 0;
        report.evidence = Default::default();
        self.grants[daemon] = None;
    }

    pub fn now(&self) -> Moment {
        at(self.millis)
    }

    pub fn verdict(&self) -> TrialVerdict {
        self.verdict
    }

    pub fn counts(&self) -> TrialCounts {
        self.trial.counts()
    }

    pub fn sent(&self, daemon: usize) -> u64 {
        self.reports[daemon].evidence.new_sends
    }

    /// Advances the time without requests, reports or evaluations.
    pub fn skip(&mut self, millis: u64) {
        self.millis += millis;
    }

    pub fn run_until(&mut self, millis: u64) {
        while self.millis < millis {
            self.run(STEP);
        }
    }

    /// Advances the time with requests, reports, evaluations and grants.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.advance(STEP);
            self.report_all();
            self.evaluate();
            for daemon in 0..self.reports.len() {
                self.grant(daemon);
            }
        }
    }

    pub fn context(&self) -> TrialContext<'_> {
        TrialContext {
            members: &self.members[..self.listed],
            rank: self.rank,
            is_source_fresh: self.is_source_fresh,
            is_alone: self.is_alone,
        }
    }

    pub fn evaluate(&mut self) -> TrialVerdict {
        let context = TrialContext {
            members: &self.members[..self.listed],
            rank: self.rank,
            is_source_fresh: self.is_source_fresh,
            is_alone: self.is_alone,
        };
        self.verdict = self.trial.evaluate(at(self.millis), context);
        self.verdict
    }

    pub fn grant(&mut self, daemon: usize) -> Grant {
        let grant = self.trial.grant(self.now(), node(daemon));
        self.grants[daemon] = Some(grant);
        grant
    }

    pub fn grant_all(&mut self) -> Vec<Grant> {
        let daemons = 0..self.reports.len();
        daemons.map(|daemon| self.grant(daemon)).collect()
    }

    pub fn report_all(&mut self) -> Vec<RollOutReport> {
        let daemons = 0..self.reachable;
        let reporting = daemons.filter(|daemon| self.silent != Some(*daemon));
        let reporting: Vec<usize> = reporting.collect();
        reporting
            .into_iter()
            .map(|daemon| self.report(daemon))
            .collect()
    }

    pub fn report(&mut self, daemon: usize) -> RollOutReport {
        let granted = self.grants[daemon].map(|grant| grant.stage);
        let report = &mut self.reports[daemon];
        report.sequence += 1;
        report.known_for_millis = (self.millis + self.known_before) as u32;
        report.stage = self.reported_stage.or(granted);
        report.evidence.running_on_old = u32::from(self.runs_on_old);
        self.trial.on_report(at(self.millis), report);
        report.clone()
    }

    pub fn requests(&self) -> u64 {
        let reports = self.reports.iter();
        reports.map(|report| report.evidence.requests).sum()
    }

    /// Sends made, and those that the last grants still allow.
    pub fn granted(&self) -> u64 {
        let daemons = self.reports.iter().zip(&self.grants);
        let most = daemons.map(|(report, grant)| {
            let limit = grant.map_or(0, |grant| grant.limit);
            report.evidence.new_sends.max(limit)
        });
        most.sum()
    }

    /// Advances the time with requests only.
    pub fn advance(&mut self, millis: u64) {
        self.millis += millis;
        let daemons = self.reports.len() as u64;
        for request in 0..REQUESTS {
            let turn = self.millis / STEP * REQUESTS + request;
            self.request((turn % daemons) as usize);
        }
    }

    pub fn request(&mut self, daemon: usize) {
        if self.silent == Some(daemon) {
            return;
        }
        let evidence = &mut self.reports[daemon].evidence;
        evidence.requests += 1;
        if evidence.routes.is_empty() {
            evidence.routes.push(RouteEvidence::default());
        }
        let route = &mut evidence.routes[0];
        let grant = self.grants[daemon];
        let is_granted = grant.is_some_and(|grant| evidence.new_sends < grant.limit);
        let is_sent_anyway =
            self.is_alone || self.sends_anyway && evidence.requests.is_multiple_of(10);
        if !is_granted && !is_sent_anyway {
            route.old.good += 1;
            route.old.latencies.add(LATENCY);
            return;
        }
        evidence.new_sends += 1;
        if !self.answers_new {
            return;
        }
        if self.fails_new {
            route.new.failed += 1;
        } else {
            route.new.good += 1;
            route.new.latencies.add(self.new_latency);
        }
    }
}
