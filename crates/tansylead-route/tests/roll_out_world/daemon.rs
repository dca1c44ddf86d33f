//! Simulated daemon that sends within its grants and reports.

use super::service::{Attempt, Service};
use super::{at, node};
use rand::{Rng, RngExt};
use std::time::Duration;
use tansylead_route::{Grant, RollOut, RollOutEvidence, RollOutReport, RouteEvidence, Stage};

/// Report period in milliseconds while there are requests, or in the stages `Shift` and `Commit`.
const BUSY_PERIOD: u64 = 200;
/// Report period in milliseconds otherwise.
const IDLE_PERIOD: u64 = 1_000;
/// A judge that has not answered a report for longer than this, in milliseconds, is not followed.
const FOLLOWED_FOR: u64 = 600;

struct Running {
    ends: u64,
    is_new: bool,
    is_good: bool,
    route: u32,
    latency: Duration,
}

/// The last grant of one judge.
#[derive(Clone, Copy)]
struct ReceivedGrant {
    at: u64,
    grant: Grant,
}

pub struct Daemon {
    report: RollOutReport,
    judges: [Option<ReceivedGrant>; super::JUDGES],
    /// When the first report that a judge has not answered was sent, for each judge.
    unanswered: [Option<u64>; super::JUDGES],
    running: Vec<Running>,
    reports_at: u64,
    last_request: Option<u64>,
    pub sends_on_trial: u64,
    pub bad_answers: u64,
}

impl Daemon {
    pub fn new(index: usize, order: &RollOut, first_report: u64) -> Self {
        let report = RollOutReport {
            service: order.service.clone(),
            order: order.order,
            reporter: node(index),
            boot: 1,
            sequence: 0,
            known_for_millis: 0,
            follows: None,
            stage: None,
            evidence: RollOutEvidence::default(),
        };
        Self {
            report,
            judges: [None; super::JUDGES],
            unanswered: [None; super::JUDGES],
            running: Vec::new(),
            reports_at: first_report,
            last_request: None,
            sends_on_trial: 0,
            bad_answers: 0,
        }
    }

    pub fn requests(&self) -> u64 {
        self.report.evidence.requests
    }

    fn followed(&self, now: u64) -> Option<(usize, ReceivedGrant)> {
        let judges = self.judges.iter().enumerate();
        let mut received = judges.filter_map(|(judge, received)| Some((judge, (*received)?)));
        received.find(|(judge, _)| {
            self.unanswered[*judge].is_none_or(|sent| now - sent <= FOLLOWED_FOR)
        })
    }

    /// The stage and the limit granted by the judge that is followed.
    fn stage(&self, now: u64) -> Option<(Stage, u64)> {
        let (_, received) = self.followed(now)?;
        let is_valid = at(now).since(at(received.at)) < received.grant.valid;
        let limit = if is_valid { received.grant.limit } else { 0 };
        Some((received.grant.stage, limit))
    }

    pub fn request(&mut self, now: u64, service: &Service, duration: Duration, rng: &mut impl Rng) {
        let is_started = now >= service.starts_after;
        let (is_new, stage) = match self.stage(now) {
            Some((Stage::Commit, _)) => (true, Some(Stage::Commit)),
            Some((Stage::RollBack, _)) | None => (false, None),
            Some((stage, limit)) => {
                let is_granted = self.report.evidence.new_sends < limit;
                (is_started && is_granted, Some(stage))
            }
        };
        let attempt = Attempt {
            is_new,
            route: rng.random_range(0..service.routes),
            is_loaded: matches!(stage, Some(Stage::Shift | Stage::Commit)),
            duration,
        };
        self.report.evidence.requests += 1;
        self.last_request = Some(now);
        if is_new {
            self.report.evidence.new_sends += 1;
            self.sends_on_trial += u64::from(stage != Some(Stage::Commit));
        }
        let answer = service.answer(now, &attempt, rng);
        self.running.push(Running {
            ends: now + (answer.latency.as_millis() as u64).max(1),
            is_new,
            is_good: answer.is_good,
            route: attempt.route,
            latency: answer.latency,
        });
    }

    pub fn finish_attempts(&mut self, now: u64) {
        let (ended, running) = self
            .running
            .drain(..)
            .partition(|running| running.ends <= now);
        self.running = running;
        let ended: Vec<Running> = ended;
        let runs_on_old = self.running.iter().any(|running| !running.is_new);
        let has_left_old = ended.iter().any(|running| !running.is_new) && !runs_on_old;
        for attempt in ended {
            self.count(&attempt);
        }
        if has_left_old && self.is_moving() {
            self.reports_at = now;
        }
    }

    /// Whether judges wait for the end of the last attempt on old leafs.
    fn is_moving(&self) -> bool {
        matches!(self.report.stage, Some(Stage::Shift | Stage::Commit))
    }

    fn count(&mut self, attempt: &Running) {
        let routes = &mut self.report.evidence.routes;
        let known = routes.iter().position(|route| route.route == attempt.route);
        let place = known.unwrap_or_else(|| {
            routes.push(RouteEvidence {
                route: attempt.route,
                ..RouteEvidence::default()
            });
            routes.len() - 1
        });
        let route = &mut routes[place];
        let side = if attempt.is_new {
            &mut route.new
        } else {
            &mut route.old
        };
        if attempt.is_good {
            side.good += 1;
            side.latencies.add(attempt.latency);
        } else {
            side.failed += 1;
            self.bad_answers += u64::from(attempt.is_new);
        }
    }

    pub fn on_grant(&mut self, now: u64, judge: usize, grant: Grant) {
        self.unanswered[judge] = None;
        self.judges[judge] = Some(ReceivedGrant { at: now, grant });
        let stage = self.stage(now).map(|(stage, _)| stage);
        if stage != self.report.stage {
            self.reports_at = now;
        }
    }

    pub fn report(&mut self, now: u64) -> Option<RollOutReport> {
        if now < self.reports_at {
            return None;
        }
        let has_requests = self.last_request.is_some_and(|at| now - at <= BUSY_PERIOD);
        let is_busy = has_requests || self.is_moving();
        for unanswered in &mut self.unanswered {
            unanswered.get_or_insert(now);
        }
        self.reports_at = now + if is_busy { BUSY_PERIOD } else { IDLE_PERIOD };
        self.report.sequence += 1;
        self.report.known_for_millis = now as u32;
        self.report.follows = self.followed(now).map(|(judge, _)| node(judge));
        self.report.stage = self.stage(now).map(|(stage, _)| stage);
        let on_new = self.running.iter().filter(|running| running.is_new).count();
        self.report.evidence.running_on_new = on_new as u32;
        self.report.evidence.running_on_old = (self.running.len() - on_new) as u32;
        Some(self.report.clone())
    }
}
