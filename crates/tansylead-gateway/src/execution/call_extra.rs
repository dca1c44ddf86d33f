//! Further attempts of a call: hedges when an answer is overdue, retries after a failure, and attempts at
//! another leaf when nothing was sent.

use super::attempts::Attempt;
use super::call::{Call, MAXIMUM_NOT_SENT, Progress};
use crate::clock::Clock;
use crate::leaf::LeafState;
use crate::request_trace::{AttemptReason, Decision, DenialReason};
use std::rc::Rc;
use tansylead_route::{BreakerVerdict, ExtraAttempt};

impl Call {
    /// Starts another attempt after one that failed, if that is allowed.
    pub(super) fn retry(&self, progress: &mut Progress, may_have_run: bool) {
        let policy = &self.route.policy;
        let allowed = policy.repeatable || !may_have_run;
        if !allowed || !progress.attempts.is_empty() {
            return;
        }
        self.launch_extra(progress, ExtraAttempt::Retry);
    }

    pub(super) fn on_overdue(&self, progress: &mut Progress) {
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
                self.trace.record(self.service.name(), decision);
                match attempt.sent.get() {
                    Some(sent) => {
                        let delay = attempt.overdue_delay;
                        let report = attempt.leaf.on_overdue(sent.at, delay, typical);
                        self.gateway.report(report);
                        if sent.is_kept_connection {
                            self.record_kept_overdue(attempt, sent.at);
                        }
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

    /// Starts an attempt at another leaf if nothing was sent to any: that costs no budget.
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

    /// Starts a further attempt that may reach a leaf, if the number of attempts, time and budget allow it.
    pub(super) fn launch_extra(&self, progress: &mut Progress, kind: ExtraAttempt) {
        let reason = match kind {
            ExtraAttempt::Hedge => AttemptReason::Hedge,
            ExtraAttempt::Retry => AttemptReason::Retry,
        };
        if !self.is_admitted(progress, reason) {
            return;
        }
        let leaf = self.choose(progress, false);
        let is_hedge = kind == ExtraAttempt::Hedge;
        if is_hedge && leaf.as_ref().is_none_or(is_avoided) {
            // It is better to keep waiting than to try a leaf that does not answer either.
            return self.deny(DenialReason::NoHealthyLeaf);
        }
        let open = progress.attempts.iter().filter(|attempt| attempt.is_sent());
        let sent = progress.ended_sent + open.count() as u32;
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
        self.start(progress, leaf, reason);
    }
}

/// Whether new requests should avoid the leaf.
pub(super) fn is_avoided(leaf: &Rc<LeafState>) -> bool {
    leaf.verdict(Clock.now()) == BreakerVerdict::Avoid
}
