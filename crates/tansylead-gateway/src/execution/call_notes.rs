//! What a call notes of its attempts: for the request's trace, for metrics, and for the choice of leafs
//! and the delays of later requests.

use super::attempts::Attempt;
use super::call::Call;
use crate::clock::Clock;
use crate::leaf::{AttemptEnd, LeafState, LostRun};
use crate::quarantine::{self, SendAdmission};
use crate::request_trace::{AttemptEndKind, Decision, DenialReason, EndCause};
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::Reply;
use tansylead_route::Verdict;
use tansylead_types::Moment;

/// Before latencies are learned, an answer is overdue after this share of the objective.
const UNLEARNED_OVERDUE_SHARE: f64 = 0.4;
/// Typical latency before it is learned, as a share of the objective.
const UNLEARNED_TYPICAL_SHARE: f64 = 0.2;
/// Ways to a leaf and back within the overdue delay: one to connect and one to ask.
const WAYS: u32 = 2;

impl Call {
    /// Notes that an answer of any kind has come: the connection lives.
    fn note_sign_of_life(&self, attempt: &Attempt) {
        if attempt.sent.get().is_some_and(|sent| sent.on_kept) {
            let now = Clock.now();
            attempt.leaf.on_kept_answer(now);
            self.gateway.on_kept_answer(now);
        }
    }

    /// Notes that no answer has come in the usual time on a connection that had been kept.
    pub(super) fn note_kept_overdue(&self, attempt: &Attempt, sent: Moment) {
        let now = Clock.now();
        attempt.leaf.on_kept_overdue(now, sent);
        self.gateway.on_kept_overdue(now, sent);
    }

    /// Learns from the end of an attempt that was left to finish.
    pub(super) fn on_loser_end(&self, attempt: &Attempt, end: Option<AttemptEnd>) {
        if let Some(AttemptEnd::Answered(_) | AttemptEnd::Refused(_)) = end {
            self.note_sign_of_life(attempt);
        }
        if let Some(AttemptEnd::Answered(reply)) = &end {
            self.note_survived(reply);
        }
        if let Some(AttemptEnd::Answered(reply)) = end
            && !reply.status.is_server_error()
        {
            self.note_answer(attempt);
        }
    }

    /// Notes that the connection was lost under an attempt: its leaf may have ended.
    pub(super) fn note_lost(&self, attempt: &Attempt) {
        let Some(sent) = attempt.sent.get() else {
            return;
        };
        let run = LostRun {
            fingerprints: self.request.fingerprints,
            sent: sent.at,
            lost: Clock.now(),
            care: Rc::clone(&self.shared.care),
        };
        attempt.in_flight.on_lost();
        quarantine::on_lost(&self.gateway, &attempt.leaf, run);
    }

    /// Notes that a leaf has answered after it ran the request, and lives.
    pub(super) fn note_survived(&self, reply: &Reply) {
        // A leaf may say so of a request that still waits for a slot when its time is up.
        if reply.status == StatusCode::GATEWAY_TIMEOUT {
            return;
        }
        if self.shared.care.on_answer() {
            let request = &self.request.fingerprints;
            self.gateway.quarantine.on_answer(request);
        }
    }

    /// Whether an attempt may start now, by what is known of leafs that end under the request.
    pub(super) fn admission(&self) -> SendAdmission {
        let admission = self.shared.care.admission(self.quarantine_verdict());
        match admission {
            SendAdmission::Now => self.trial_admission(),
            SendAdmission::Later | SendAdmission::Never => admission,
        }
    }

    /// Whether a suspect may be tried now: not while another daemon tries it, and not for long after.
    fn trial_admission(&self) -> SendAdmission {
        let care = &self.shared.care;
        if !self.is_untried_suspect() {
            return SendAdmission::Now;
        }
        let now = Clock.now();
        if care.has_waited_too_long(now) {
            return SendAdmission::Never;
        }
        match self.next_trial_look() {
            Some(_) => SendAdmission::Later,
            None => SendAdmission::Now,
        }
    }

    fn is_untried_suspect(&self) -> bool {
        let care = &self.shared.care;
        let is_suspect = self.quarantine_verdict() == Verdict::Suspect;
        is_suspect && !care.is_tried() && !care.is_answered()
    }

    /// When to look again whether a suspect may be tried; none if it may be now.
    pub(super) fn next_trial_look(&self) -> Option<Moment> {
        if !self.is_untried_suspect() {
            return None;
        }
        let care = &self.shared.care;
        let now = Clock.now();
        let turn = care.turn(now);
        if now < turn {
            return Some(turn);
        }
        let quarantine = &self.gateway.quarantine;
        let until = quarantine.trial_until(&self.request.fingerprints)?;
        // Whoever waits for the same trial does not go on at the same moment.
        care.give_up_turn();
        Some(until)
    }

    /// What is done right before an attempt is handed to a connection: if the request is a suspect, the other
    /// daemons are told that it is being tried, anew for each leaf.
    pub(super) fn announce_trial(&self) -> impl Fn() + use<> {
        let gateway = Rc::clone(&self.gateway);
        let care = Rc::clone(&self.shared.care);
        let request = self.request.fingerprints;
        move || {
            let is_suspect = gateway.quarantine.verdict(&request) == Verdict::Suspect;
            if is_suspect && !care.is_answered() {
                care.set_tried();
                gateway.quarantine.begin_trial(&request);
            }
        }
    }

    /// What is known of leafs that end under the request.
    pub(super) fn quarantine_verdict(&self) -> Verdict {
        self.gateway.quarantine.verdict(&self.request.fingerprints)
    }

    pub(super) fn deny(&self, reason: DenialReason) {
        self.gateway.metrics.on_denied(reason.label());
        self.trace
            .note(self.service.name(), Decision::Denied { reason });
    }

    pub(super) fn note_end(&self, attempt: &Attempt, end: Option<&AttemptEnd>) {
        if let Some(AttemptEnd::Answered(_) | AttemptEnd::Refused(_)) = end {
            self.note_sign_of_life(attempt);
        }
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
            Some(AttemptEnd::Lost(error)) => {
                (AttemptEndKind::Lost, EndCause::Error(error.to_string()))
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

    pub(super) fn overdue_delay(&self, leaf: &LeafState) -> Duration {
        let learned = self
            .gateway
            .with_latencies(&self.route.name, |profile| profile.overdue());
        let unlearned = self.route.policy.objective.mul_f64(UNLEARNED_OVERDUE_SHARE);
        learned.unwrap_or(unlearned) + leaf.way() * WAYS
    }

    pub(super) fn typical(&self) -> Duration {
        let learned = self
            .gateway
            .with_latencies(&self.route.name, |profile| profile.typical());
        let unlearned = self.route.policy.objective.mul_f64(UNLEARNED_TYPICAL_SHARE);
        learned.unwrap_or(unlearned)
    }

    pub(super) fn note_answer(&self, attempt: &Attempt) {
        let Some(sent) = attempt.sent.get() else {
            return;
        };
        let now = Clock.now();
        let latency = now.since(sent.at).saturating_sub(attempt.leaf.way());
        let timely = now.since(attempt.started) < attempt.overdue_delay;
        let typical = self.gateway.with_latencies(&self.route.name, |profile| {
            profile.record(now, latency);
            profile.typical()
        });
        let typical = typical.unwrap_or(Duration::ZERO);
        let reports = attempt.leaf.on_answer(sent.at, timely, latency, typical);
        self.gateway.report(reports);
    }
}
