//! The planned stop of a simulated daemon.

use super::{DaemonAction, Outbox, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::sabotage::Sabotage;
use std::time::Duration;
use tansylead_cluster::membership::MembershipEvent;
use tansylead_types::Moment;

/// Callers and other daemons learn of the stop within this time.
const MINIMUM_DRAIN: Duration = Duration::from_secs(3);
/// After this time the process ends, whatever is still open.
const DRAIN_LIMIT: Duration = Duration::from_secs(12);
/// Period of looking whether all work is done.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(100);

impl SimulatedDaemon {
    /// The signal for a planned stop.
    pub fn begin_stop(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(clocks.now);
        if self.is_sabotaged(Sabotage::StopAtOnce) {
            outbox.actions.push(DaemonAction::Exit);
            return;
        }
        self.feed_membership(clocks, MembershipEvent::Leave, outbox);
        self.routing_changed = true;
        self.after_input(clocks, outbox);
    }

    pub(super) fn stop_timer(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        self.last_stop_check = Some(clocks.now);
        let waited = clocks.now.since(since);
        let is_done = waited >= MINIMUM_DRAIN && !self.has_open_work();
        if is_done || waited >= DRAIN_LIMIT {
            self.feed_membership(clocks, MembershipEvent::Exit, outbox);
            outbox.actions.push(DaemonAction::Exit);
        }
    }

    pub(super) fn stop_wakeup(&self) -> Option<Moment> {
        let since = self.stopping_since?;
        let first = since + MINIMUM_DRAIN;
        let checked = self.last_stop_check.map(|at| at + DRAIN_CHECK_PERIOD);
        Some(checked.unwrap_or(first).max(first))
    }

    fn has_open_work(&self) -> bool {
        let has_root_work = self.roots.values().any(|root| root.has_work());
        let has_claims = self.claims.has_work() || self.claims.is_needed();
        self.has_frontend_queries() || has_root_work || has_claims
    }
}
