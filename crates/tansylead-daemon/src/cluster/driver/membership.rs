//! Feeds the membership state machine and performs its actions.
//!
//! Invariant: each change of a member goes to the in-force checks and to configuration spread in
//! the order in which membership reports it. They may feed membership again meanwhile.

use super::ClusterDriver;
use tansylead_cluster::membership::{MemberRecord, MembershipAction, MembershipEvent};
use tansylead_cluster::spread::{InForceEvent, SpreadEvent};

impl ClusterDriver {
    /// Feeds one event and performs the actions it leads to.
    pub(super) fn feed_membership(&mut self, event: MembershipEvent) {
        let actions = self.parts.membership.on_event(self.clock.now(), event);
        for action in actions {
            self.perform_membership(action);
        }
    }

    fn perform_membership(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, packet } => self.send(to, &packet),
            MembershipAction::Changed(record) => {
                self.log_change(&record);
                self.members_changed = true;
                let now = self.clock.now();
                self.feed_checks(now, &InForceEvent::Member(record.clone()));
                self.feed_spread(SpreadEvent::Member(record));
            }
            MembershipAction::Forgotten(instance) => {
                self.members_changed = true;
                self.feed_spread(SpreadEvent::MemberForgotten(instance.node));
            }
            MembershipAction::Joined => {
                log::info!("joined the cluster");
                self.members_changed = true;
                self.feed_spread(SpreadEvent::Joined);
            }
            MembershipAction::PlaceReachability { place, reachable } => {
                let state = if reachable {
                    "answers again"
                } else {
                    "does not answer"
                };
                log::warn!("place {place} {state}");
                self.members_changed = true;
            }
            MembershipAction::PeerConfig { peer, digest } => {
                self.feed_spread(SpreadEvent::PeerConfig { peer, digest });
            }
            MembershipAction::RevisionReply {
                sequence,
                peer,
                digest,
            } => {
                let event = InForceEvent::Reply {
                    sequence,
                    peer,
                    digest,
                };
                self.feed_checks(self.clock.now(), &event);
            }
            MembershipAction::Replaced { by } => {
                log::error!("another daemon run holds this daemon's address: {by:?}");
                self.replaced = true;
            }
        }
    }

    fn log_change(&self, record: &MemberRecord) {
        if record.instance != self.identity.instance {
            log::info!(
                "member {} ({}): {:?}",
                record.node(),
                record.place,
                record.state
            );
        }
    }

    /// The running members, reachable or not.
    pub(super) fn running_members(&self) -> Vec<MemberRecord> {
        let members = self.parts.membership.members();
        members
            .filter(|member| member.state.is_running())
            .cloned()
            .collect()
    }
}
