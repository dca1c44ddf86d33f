//! Membership, configuration spread and the machine list of a simulated daemon.

use super::{DaemonAction, Outbox, Purpose, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::message::{CallFailure, CallResult, Endpoint, Request, Response};
use crate::simulation::sabotage::Sabotage;
use crate::simulation::topology::daemon_index;
use std::time::Duration;
use tansylead_cluster::claims::ClaimMemberEvent;
use tansylead_cluster::membership::{GossipPacket, MembershipAction, MembershipEvent};
use tansylead_cluster::spread::{SpreadAction, SpreadEvent};
use tansylead_types::store::ObjectList;
use tansylead_types::{Moment, NodeId, ObjectKey, StepError};

/// Longest time that the store holds a read.
pub const STORE_HOLD: Duration = Duration::from_secs(10);
/// A read of the store fails after this time.
const STORE_READ_LIMIT: Duration = Duration::from_secs(12);
/// A pull from a peer fails after this time.
const PULL_LIMIT: Duration = Duration::from_millis(500);

impl SimulatedDaemon {
    pub(super) fn on_packet(
        &mut self,
        clocks: Clocks,
        from: NodeId,
        packet: Box<GossipPacket>,
        outbox: &mut Outbox<'_>,
    ) {
        let from = from.0;
        self.feed_membership(clocks, MembershipEvent::Packet { from, packet }, outbox);
    }

    pub(super) fn cluster_timers(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        let is_due = |wakeup: Option<Moment>| wakeup.is_some_and(|wakeup| wakeup <= clocks.now);
        if is_due(self.membership.next_wakeup()) {
            self.feed_membership(clocks, MembershipEvent::Wakeup, outbox);
        }
        if is_due(self.spread.next_wakeup()) {
            self.feed_spread(clocks, SpreadEvent::Wakeup, outbox);
        }
        self.machine_list_timer(clocks, outbox);
    }

    pub(super) fn cluster_wakeup(&self) -> Option<Moment> {
        [
            self.membership.next_wakeup(),
            self.spread.next_wakeup(),
            Some(self.machine_list.next_step()),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    pub(super) fn feed_membership(
        &mut self,
        clocks: Clocks,
        event: MembershipEvent,
        outbox: &mut Outbox<'_>,
    ) {
        for action in self.membership.on_event(clocks.now, event) {
            match action {
                MembershipAction::Send { to, packet } => {
                    outbox.actions.push(DaemonAction::Datagram { to, packet });
                }
                MembershipAction::Changed(record) => {
                    self.routing_changed = true;
                    self.feed_spread(clocks, SpreadEvent::Member(record), outbox);
                }
                MembershipAction::Forgotten(instance) => {
                    let event = SpreadEvent::MemberForgotten(instance.node);
                    self.feed_spread(clocks, event, outbox);
                }
                MembershipAction::PeerConfig { peer, digest } => {
                    self.feed_spread(clocks, SpreadEvent::PeerConfig { peer, digest }, outbox);
                }
                MembershipAction::Joined => self.feed_spread(clocks, SpreadEvent::Joined, outbox),
                MembershipAction::Replaced { .. } => outbox.actions.push(DaemonAction::Exit),
                MembershipAction::RevisionReply { .. }
                | MembershipAction::PlaceReachability { .. } => {}
            }
        }
    }

    fn feed_spread(&mut self, clocks: Clocks, event: SpreadEvent, outbox: &mut Outbox<'_>) {
        for action in self.spread.on_event(clocks.now, event) {
            match action {
                SpreadAction::Pull { peer, after } => self.pull(peer, after, outbox),
                SpreadAction::ReadStore { after, hold } => {
                    let request = Request::ReadStore { after, hold };
                    let call = outbox.open(Endpoint::Store, request, STORE_READ_LIMIT);
                    self.calls.insert(call, Purpose::StoreRead { after });
                    self.store_read = Some(call);
                }
                SpreadAction::StopReading => {
                    if let Some(call) = self.store_read.take() {
                        self.calls.remove(&call);
                        outbox.cancel(call);
                    }
                }
                SpreadAction::Applied { keys, digest } => {
                    self.feed_membership(clocks, MembershipEvent::Config(digest), outbox);
                    self.put_into_force(clocks, &keys, outbox);
                }
                SpreadAction::Announce { to } => {
                    self.feed_membership(clocks, MembershipEvent::Announce { to }, outbox);
                }
            }
        }
    }

    fn pull(&mut self, peer: NodeId, after: u64, outbox: &mut Outbox<'_>) {
        let Some(index) = daemon_index(peer) else {
            return;
        };
        let call = outbox.open(Endpoint::Daemon(index), Request::Pull { after }, PULL_LIMIT);
        self.calls.insert(call, Purpose::Pull { peer, after });
    }

    pub(super) fn on_pull_ended(
        &mut self,
        clocks: Clocks,
        peer: NodeId,
        after: u64,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let result = objects(result, "pull configuration", peer);
        self.put_lower_generations(clocks, &result, outbox);
        let event = SpreadEvent::PullFinished {
            peer,
            after,
            result,
        };
        self.feed_spread(clocks, event, outbox);
    }

    pub(super) fn on_store_read(
        &mut self,
        clocks: Clocks,
        after: u64,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let result = objects(result, "read store", "store");
        self.put_lower_generations(clocks, &result, outbox);
        self.feed_spread(clocks, SpreadEvent::StoreRead { after, result }, outbox);
    }

    fn put_into_force(&mut self, clocks: Clocks, keys: &[ObjectKey], outbox: &mut Outbox<'_>) {
        for key in keys {
            if let Some(stored) = self.spread.replica().get(key) {
                let stored = stored.clone();
                if *key == ObjectKey::Table {
                    outbox
                        .actions
                        .push(DaemonAction::TableInForce(Box::new(stored.clone())));
                }
                self.configuration.put(stored);
            }
        }
        self.routing_changed = true;
        if keys.contains(&ObjectKey::ClaimView) {
            self.learn_claim_view(clocks, outbox);
        }
    }

    /// Sabotage: whatever is shown last is in force.
    fn put_lower_generations(
        &mut self,
        clocks: Clocks,
        result: &Result<ObjectList, StepError>,
        outbox: &mut Outbox<'_>,
    ) {
        let Ok(list) = result else {
            return;
        };
        if !self.is_sabotaged(Sabotage::LowerGenerations) {
            return;
        }
        for stored in &list.objects {
            if stored.key == ObjectKey::Table {
                outbox
                    .actions
                    .push(DaemonAction::TableInForce(Box::new(stored.clone())));
            }
            self.configuration.put(stored.clone());
        }
        self.routing_changed = true;
        self.learn_claim_view(clocks, outbox);
    }

    fn learn_claim_view(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        if let Some((view, generation)) = self.configuration.claim_view() {
            let event = ClaimMemberEvent::ViewLearned {
                view: view.clone(),
                generation,
            };
            self.feed_claim_member(clocks, event, outbox);
        }
    }
}

fn objects(
    result: CallResult,
    step: &'static str,
    peer: impl std::fmt::Display,
) -> Result<ObjectList, StepError> {
    match result {
        Ok(Response::Objects(list)) => Ok(list),
        Ok(_) => Err(StepError::new(step, peer, "nothing to serve")),
        Err(CallFailure::NotSent) => Err(StepError::new(step, peer, "no connection")),
        Err(CallFailure::Failed) => Err(StepError::new(step, peer, "connection broke")),
    }
}
