//! Metrics of the orders to roll out: the age of the data on them, their states, writes of states.

use super::registry::{counters, gauges, seconds};
use crate::source::{SourceError, Topic, WriteEnd};
use crate::state::Gateway;
use prometheus::{Gauge, IntCounterVec, IntGaugeVec, Registry};
use tansylead_route::RollOutState;

/// States of orders, each with a gauge of its own.
const STATES: [RollOutState; 4] = [
    RollOutState::Ordered,
    RollOutState::Running,
    RollOutState::Completed,
    RollOutState::RolledBack,
];

/// Metrics of the orders to roll out.
#[derive(Debug)]
pub(super) struct RollOutOrderMetrics {
    age: Gauge,
    orders: IntGaugeVec,
    writes: IntCounterVec,
}

impl RollOutOrderMetrics {
    /// Creates the metrics with all counts at zero.
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            age: seconds(
                registry,
                "tansylead_roll_outs_age_seconds",
                "Time since the orders to roll out were known to be current; -1 if never",
            ),
            orders: gauges(
                registry,
                "tansylead_roll_outs",
                "Orders to roll out by state",
                &["state"],
            ),
            writes: counters(
                registry,
                "tansylead_roll_out_writes_total",
                "Calls to write the state of a roll-out by how they ended",
                &["end"],
            ),
        }
    }

    /// Counts a call to write the state of a roll-out.
    pub(super) fn on_write(&self, result: &Result<WriteEnd, SourceError>) {
        let end = match result {
            Ok(WriteEnd::Written(_)) => "written",
            Ok(WriteEnd::Conflict(_)) => "conflict",
            Err(SourceError::Refused(_)) => "refused",
            Err(SourceError::HistoryGone | SourceError::Failed(_)) => "failed",
        };
        self.writes.with_label_values(&[end]).inc();
    }

    /// Sets the gauges to what the daemon holds.
    pub(super) fn update(&self, gateway: &Gateway) {
        let age = gateway.age(Topic::RollOuts);
        self.age.set(age.map_or(-1.0, |age| age.as_secs_f64()));
        let held = gateway.roll_outs().unwrap_or_default();
        for state in STATES {
            let orders = held.orders.values().filter(|order| order.state == state);
            let gauge = self.orders.with_label_values(&[state.label()]);
            gauge.set(orders.count() as i64);
        }
    }
}
