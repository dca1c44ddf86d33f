//! Publishes members, configuration and status to the rest of the daemon.
//!
//! Invariants: readers see complete views, each replaced as a whole; a change of members or of the
//! configuration is followed by a status in the same turn; the status is otherwise renewed once a
//! period.

use super::ClusterDriver;
use crate::cluster::view::ClusterStatus;
use crate::configuration::ConfigurationView;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::spread::Readiness;
use tansylead_types::Moment;

/// The status is published at least this often.
const STATUS_PERIOD: Duration = Duration::from_millis(500);

impl ClusterDriver {
    /// Publishes what has changed to the rest of the daemon.
    pub(super) fn publish(&mut self) {
        if std::mem::take(&mut self.members_changed) {
            let joined = self.parts.membership.is_joined();
            let mut present = self.running_members();
            present.retain(|member| self.parts.membership.is_reachable(&member.place));
            let view = self.parts.members.borrow().next(present, joined);
            self.parts.members.send_replace(Arc::new(view));
            self.next_status = Moment::default();
        }
        if !self.changed_keys.is_empty() {
            self.publish_configuration();
            self.next_status = Moment::default();
        }
        let now = self.clock.now();
        if self.next_status <= now {
            self.next_status = now + STATUS_PERIOD;
            self.publish_status();
        }
    }

    fn publish_configuration(&mut self) {
        let mut next = ConfigurationView::clone(&self.parts.configuration.borrow());
        for key in std::mem::take(&mut self.changed_keys) {
            if let Some(stored) = self.parts.spread.replica().get(&key) {
                next.put(stored);
            }
        }
        log::info!("configuration in force: revision {}", next.revision());
        self.parts.configuration.send_replace(Arc::new(next));
    }

    fn publish_status(&self) {
        let not_ready = match self.parts.spread.readiness() {
            Readiness::Ready => None,
            Readiness::NotReady(reason) => Some(reason),
        };
        let status = ClusterStatus {
            not_ready,
            store: self.parts.spread.store_state().clone(),
            running: self.parts.membership.running_count(),
            counters: self.parts.membership.counters(),
            replaced: self.replaced,
        };
        self.parts.status.send_replace(Arc::new(status));
    }
}
