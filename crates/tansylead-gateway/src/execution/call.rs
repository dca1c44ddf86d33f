//! One answer of one service: the first attempt, hedges when it is overdue, retries when it fails.
//!
//! Invariants: a request that may not be repeated goes to a second leaf only if the first
//! provably did not run it; extra attempts that may reach a leaf are taken from the service's
//! budget; no attempt starts after the end.

use super::attempts::{Attempt, NextEnd};
use super::leaf_access::LeafAccess;
use crate::clock::Clock;
use crate::leaf::{AttemptEnd, LeafState, OutgoingRequest, ServiceState, run_attempt};
use crate::request_trace::{
    AttemptEndKind, AttemptReason, Decision, DenialReason, EndCause, RequestTrace,
};
use crate::roll_out::SendTerms;
use crate::state::Gateway;
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_http::Reply;
use tansylead_route::{BreakerVerdict, ExtraAttempt, Route, route_hash};
use tansylead_types::{LeafId, Moment};
use tokio::task::spawn_local;

/// Attempts that may fail before anything was sent; they reach no leaf and cost no budget.
const MAXIMUM_NOT_SENT: u32 = 4;
/// Before latencies are learned, an answer is overdue after this share of the objective.
const UNLEARNED_OVERDUE_SHARE: f64 = 0.4;
/// Typical latency before it is learned, as a share of the objective.
const UNLEARNED_TYPICAL_SHARE: f64 = 0.2;
/// Ways to a leaf and back within the overdue delay: one to connect and one to ask.
const WAYS: u32 = 2;

/// One call of one service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Shared state.
    pub gateway: Rc<Gateway>,
    /// Service.
    pub service: Rc<ServiceState>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Which leafs it may use.
    pub access: LeafAccess,
    /// The request.
    pub request: Rc<OutgoingRequest>,
    /// When the call ends, answered or not.
    pub end: Moment,
    /// Only successes count as answers.
    pub successes_only: bool,
    /// What the calls of one request share.
    pub shared: Rc<SharedProgress>,
    /// Decisions of the request.
    pub trace: Rc<RequestTrace>,
}

/// What the calls of one request share.
#[derive(Debug, Default)]
pub struct SharedProgress {
    /// Set once the caller has its answer: nothing more is started.
    pub settled: Cell<bool>,
    /// Whether a leaf has refused an attempt without running it.
    pub was_refused: Cell<bool>,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallEnd {
    /// An answer.
    Answered(Reply),
    /// No answer.
    Failed(CallFailure),
}

/// Why a call has no answer.
#[derive(Debug)]
pub struct CallFailure {
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    /// Whether the time was up.
    pub timed_out: bool,
    /// The last failure that a leaf answered with.
    pub reply: Option<Reply>,
}

/// Running state of a call.
struct Progress {
    attempts: Vec<Attempt>,
    tried: Vec<LeafId>,
    arrivals: u32,
    not_sent: u32,
    may_have_run: bool,
    reply: Option<Reply>,
    /// Whether any attempt was sent.
    is_sent: Rc<Cell<bool>>,
}

impl Call {
    /// Runs the call. Dropping the future ends all attempts.
    pub async fn run(self) -> CallEnd {
        self.service.on_request();
        let mut progress = Progress {
            attempts: Vec::new(),
            tried: Vec::new(),
            arrivals: 0,
            not_sent: 0,
            may_have_run: false,
            reply: None,
            is_sent: Rc::default(),
        };
        self.launch(&mut progress, AttemptReason::First, false);
        while !progress.attempts.is_empty() {
            let overdue = progress
                .attempts
                .iter()
                .filter_map(|attempt| attempt.overdue);
            let wakeup = overdue.min().unwrap_or(self.end).min(self.end);
            let wakeup = Clock.instant_at(wakeup);
            tokio::select! {
                biased;
                (attempt, end) = (NextEnd { attempts: &mut progress.attempts }) => {
                    if let Some(reply) = self.on_end(&mut progress, attempt, end) {
                        self.leave_losers(progress);
                        return CallEnd::Answered(reply);
                    }
                }
                () = tokio::time::sleep_until(wakeup) => {
                    if Clock.now() >= self.end {
                        return self.fail(progress, true);
                    }
                    self.on_overdue(&mut progress);
                }
            }
        }
        self.fail(progress, false)
    }

