//! Counts the bytes between daemons, those of queries separately from those of control messages.

use super::message::{ClientFrame, PeerRequest, PeerResponse};
use crate::metrics::Metrics;
use prometheus::IntCounter;

/// Counters of one daemon's peer connections.
#[derive(Debug, Clone)]
pub struct TrafficCounters {
    query_in: IntCounter,
    query_out: IntCounter,
    control_in: IntCounter,
    control_out: IntCounter,
}

impl TrafficCounters {
    /// Counters in a daemon's metrics.
    pub fn new(metrics: &Metrics) -> Self {
        let control = |direction| {
            let labels = ["peer", direction];
            metrics.control_bytes.with_label_values(&labels)
        };
        let query = |direction| metrics.forward_bytes.with_label_values(&[direction]);
        Self {
            query_in: query("in"),
            query_out: query("out"),
            control_in: control("in"),
            control_out: control("out"),
        }
    }

    pub(super) fn count_sent(&self, is_query: bool, bytes: usize) {
        let counter = if is_query {
            &self.query_out
        } else {
            &self.control_out
        };
        counter.inc_by(bytes as u64);
    }

    pub(super) fn count_received(&self, is_query: bool, bytes: usize) {
        let counter = if is_query {
            &self.query_in
        } else {
            &self.control_in
        };
        counter.inc_by(bytes as u64);
    }
}

/// Whether a response belongs to a query.
pub(super) fn is_answer(response: &PeerResponse) -> bool {
    !matches!(
        response,
        PeerResponse::Configuration(_) | PeerResponse::Claim(_) | PeerResponse::KeyOutcome(_)
    )
}

/// Whether a frame carries a query.
pub(super) fn is_query(frame: &ClientFrame) -> bool {
    let ClientFrame::Request { request, .. } = frame else {
        return false;
    };
    matches!(**request, PeerRequest::Query(_))
}
