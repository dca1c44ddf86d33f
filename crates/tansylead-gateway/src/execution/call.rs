//! One call of a service: the first attempt, hedges when it is overdue, retries when it fails.
//!
//! Invariants: a request that may not be repeated goes to a second leaf only if the first
//! provably did not run it; extra attempts that may reach a leaf are taken from the service's
//! budget; no attempt starts after the end.

use super::attempts::{Attempt, NextAttemptEnd};
use super::call_end::{CallEnd, CallFailure, SharedProgress};
use super::call_extra::is_avoided;
use super::leaf_access::LeafAccess;
use crate::clock::Clock;
use crate::leaf::{AttemptEnd, LeafState, OutgoingRequest, ServiceState, run_attempt};
use crate::memory::AccountedBody;
use crate::request_trace::{AttemptReason, Decision, DenialReason, RequestTrace};
use crate::roll_out::SendTerms;
use crate::state::Gateway;
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tansylead_http::Reply;
use tansylead_route::{MemoryUse, Route, route_hash};
use tansylead_types::{LeafId, Moment};
use tokio::task::spawn_local;

/// Limit of attempts that fail before anything is sent; they reach no leaf and cost no budget.
pub(super) const MAXIMUM_NOT_SENT: u32 = 4;

/// One call of one service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Shared state.
    pub gateway: Rc<Gateway>,
    /// Service to call.
    pub service: Rc<ServiceState>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Which leafs it may use.
    pub access: LeafAccess,
    /// The request.
    pub request: Rc<OutgoingRequest>,
    /// When the call ends, answered or not.
    pub end: Moment,
    /// Whether only successes count as answers.
    pub successes_only: bool,
    /// State shared by the calls of one request.
    pub shared: Rc<SharedProgress>,
    /// Trace of the decisions for the request.
    pub trace: Rc<RequestTrace>,
}

/// Running state of a call.
pub(super) struct Progress {
    pub(super) attempts: Vec<Attempt>,
    pub(super) tried: Vec<LeafId>,
    /// Attempts that were sent and have ended.
    pub(super) ended_sent: u32,
    /// Attempts that failed or got stuck before anything was sent.
    pub(super) not_sent: u32,
    pub(super) may_have_run: bool,
    pub(super) reply: Option<Reply>,
    /// Reason of an attempt that may not start yet, because leafs have ended while running the request.
    pub(super) waiting: Option<AttemptReason>,
    /// Whether any attempt was sent.
    pub(super) is_sent: Rc<Cell<bool>>,
}

impl Call {
    /// Runs the call. Dropping the future ends all attempts.
    pub async fn run(self) -> CallEnd {
        self.service.on_request();
        let mut progress = Progress {
            attempts: Vec::new(),
            tried: Vec::new(),
            ended_sent: 0,
            not_sent: 0,
            may_have_run: false,
            reply: None,
            waiting: None,
            is_sent: Rc::default(),
        };
        self.launch(&mut progress, AttemptReason::First, false);
        while self.advance(&mut progress) {
            let recheck = self.next_recheck(&progress);
            let overdue = progress
                .attempts
                .iter()
                .filter_map(|attempt| attempt.overdue);
            let wakeup = overdue.min().unwrap_or(self.end).min(self.end);
            tokio::select! {
                biased;
                (attempt, end) = (NextAttemptEnd { attempts: &mut progress.attempts }) => {
                    if let Some(reply) = self.on_end(&mut progress, attempt, end) {
                        self.detach_losers(progress);
                        return CallEnd::Answered(reply);
                    }
                }
                () = self.shared.limiter.changed(), if progress.waiting.is_some() => {}
                () = self.gateway.quarantine.changed(), if progress.waiting.is_some() => {}
                () = Clock.sleep_until(recheck.unwrap_or(self.end)), if recheck.is_some() => {}
                () = Clock.sleep_until(wakeup) => {
                    if Clock.now() >= self.end {
                        return self.fail(progress, true);
                    }
                    self.on_overdue(&mut progress);
                }
            }
        }
        self.fail(progress, false)
    }

    /// Starts the waiting attempt, if it may start now. Returns whether an attempt is in flight or still waiting.
    fn advance(&self, progress: &mut Progress) -> bool {
        self.start_waiting(progress);
        !progress.attempts.is_empty() || progress.waiting.is_some()
    }

    /// When to check again whether the waiting attempt may start, if that depends on time.
    fn next_recheck(&self, progress: &Progress) -> Option<Moment> {
        progress.waiting.and_then(|_| self.next_trial_recheck())
    }

    fn fail(&self, progress: Progress, timed_out: bool) -> CallEnd {
        let open = progress.attempts.iter().any(Attempt::is_sent);
        CallEnd::Failed(CallFailure {
            may_have_run: progress.may_have_run || open,
            timed_out,
            reply: progress.reply,
        })
    }

