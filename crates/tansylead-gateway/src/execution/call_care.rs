//! The care of a call for leafs that end under its request: when its attempts may start, and what is learned
//! from how they end. What that means for the request is decided in `quarantine`.

use super::attempts::Attempt;
use super::call::{Call, Progress};
use crate::clock::Clock;
use crate::leaf::LostRequest;
use crate::quarantine::{self, SendAdmission};
use crate::request_trace::{AttemptReason, DenialReason};
use hyper::StatusCode;
use std::rc::Rc;
use tansylead_http::Reply;
use tansylead_route::{ExtraAttempt, Verdict};
use tansylead_types::Moment;

impl Call {
    /// Whether an attempt may start, by what is known of leafs that end under the request. If it may later,
    /// and nothing else of the call is under way, it waits.
    pub(super) fn is_admitted(&self, progress: &mut Progress, reason: AttemptReason) -> bool {
        match self.admission() {
            SendAdmission::Now => true,
            SendAdmission::Later if progress.attempts.is_empty() => {
                progress.waiting = Some(reason);
                false
            }
            SendAdmission::Later => {
                self.deny(DenialReason::OneAtATime);
                false
            }
            SendAdmission::Never => {
                self.deny(DenialReason::Quarantined);
                false
            }
        }
    }

    /// Starts the attempt that had to wait, if it may start now.
    pub(super) fn start_waiting(&self, progress: &mut Progress) {
        match progress.waiting.take() {
            None => {}
            Some(AttemptReason::Retry) => self.launch_extra(progress, ExtraAttempt::Retry),
            Some(reason) => {
                self.launch(progress, reason, false);
            }
        }
    }

    /// Notes that the connection was lost under an attempt: its leaf may have ended.
    pub(super) fn note_lost(&self, attempt: &Attempt) {
        let Some(sent) = attempt.sent.get() else {
            return;
        };
        let request = LostRequest {
            fingerprints: self.request.fingerprints,
            sent: sent.at,
            lost: Clock.now(),
            care: Rc::clone(&self.shared.care),
        };
        attempt.in_flight.on_lost();
        quarantine::on_lost(&self.gateway, &attempt.leaf, request);
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
        match self.next_trial_recheck() {
            Some(_) => SendAdmission::Later,
            None => SendAdmission::Now,
        }
    }

    fn is_untried_suspect(&self) -> bool {
        let care = &self.shared.care;
        let is_suspect = self.quarantine_verdict() == Verdict::Suspect;
        is_suspect && !care.is_tried() && !care.is_answered()
    }

    /// When to check again whether a suspect may be tried; none if it may be now.
    pub(super) fn next_trial_recheck(&self) -> Option<Moment> {
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
}
