//! Applying received records, refuting those about this daemon, and updating its own record.

use super::event::MembershipAction;
use super::machine::{Membership, Timer};
use super::member::{MemberRecord, MemberState};
use super::packet::GossipMessage;
use super::table::RecordAge;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Members notified directly when this daemon begins to leave or exits.
const LEAVE_FAN_OUT: usize = 8;

impl Membership {
    /// Applies a received record to the table; if it is newer, queues it for gossip, schedules its
    /// timers and reports the change.
    pub(super) fn apply_record(
        &mut self,
        now: Moment,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) -> RecordAge {
        if record.node() == self.local.node() {
            self.handle_record_of_self(now, record, actions);
            return RecordAge::Same;
        }
        let age = self.table.apply(record);
        if age == RecordAge::Newer {
            // What a joining daemon learns is already known to the other members.
            if self.sync.joined {
                self.queue_update(now, record.node());
            }
            self.monitor_place(now, &record.place);
            self.schedule_state_timer(now, record);
            actions.push(MembershipAction::Changed(record.clone()));
        }
        age
    }

    /// Queues the record of a node for gossip.
    pub(super) fn queue_update(&mut self, now: Moment, node: NodeId) {
        self.updates.push(node);
        self.matching_packets = 0;
        self.schedule_gossip(now);
    }

    /// The record of a node if the node may want to refute it.
    pub(super) fn refutable_record(&self, node: NodeId) -> Option<&MemberRecord> {
        let record = self.table.get(node)?;
        let refutable = matches!(record.state, MemberState::Suspect | MemberState::Failed);
        refutable.then_some(record)
    }

    pub(super) fn transmission_limit(&self) -> u32 {
        let size = self.table.running().len() as f64 + 1.0;
        (self.settings.retransmit_multiplier * size.log10()).ceil() as u32 + 1
    }

    fn handle_record_of_self(
        &mut self,
        now: Moment,
        record: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.instance.boot > self.local.instance.boot {
            if !self.replaced {
                self.replaced = true;
                actions.push(MembershipAction::Replaced {
                    by: record.instance,
                });
            }
            return;
        }
        let is_this_run = record.instance == self.local.instance;
        let outranks_own = record.precedence() > self.local.precedence();
        if is_this_run && outranks_own && self.local.state != MemberState::Left {
            self.counters.refutations += 1;
            self.update_local(now, record.incarnation + 1, self.local.state, actions);
        }
    }

    /// Replaces this daemon's own record and spreads it.
    fn update_local(
        &mut self,
        now: Moment,
        incarnation: u64,
        state: MemberState,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.local.incarnation = incarnation;
        self.local.state = state;
        self.table.apply(&self.local);
        self.queue_update(now, self.local.node());
        actions.push(MembershipAction::Changed(self.local.clone()));
    }

    pub(super) fn leave(
        &mut self,
        now: Moment,
        state: MemberState,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.local.state >= state {
            return;
        }
        self.update_local(now, self.local.incarnation + 1, state, actions);
        let local = [self.local.node()];
        let peers = self
            .table
            .running()
            .sample(&mut self.random, LEAVE_FAN_OUT, &local);
        for peer in peers {
            self.send(now, peer, GossipMessage::Gossip, actions);
        }
    }

    fn schedule_state_timer(&mut self, now: Moment, record: &MemberRecord) {
        let node = record.node();
        let boot = record.instance.boot;
        let incarnation = record.incarnation;
        let expiry = Timer::Expiry {
            node,
            boot,
            incarnation,
        };
        match record.state {
            MemberState::Suspect if record.place == self.local.place => {
                let timer = Timer::Suspicion {
                    node,
                    boot,
                    incarnation,
                };
                let timeout = self.suspicion_timeout();
                self.timers.schedule(now + timeout, timer);
            }
            MemberState::Failed => {
                let retention = self.settings.failed_retention;
                self.timers.schedule(now + retention, expiry);
            }
            MemberState::Left => {
                let retention = self.settings.left_retention;
                self.timers.schedule(now + retention, expiry);
            }
            MemberState::Alive | MemberState::Suspect | MemberState::Leaving => {}
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let place = self.table.place(&self.local.place);
        let size = place.map_or(1, |members| members.running.len()) as f64;
        let periods = self.settings.suspicion_multiplier * size.log10().max(1.0);
        self.settings.probe_period.mul_f64(periods)
    }
}