    fn fail(&self, progress: Progress, timed_out: bool) -> CallEnd {
        let open = progress.attempts.iter().any(Attempt::is_sent);
        CallEnd::Failed(CallFailure {
            may_have_run: progress.may_have_run || open,
            timed_out,
            reply: progress.reply,
        })
    }

    /// Lets attempts whose answers are not needed any more finish: cutting them would cost a
    /// connection each, and how they end tells something about their leafs.
    fn leave_losers(&self, progress: Progress) {
        let limit = self.route.policy.objective;
        for mut attempt in progress.attempts.into_iter().filter(Attempt::is_sent) {
            let call = self.clone();
            spawn_local(async move {
                let end = attempt.finish_within(limit).await;
                call.on_loser_end(&attempt, end);
            });
        }
    }

    /// Learns from the end of an attempt that was left to finish.
    fn on_loser_end(&self, attempt: &Attempt, end: Option<AttemptEnd>) {
        if let Some(AttemptEnd::Answered(reply)) = end
            && !reply.status.is_server_error()
        {
            self.note_answer(attempt);
        }
    }

    /// Starts an attempt at the best leaf not tried yet. Returns whether one was started.
    fn launch(&self, progress: &mut Progress, reason: AttemptReason, must_be_sound: bool) -> bool {
        if self.is_over() {
            return false;
        }
        let is_first = reason == AttemptReason::First;
        let Some(leaf) = self.choose(progress, is_first) else {
            self.deny(DenialReason::NoLeaf);
            return false;
        };
        if must_be_sound && is_avoided(&leaf) {
            return false;
        }
        self.start(progress, leaf, reason);
        true
    }

    /// Whether no attempt may start any more.
    fn is_over(&self) -> bool {
        Clock.now() >= self.end || self.shared.settled.get()
    }

    /// Starts an attempt at a leaf.
    fn start(&self, progress: &mut Progress, leaf: Rc<LeafState>, reason: AttemptReason) {
        progress.tried.push(leaf.entry().leaf.clone());
        let delay = self.overdue_delay(&leaf);
        let sent = Rc::new(Cell::new(None));
        let access = self.access.clone();
        let terms = SendTerms {
            route: route_hash(&self.route.name),
            overdue_delay: delay,
            end: self.end,
            is_request_sent: Rc::clone(&progress.is_sent),
        };
        let run = run_attempt(
            Rc::clone(&leaf),
            Rc::clone(&self.request),
            Rc::clone(&self.gateway.names),
            move |leaf| access.may_use(leaf),
            terms,
            Rc::clone(&sent),
        );
        self.gateway.metrics.on_attempt(reason.label());
        let decision = Decision::Started {
            leaf: Rc::clone(&leaf),
            reason,
            overdue: delay,
            trial: leaf.trial_stage(),
        };
        self.trace.note(self.service.name(), decision);
        let attempt = Attempt::start(leaf, Clock.now(), delay, sent, run);
        progress.attempts.push(attempt);
    }

