//! The membership state machine: dispatches events to its parts.

use super::event::{MembershipAction, MembershipEvent};
use super::member::{LocalMember, MemberRecord};
use super::settings::MembershipSettings;
use tansylead_types::{Moment, NodeId};

/// Membership as one daemon sees it.
#[derive(Debug)]
pub struct Membership {
    local: MemberRecord,
    _seeds: Vec<NodeId>,
    _settings: MembershipSettings,
    next: Moment,
}

impl Membership {
    /// A daemon that knows of nobody but its seeds. `seed` seeds its random choices.
    pub fn new(
        now: Moment,
        local: LocalMember,
        seeds: Vec<NodeId>,
        settings: MembershipSettings,
        _seed: u64,
    ) -> Self {
        Self {
            local: local.record(),
            _seeds: seeds,
            _settings: settings,
            next: now,
        }
    }

    /// Handles one event.
    pub fn on_event(&mut self, _now: Moment, _event: MembershipEvent) -> Vec<MembershipAction> {
        Vec::new()
    }

    /// When `Wakeup` is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        Some(self.next)
    }

    /// All remembered members, this daemon included, ordered by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.local)
    }

    /// This daemon's statement about itself.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Whether the table was completed from a peer, or there is nobody to join.
    pub fn is_joined(&self) -> bool {
        false
    }
}
