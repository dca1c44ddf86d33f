//! Records how the attempts of a call went: for the request's trace, for metrics, and for the choice of
//! leafs and the hedge delays of later requests.

use super::attempts::Attempt;
use super::call::Call;
use crate::clock::Clock;
use crate::leaf::{AttemptEnd, LeafState};
use crate::request_trace::{AttemptEndKind, Decision, DenialReason, EndCause};
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::Moment;

/// Until latencies are learned, an answer is overdue after this share of the objective.
const UNLEARNED_OVERDUE_SHARE: f64 = 0.4;
/// Typical latency until it is learned, as a share of the objective.
const UNLEARNED_TYPICAL_SHARE: f64 = 0.2;
/// Round trips to a leaf within the overdue delay: one to connect and one for the request.
const ROUND_TRIPS: u32 = 2;

impl Call {
    /// Records that an answer of any kind has arrived: the connection is alive.
    fn record_alive(&self, attempt: &Attempt) {
        if attempt
            .sent
            .get()
            .is_some_and(|sent| sent.is_kept_connection)
        {
            let now = Clock.now();
            attempt.leaf.on_kept_answer(now);
            self.gateway.on_kept_answer(now);
        }
    }

    /// Records that no answer has arrived in the usual time on a connection that had been kept.
    pub(super) fn record_kept_overdue(&self, attempt: &Attempt, sent: Moment) {
        let now = Clock.now();
        attempt.leaf.on_kept_overdue(now, sent);
        self.gateway.on_kept_overdue(now, sent);
    }

    /// Records the end of an attempt that was left to finish after the call was answered.
    pub(super) fn on_loser_end(&self, attempt: &Attempt, end: Option<AttemptEnd>) {
        if let Some(AttemptEnd::Answered(_) | AttemptEnd::Refused(_) | AttemptEnd::NoMemory(_)) =
            end
        {
            self.record_alive(attempt);
        }
        if let Some(AttemptEnd::Answered(reply)) = &end {
            self.record_survival(reply);
        }
        if let Some(AttemptEnd::Answered(reply)) = end
            && !reply.status.is_server_error()
        {
            self.record_answer(attempt);
        }
    }

    pub(super) fn deny(&self, reason: DenialReason) {
        self.gateway.metrics.on_denied(reason.label());
        self.trace
            .record(self.service.name(), Decision::Denied { reason });
    }

    pub(super) fn record_end(&self, attempt: &Attempt, end: Option<&AttemptEnd>) {
        if let Some(AttemptEnd::Answered(_) | AttemptEnd::Refused(_) | AttemptEnd::NoMemory(_)) =
            end
        {
            self.record_alive(attempt);
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
            Some(AttemptEnd::NoMemory(error)) => {
                (AttemptEndKind::NoMemory, EndCause::Error(error.to_string()))
            }
            Some(AttemptEnd::Mismatched(error)) => (
                AttemptEndKind::Mismatched,
                EndCause::Error(error.to_string()),
            ),
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
        self.trace.record(self.service.name(), decision);
    }

    pub(super) fn overdue_delay(&self, leaf: &LeafState) -> Duration {
        let learned = self
            .gateway
            .with_latencies(&self.route.name, |profile| profile.overdue());
        let unlearned = self.route.policy.objective.mul_f64(UNLEARNED_OVERDUE_SHARE);
        learned.unwrap_or(unlearned) + leaf.round_trip() * ROUND_TRIPS
    }

    pub(super) fn typical(&self) -> Duration {
        let learned = self
            .gateway
            .with_latencies(&self.route.name, |profile| profile.typical());
        let unlearned = self.route.policy.objective.mul_f64(UNLEARNED_TYPICAL_SHARE);
        learned.unwrap_or(unlearned)
    }

    pub(super) fn record_answer(&self, attempt: &Attempt) {
        let Some(sent) = attempt.sent.get() else {
            return;
        };
        let now = Clock.now();
        let latency = now.since(sent.at).saturating_sub(attempt.leaf.round_trip());
        let is_timely = now.since(attempt.started) < attempt.overdue_delay;
        let typical = self.gateway.with_latencies(&self.route.name, |profile| {
            profile.record(now, latency);
            profile.typical()
        });
        let typical = typical.unwrap_or(Duration::ZERO);
        let reports = attempt.leaf.on_answer(sent.at, is_timely, latency, typical);
        self.gateway.report(reports);
    }
}