    fn on_end(
        &self,
        progress: &mut Progress,
        attempt: Attempt,
        end: Option<AttemptEnd>,
    ) -> Option<Reply> {
        self.note_end(&attempt, end.as_ref());
        match end {
            Some(AttemptEnd::Answered(reply)) => {
                let failed = reply.status.is_server_error();
                attempt.leaf.note_end(failed);
                if !failed {
                    self.note_answer(&attempt);
                }
                progress.arrivals += 1;
                progress.may_have_run = true;
                if self.is_final(&reply) {
                    return Some(reply);
                }
                progress.reply = Some(reply);
                self.retry(progress, true);
            }
            Some(AttemptEnd::Refused(_)) => {
                self.shared.was_refused.set(true);
                attempt.leaf.note_end(true);
                progress.arrivals += 1;
                self.retry(progress, false);
            }
            Some(AttemptEnd::NotSent(_)) => {
                progress.not_sent += 1;
                if progress.not_sent < MAXIMUM_NOT_SENT && progress.attempts.is_empty() {
                    self.launch(progress, AttemptReason::NotSent, false);
                }
            }
            Some(AttemptEnd::Failed(_) | AttemptEnd::Foreign(_)) | None => {
                attempt.leaf.note_end(true);
                progress.arrivals += 1;
                progress.may_have_run = true;
                self.retry(progress, true);
            }
        }
        None
    }

    fn is_final(&self, reply: &Reply) -> bool {
        if self.successes_only {
            return reply.status.is_success()
                && reply.headers.contains_key(&self.gateway.names.signature);
        }
        let failed =
            reply.status.is_server_error() || reply.status == StatusCode::TOO_MANY_REQUESTS;
        !failed || !self.route.policy.repeatable
    }

    /// Starts another attempt after one that failed, if that is allowed.
    fn retry(&self, progress: &mut Progress, may_have_run: bool) {
        let policy = &self.route.policy;
        let allowed = policy.repeatable || !may_have_run;
        if !allowed || !progress.attempts.is_empty() {
            return;
        }
        self.launch_extra(progress, ExtraAttempt::Retry);
    }

    fn on_overdue(&self, progress: &mut Progress) {
        let now = Clock.now();
        let typical = self.typical();
        let mut is_stuck_unsent = false;
        for attempt in &mut progress.attempts {
            if attempt.overdue.is_some_and(|overdue| overdue <= now) {
                attempt.overdue = None;
                let decision = Decision::Overdue {
                    leaf: Rc::clone(&attempt.leaf),
                    is_sent: attempt.is_sent(),
                };
                self.trace.note(self.service.name(), decision);
                match attempt.sent.get() {
                    Some(sent) => {
                        let delay = attempt.overdue_delay;
                        let report = attempt.leaf.on_overdue(sent, delay, typical);
                        self.gateway.report(report);
                    }
                    None => is_stuck_unsent = true,
                }
            }
        }
        if is_stuck_unsent {
            self.replace_unsent(progress);
        } else if self.route.policy.repeatable {
            self.launch_extra(progress, ExtraAttempt::Hedge);
        }
    }

    /// Goes to another leaf if nothing has reached one: that costs no budget.
    fn replace_unsent(&self, progress: &mut Progress) {
        progress.not_sent += 1;
        let sent_elsewhere = progress.attempts.iter().any(Attempt::is_sent);
        if sent_elsewhere || progress.not_sent >= MAXIMUM_NOT_SENT {
            return;
        }
        if !self.launch(progress, AttemptReason::NotSent, true) {
            return;
        }
        if let Some(newest) = progress.attempts.pop() {
            progress.attempts.retain(Attempt::is_sent);
            progress.attempts.push(newest);
        }
    }

    /// Starts a further attempt that may reach a leaf, if attempts, time and budget allow it.
    fn launch_extra(&self, progress: &mut Progress, kind: ExtraAttempt) {
        let leaf = self.choose(progress, false);
        let is_hedge = kind == ExtraAttempt::Hedge;
        if is_hedge && leaf.as_ref().is_none_or(is_avoided) {
            // Waiting on is better than a leaf that does not answer either.
            return self.deny(DenialReason::NoSoundLeaf);
        }
        let open = progress.attempts.iter().filter(|attempt| attempt.is_sent());
        let sent = progress.arrivals + open.count() as u32;
        if sent >= self.route.policy.maximum_attempts {
            return self.deny(DenialReason::Attempts);
        }
        if self.is_over() {
            return self.deny(DenialReason::End);
        }
        let Some(leaf) = leaf else {
            return self.deny(DenialReason::NoLeaf);
        };
        if !self.service.try_take_extra(kind) {
            return self.deny(DenialReason::Budget);
        }
        let reason = match kind {
            ExtraAttempt::Hedge => AttemptReason::Hedge,
            ExtraAttempt::Retry => AttemptReason::Retry,
        };
        self.start(progress, leaf, reason);
    }

