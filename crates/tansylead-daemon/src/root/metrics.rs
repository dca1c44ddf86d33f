//! Metrics of one root, with the labels looked up once.

use crate::metrics::Metrics;
use prometheus::{Histogram, IntCounter, IntGauge};
use tansylead_query::AttemptResult;
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
}

impl RootMetrics {
    pub(super) fn new(metrics: &Metrics, service: &ServiceName) -> Self {
        let service = service.as_str();
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
        }
    }

    pub(super) fn count_end(&self, result: &AttemptResult) {
        match result {
            AttemptResult::Answered(_) => self.answered.inc(),
            AttemptResult::Refused(_) => self.refused.inc(),
            AttemptResult::NotSent => self.not_sent.inc(),
            AttemptResult::Failed => self.failed.inc(),
        }
    }
}
