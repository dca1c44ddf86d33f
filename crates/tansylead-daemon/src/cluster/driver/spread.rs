//! Feeds the configuration spread state machine and performs its actions.
//!
//! Invariant: an ended read reaches the state machine only if it is still the one it requested.

use super::ClusterDriver;
use super::reads::{ReadEnded, ReadResult};
use tansylead_cluster::membership::MembershipEvent;
use tansylead_cluster::spread::{SpreadAction, SpreadEvent};
use tansylead_types::NodeId;

impl ClusterDriver {
    /// Feeds one event and performs the actions it leads to.
    pub(super) fn feed_spread(&mut self, event: SpreadEvent) {
        let actions = self.parts.spread.on_event(self.clock.now(), event);
        for action in actions {
            self.perform_spread(action);
        }
    }

    fn perform_spread(&mut self, action: SpreadAction) {
        match action {
            SpreadAction::Pull { peer, after } => self.start_pull(peer, after),
            SpreadAction::ReadStore { after, hold } => self.start_store_read(after, hold),
            SpreadAction::StopReading => self.reads.stop_store(),
            SpreadAction::Announce { to } => {
                self.feed_membership(MembershipEvent::Announce { to });
            }
            SpreadAction::Applied { keys, digest } => {
                self.changed_keys.extend(keys);
                self.feed_membership(MembershipEvent::Config(digest));
            }
        }
    }

    /// Handles the result of a read, unless the read was stopped or replaced.
    pub(super) fn on_read_ended(&mut self, ended: ReadEnded) {
        if !self.reads.remove_pending(&ended) {
            return;
        }
        match ended {
            ReadEnded::Pull {
                peer,
                after,
                result,
                ..
            } => self.feed_spread(SpreadEvent::PullFinished {
                peer,
                after,
                result,
            }),
            ReadEnded::Store { after, result, .. } => {
                self.count_store_read(&result);
                self.feed_spread(SpreadEvent::StoreRead { after, result });
            }
        }
    }

    fn start_pull(&mut self, peer: NodeId, after: u64) {
        let deadline = self.clock.now() + self.parts.spread_settings.pull_limit(after);
        self.reads
            .start_pull(&self.parts.peers, peer, after, deadline);
    }

    fn start_store_read(&mut self, after: u64, hold: bool) {
        let watch_wait = hold.then_some(self.parts.store_watch_wait);
        self.reads.start_store(&self.parts.store, after, watch_wait);
    }

    fn count_store_read(&self, result: &ReadResult) {
        let label = if result.is_ok() { "ok" } else { "error" };
        self.parts
            .metrics
            .store_reads
            .with_label_values(&[label])
            .inc();
    }
}