    fn deny(&self, reason: DenialReason) {
        self.gateway.metrics.on_denied(reason.label());
        self.trace
            .note(self.service.name(), Decision::Denied { reason });
    }

    fn note_end(&self, attempt: &Attempt, end: Option<&AttemptEnd>) {
        let (end, cause) = match end {
            Some(AttemptEnd::Answered(reply)) => {
                (AttemptEndKind::Answered, EndCause::Status(reply.status))
            }
            Some(AttemptEnd::Refused(reply)) => {
                (AttemptEndKind::Refused, EndCause::Status(reply.status))
            }
            Some(AttemptEnd::NotSent(error)) => {
                (AttemptEndKind::NotSent, EndCause::Error(error.to_string()))
            }
            Some(AttemptEnd::Failed(error)) => {
                (AttemptEndKind::Failed, EndCause::Error(error.to_string()))
            }
            Some(AttemptEnd::Foreign(error)) => {
                (AttemptEndKind::Foreign, EndCause::Error(error.to_string()))
            }
            None => {
                let panicked = "the attempt panicked".to_owned();
                (AttemptEndKind::Failed, EndCause::Error(panicked))
            }
        };
        self.gateway.metrics.on_attempt_end(end.label());
        let decision = Decision::Ended {
            leaf: Rc::clone(&attempt.leaf),
            end,
            cause,
            took: Clock.now().since(attempt.started),
        };
        self.trace.note(self.service.name(), decision);
    }

    fn overdue_delay(&self, leaf: &LeafState) -> Duration {
        let learned = self
            .gateway
            .with_latencies(&self.route.name, |profile| profile.overdue());
        let unlearned = self.route.policy.objective.mul_f64(UNLEARNED_OVERDUE_SHARE);
        learned.unwrap_or(unlearned) + leaf.way() * WAYS
    }

    fn typical(&self) -> Duration {
        let learned = self
            .gateway
            .with_latencies(&self.route.name, |profile| profile.typical());
        let unlearned = self.route.policy.objective.mul_f64(UNLEARNED_TYPICAL_SHARE);
        learned.unwrap_or(unlearned)
    }

    /// The best leaf not tried yet.
    fn choose(&self, progress: &Progress, is_first: bool) -> Option<Rc<LeafState>> {
        let homes = &self.access.route_in_force().policy.homes;
        let (service, tried, typical) = (&self.service, &progress.tried, self.typical());
        match is_first {
            true => service.choose(homes, tried, typical),
            false => service.choose_further(homes, tried, typical),
        }
    }

    fn note_answer(&self, attempt: &Attempt) {
        let Some(sent) = attempt.sent.get() else {
            return;
        };
        let now = Clock.now();
        let latency = now.since(sent).saturating_sub(attempt.leaf.way());
        let timely = now.since(attempt.started) < attempt.overdue_delay;
        let typical = self.gateway.with_latencies(&self.route.name, |profile| {
            profile.record(now, latency);
            profile.typical()
        });
        let typical = typical.unwrap_or(Duration::ZERO);
        let reports = attempt.leaf.on_answer(sent, timely, latency, typical);
        self.gateway.report(reports);
    }
}

/// Whether a leaf's breaker keeps new requests away from it.
fn is_avoided(leaf: &Rc<LeafState>) -> bool {
    leaf.verdict(Clock.now()) == BreakerVerdict::Avoid
}
