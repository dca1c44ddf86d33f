//! The engine: runtime state of the leafs of one service in one place and all queries in progress.

use crate::event::{RateShare, RootAction, RootEvent};
use tansylead_types::{Moment, ServiceDefinition, ServicePlacement};

/// State machine of one root for one (service, place).
#[derive(Debug, Default)]
pub struct RootEngine {}

impl RootEngine {
    /// An engine without leafs; `seed` feeds its random choices.
    pub fn new(_seed: u64) -> Self {
        Self::default()
    }

    /// Puts a definition and a placement in force. Queries in progress keep their snapshot.
    pub fn configure(
        &mut self,
        _now: Moment,
        _definition: &ServiceDefinition,
        _placement: &ServicePlacement,
    ) -> Vec<RootAction> {
        Vec::new()
    }

    /// Sets this root's share of the table's limit.
    pub fn set_rate_share(&mut self, _now: Moment, _share: RateShare) {}

    /// Advances the machine.
    pub fn on_event(&mut self, _now: Moment, _event: RootEvent) -> Vec<RootAction> {
        Vec::new()
    }

    /// When the engine wants [`RootEvent::Wakeup`] at the latest.
    pub fn next_wakeup(&self) -> Option<Moment> {
        None
    }
}
