//! State shared by the versions of all services: the staleness of the orders, and the signal of changes.

use super::metrics::RollOutMetrics;
use crate::settings::GatewayBounds;
use std::cell::Cell;
use std::time::Duration;
use tansylead_types::Moment;
use tokio::sync::Notify;

/// Shared by the versions of all services of a daemon.
#[derive(Debug)]
pub struct RollOutContext {
    /// Whether this daemon follows roll-outs; if not, versions are ignored.
    follows_roll_outs: bool,
    /// Orders that were last confirmed longer ago than this are not relied on.
    staleness_limit: Duration,
    /// Last moment at which the orders were known to be current.
    confirmed: Cell<Moment>,
    changed: Notify,
    pub(super) metrics: RollOutMetrics,
}

impl RollOutContext {
    /// The context of a daemon that started at `started`.
    pub fn new(bounds: &GatewayBounds, started: Moment, metrics: RollOutMetrics) -> Self {
        Self {
            follows_roll_outs: bounds.follow_roll_outs,
            staleness_limit: bounds.staleness_limit(),
            confirmed: Cell::new(started),
            changed: Notify::new(),
            metrics,
        }
    }

    /// Records that the orders were known to be current at `moment`.
    pub fn confirm(&self, moment: Moment) {
        self.confirmed.set(self.confirmed.get().max(moment));
    }

    /// Wakes the reporter: a stage has changed, or the last attempt on old leafs has ended in
    /// [`Shift`](tansylead_route::Stage::Shift) or later. It serves one waiter, and stores one signal for it.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    pub(super) fn follows_roll_outs(&self) -> bool {
        self.follows_roll_outs
    }

    /// Whether the orders may have changed unseen.
    pub(super) fn are_orders_stale(&self, now: Moment) -> bool {
        now.since(self.confirmed.get()) > self.staleness_limit
    }

    pub(super) fn notify(&self) {
        self.changed.notify_one();
    }
}

impl Default for RollOutContext {
    /// Follows roll-outs, and relies on orders however stale they are.
    fn default() -> Self {
        Self {
            follows_roll_outs: true,
            staleness_limit: Duration::MAX,
            confirmed: Cell::default(),
            changed: Notify::new(),
            metrics: RollOutMetrics::default(),
        }
    }
}
