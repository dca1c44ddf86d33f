//! What the versions of all services share: how old the word on the orders is, and the signal of changes.

use super::metrics::RollOutMetrics;
use crate::settings::GatewayBounds;
use std::cell::Cell;
use std::time::Duration;
use tansylead_types::Moment;
use tokio::sync::Notify;

/// Shared by the versions of all services of a daemon.
#[derive(Debug)]
pub struct RollOutContext {
    /// Whether versions mean anything here.
    follows_roll_outs: bool,
    /// Oldest word on the orders that is relied on.
    word_limit: Duration,
    /// Until when the orders were known to be current.
    confirmed: Cell<Moment>,
    changed: Notify,
    pub(super) metrics: RollOutMetrics,
}

impl RollOutContext {
    /// For a daemon that started at `started`.
    pub fn new(bounds: &GatewayBounds, started: Moment, metrics: RollOutMetrics) -> Self {
        Self {
            follows_roll_outs: bounds.follow_roll_outs,
            word_limit: bounds.staleness_limit(),
            confirmed: Cell::new(started),
            changed: Notify::new(),
            metrics,
        }
    }

    /// Notes that the orders were known to be current at `moment`.
    pub fn confirm(&self, moment: Moment) {
        self.confirmed.set(self.confirmed.get().max(moment));
    }

    /// Wakes whoever reports: a stage has changed, or the last attempt on old leafs has ended in
    /// [`Shift`](tansylead_route::Stage::Shift) or later. It serves one waiter, and remembers one signal for it.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    pub(super) fn follows_roll_outs(&self) -> bool {
        self.follows_roll_outs
    }

    /// Whether the orders may have changed unseen.
    pub(super) fn is_word_old(&self, now: Moment) -> bool {
        now.since(self.confirmed.get()) > self.word_limit
    }

    pub(super) fn notify(&self) {
        self.changed.notify_one();
    }
}

impl Default for RollOutContext {
    /// Follows roll-outs, and relies on any word.
    fn default() -> Self {
        Self {
            follows_roll_outs: true,
            word_limit: Duration::MAX,
            confirmed: Cell::default(),
            changed: Notify::new(),
            metrics: RollOutMetrics::default(),
        }
    }
}