    /// Lets attempts whose answers are no longer needed finish: cancelling them would cost a
    /// connection each, and how they end is evidence on their leafs.
    fn detach_losers(&self, progress: Progress) {
        let limit = self.route.policy.objective;
        for mut attempt in progress.attempts.into_iter().filter(Attempt::is_sent) {
            let call = self.clone();
            spawn_local(async move {
                let end = attempt.finish_within(limit).await;
                call.on_loser_end(&attempt, end);
            });
        }
    }

    /// Starts an attempt at the best untried leaf. Returns whether one was started.
    pub(super) fn launch(
        &self,
        progress: &mut Progress,
        reason: AttemptReason,
        must_be_healthy: bool,
    ) -> bool {
        if self.is_over() || !self.is_admitted(progress, reason) {
            return false;
        }
        let is_first = reason == AttemptReason::First;
        let Some(leaf) = self.choose(progress, is_first) else {
            self.deny(DenialReason::NoLeaf);
            return false;
        };
        if must_be_healthy && is_avoided(&leaf) {
            return false;
        }
        self.start(progress, leaf, reason);
        true
    }

    /// Whether no further attempt may start.
    pub(super) fn is_over(&self) -> bool {
        Clock.now() >= self.end || self.shared.settled.get()
    }

    /// Starts an attempt at a leaf.
    pub(super) fn start(
        &self,
        progress: &mut Progress,
        leaf: Rc<LeafState>,
        reason: AttemptReason,
    ) {
        progress.tried.push(leaf.entry().leaf.clone());
        let delay = self.overdue_delay(&leaf);
        let sent = Rc::new(Cell::new(None));
        let access = self.access.clone();
        let announce_trial = self.announce_trial();
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
            move |leaf| {
                let may_use = access.may_use(leaf);
                if may_use {
                    announce_trial();
                }
                may_use
            },
            terms,
            Rc::clone(&sent),
            AccountedBody::new(&self.gateway.memory, &self.request.held, MemoryUse::Answer),
        );
        self.gateway.metrics.on_attempt(reason.label());
        let decision = Decision::Started {
            leaf: Rc::clone(&leaf),
            reason,
            overdue: delay,
            trial: leaf.trial_stage(),
        };
        self.trace.record(self.service.name(), decision);
        let verdict = self.quarantine_verdict();
        let in_flight = self.shared.limiter.begin(verdict);
        let attempt = Attempt::start(
            leaf,
            Clock.now(),
            delay,
            sent,
            run,
            in_flight,
            self.request.fingerprints,
        );
        progress.attempts.push(attempt);
    }

    fn on_end(
        &self,
        progress: &mut Progress,
        attempt: Attempt,
        end: Option<AttemptEnd>,
    ) -> Option<Reply> {
        self.record_end(&attempt, end.as_ref());
        if let Some(AttemptEnd::Lost(_)) = end {
            self.record_lost(&attempt);
        }
        match end {
            Some(AttemptEnd::Answered(reply)) => {
                self.record_survival(&reply);
                let failed = reply.status.is_server_error();
                attempt.leaf.record_end(failed);
                if !failed {
                    self.record_answer(&attempt);
                }
                progress.ended_sent += 1;
                progress.may_have_run = true;
                if self.is_final(&reply) {
                    return Some(reply);
                }
                progress.reply = Some(reply);
                self.retry(progress, true);
            }
            Some(AttemptEnd::Refused(_)) => {
                self.shared.was_refused.set(true);
                attempt.leaf.record_end(true);
                progress.ended_sent += 1;
                self.retry(progress, false);
            }
            Some(AttemptEnd::NotSent(_)) => {
                progress.not_sent += 1;
                if progress.not_sent < MAXIMUM_NOT_SENT && progress.attempts.is_empty() {
                    self.launch(progress, AttemptReason::NotSent, false);
                }
            }
            // Another answer would find no memory either.
            Some(AttemptEnd::NoMemory(_)) => {
                progress.ended_sent += 1;
                progress.may_have_run = true;
            }
            Some(AttemptEnd::Failed(_) | AttemptEnd::Lost(_) | AttemptEnd::Mismatched(_))
            | None => {
                attempt.leaf.record_end(true);
                progress.ended_sent += 1;
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

    /// The best untried leaf.
    pub(super) fn choose(&self, progress: &Progress, is_first: bool) -> Option<Rc<LeafState>> {
        let homes = &self.access.route_in_force().policy.homes;
        let (service, tried, typical) = (&self.service, &progress.tried, self.typical());
        match is_first {
            true => service.choose(homes, tried, typical),
            false => service.choose_further(homes, tried, typical),
        }
    }
}
