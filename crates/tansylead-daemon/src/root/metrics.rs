//! Metrics of one root, with the labels looked up once.

use crate::metrics::Metrics;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};
use tansylead_query::{AttemptResult, EngineCounters};
use tansylead_types::ServiceName;

/// Metrics of one root.
#[derive(Debug)]
pub(super) struct RootMetrics {
    pub(super) attempts: IntCounter,
    pub(super) cancels: IntCounter,
    pub(super) connections: IntGauge,
    pub(super) callers_gone: IntCounter,
    pub(super) attempt_seconds: Histogram,
    answered: IntCounter,
    refused: IntCounter,
    not_sent: IntCounter,
    failed: IntCounter,
    engine_events: IntCounterVec,
    service: ServiceName,
    exported: EngineCounters,
}

impl RootMetrics {
    pub(super) fn new(metrics: &Metrics, service_name: &ServiceName) -> Self {
        let service = service_name.as_str();
        let end = |result: &str| {
            metrics
                .leaf_attempt_ends
                .with_label_values(&[service, result])
        };
        Self {
            attempts: metrics.leaf_attempts.with_label_values(&[service]),
            cancels: metrics.leaf_cancels.with_label_values(&[service]),
            connections: metrics.leaf_connections.with_label_values(&[service]),
            callers_gone: metrics.callers_gone.clone(),
            attempt_seconds: metrics.leaf_attempt_seconds.clone(),
            answered: end("answered"),
            refused: end("refused"),
            not_sent: end("not_sent"),
            failed: end("failed"),
            engine_events: metrics.engine_events.clone(),
            service: service_name.clone(),
            exported: EngineCounters::default(),
        }
    }

    /// Adds the events that the engine has counted since the last call.
    pub(super) fn count_engine(&mut self, counters: EngineCounters) {
        let old = std::mem::replace(&mut self.exported, counters);
        let changes = [
            (
                "attempt_first",
                counters.attempts_first - old.attempts_first,
            ),
            (
                "attempt_hedge",
                counters.attempts_hedge - old.attempts_hedge,
            ),
            (
                "attempt_retry",
                counters.attempts_retry - old.attempts_retry,
            ),
            (
                "attempt_redirect",
                counters.attempts_redirect - old.attempts_redirect,
            ),
            (
                "attempt_restart",
                counters.attempts_restart - old.attempts_restart,
            ),
            ("restart", counters.restarts - old.restarts),
            (
                "budget_exhausted",
                counters.budget_exhausted - old.budget_exhausted,
            ),
            (
                "answer_mismatched",
                counters.answers_mismatched - old.answers_mismatched,
            ),
            ("answer_late", counters.answers_late - old.answers_late),
            (
                "answer_duplicate",
                counters.answers_duplicate - old.answers_duplicate,
            ),
            ("refused_rate", counters.refused_rate - old.refused_rate),
            (
                "refused_capacity",
                counters.refused_capacity - old.refused_capacity,
            ),
            ("ejection", counters.ejections - old.ejections),
            ("leaf_leaving", counters.leafs_leaving - old.leafs_leaving),
        ];
        for (event, change) in changes {
            if change > 0 {
                let labels = [self.service.as_str(), event];
                self.engine_events.with_label_values(&labels).inc_by(change);
            }
        }
    }

    pub(super) fn count_end(&self, result: &AttemptResult) {
        match result {
            AttemptResult::Answered(_) => self.answered.inc(),
            AttemptResult::Refused(_) => self.refused.inc(),
            AttemptResult::NotSent | AttemptResult::Expired => self.not_sent.inc(),
            AttemptResult::Failed => self.failed.inc(),
        }
    }
}
