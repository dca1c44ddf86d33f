//! Protects leafs from a request that makes them end: decides when attempts of a call may start, and reports
//! how they end. `quarantine` decides what that means for the request.

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
    /// Whether an attempt may start, by the request's quarantine state. If it may start later and no other
    /// attempt of the call is in flight, it waits.
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

    /// Starts the waiting attempt, if it may start now.
    pub(super) fn start_waiting(&self, progress: &mut Progress) {
        match progress.waiting.take() {
            None => {}
            Some(AttemptReason::Retry) => self.launch_extra(progress, ExtraAttempt::Retry),
            Some(reason) => {
                self.launch(progress, reason, false);
            }
        }
    }

    /// Records that the connection was lost during an attempt: its leaf may have ended.
    pub(super) fn record_lost(&self, attempt: &Attempt) {
        let Some(sent) = attempt.sent.get() else {
            return;
        };
        let request = LostRequest {
            fingerprints: self.request.fingerprints,
            sent: sent.at,
            lost: Clock.now(),
            limiter: Rc::clone(&self.shared.limiter),
        };
        attempt.in_flight.on_lost();
        quarantine::on_lost(&self.gateway, &attempt.leaf, request);
    }

    /// Records that a leaf has answered after it ran the request, and is alive.
    pub(super) fn record_survival(&self, reply: &Reply) {
        // A leaf may also answer this for a request that was still queued for a slot at its deadline.
        if reply.status == StatusCode::GATEWAY_TIMEOUT {
            return;
        }
        if self.shared.limiter.on_answer() {
            let request = &self.request.fingerprints;
            self.gateway.quarantine.on_answer(request);
        }
    }

    /// Whether an attempt may start now, by the request's quarantine state.
    pub(super) fn admission(&self) -> SendAdmission {
        if self.quarantine_verdict() == Verdict::Suspect {
            self.gateway.quarantine.decide_pending(Clock.now());
        }
        let admission = self.shared.limiter.admission(self.quarantine_verdict());
        match admission {
            SendAdmission::Now => self.trial_admission(),
            SendAdmission::Later | SendAdmission::Never => admission,
        }
    }

    /// Whether a suspect request may be tried now: later while another daemon tries it, never once it has
    /// waited too long.
    fn trial_admission(&self) -> SendAdmission {
        let limiter = &self.shared.limiter;
        if self.decision_due().is_some() {
            return SendAdmission::Later;
        }
        if !self.is_untried_suspect() {
            return SendAdmission::Now;
        }
        let now = Clock.now();
        if limiter.has_trial_wait_expired(now) {
            return SendAdmission::Never;
        }
        match self.next_trial_recheck() {
            Some(_) => SendAdmission::Later,
            None => SendAdmission::Now,
        }
    }

    /// When it will be decided whether to quarantine the request: until then it is sent to no further leaf.
    fn decision_due(&self) -> Option<Moment> {
        let is_answered = self.shared.limiter.is_answered();
        let quarantine = &self.gateway.quarantine;
        (!is_answered)
            .then(|| quarantine.decision_due(&self.request.fingerprints))
            .flatten()
    }

    fn is_untried_suspect(&self) -> bool {
        let limiter = &self.shared.limiter;
        let is_suspect = self.quarantine_verdict() == Verdict::Suspect;
        is_suspect && !limiter.has_trial_begun() && !limiter.is_answered()
    }

    /// When to check again whether a suspect request may be tried; none if it may be tried now.
    pub(super) fn next_trial_recheck(&self) -> Option<Moment> {
        let decision_due = self.decision_due();
        if decision_due.is_some() {
            return decision_due;
        }
        if !self.is_untried_suspect() {
            return None;
        }
        let limiter = &self.shared.limiter;
        let now = Clock.now();
        let start = limiter.trial_start(now);
        if now < start {
            return Some(start);
        }
        let quarantine = &self.gateway.quarantine;
        let until = quarantine.trial_until(&self.request.fingerprints)?;
        // Requests that wait for the same trial must not all continue at the same moment.
        limiter.reset_trial_start();
        Some(until)
    }

    /// A closure to run right before an attempt is handed to a connection: if the request is suspect, it
    /// announces to the other daemons that the request is being tried, again for each leaf.
    pub(super) fn announce_trial(&self) -> impl Fn() + use<> {
        let gateway = Rc::clone(&self.gateway);
        let limiter = Rc::clone(&self.shared.limiter);
        let request = self.request.fingerprints;
        move || {
            let is_suspect = gateway.quarantine.verdict(&request) == Verdict::Suspect;
            if is_suspect && !limiter.is_answered() {
                limiter.set_trial_begun();
                gateway.quarantine.begin_trial(&request);
            }
        }
    }

    /// The quarantine's verdict on the request.
    pub(super) fn quarantine_verdict(&self) -> Verdict {
        self.gateway.quarantine.verdict(&self.request.fingerprints)
    }
}
