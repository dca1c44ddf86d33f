//! Timer handlers: probes within the place, to other places and to failed members; suspicion
//! timeouts; gossip of queued updates; retention.

use super::event::MembershipAction;
use super::machine::{Membership, Timer};
use super::member::{MemberRecord, MemberState};
use super::packet::{GossipMessage, Sequence};
use super::probes::{Probe, ProbeKind};
use rand::RngExt;
use std::time::Duration;
use tansylead_types::{InstanceId, Moment, NodeId, PlaceName};

/// Period of gossip while updates are queued.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);

/// Members of the own place sent to per gossip period.
const GOSSIP_LOCAL_FAN_OUT: usize = 2;

/// Members of any place sent to per gossip period.
const GOSSIP_ANY_FAN_OUT: usize = 1;

/// With a smaller budget for updates, a gossip packet is not worth sending.
const MINIMUM_GOSSIP_BYTES: usize = 200;

impl Membership {
    pub(super) fn schedule_first_timers(&mut self, now: Moment) {
        let probe = self.jittered(self.settings.probe_period);
        self.timers.schedule(now + probe, Timer::Probe);
        let failed_probe = self.jittered(self.settings.failed_probe_period);
        self.timers.schedule(now + failed_probe, Timer::FailedProbe);
        self.timers.schedule(now, Timer::Sync);
    }

    /// A random time between 0.5 and 1.5 times a period.
    pub(super) fn jittered(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.random.random_range(0.5..1.5))
    }

    pub(super) fn run_timers(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.run_timer(now, timer, actions);
        }
    }

    fn run_timer(&mut self, now: Moment, timer: Timer, actions: &mut Vec<MembershipAction>) {
        match timer {
            Timer::Probe => self.probe_next(now, actions),
            Timer::Gossip => self.gossip(now, actions),
            Timer::Sync => self.run_sync(now, actions),
            Timer::FailedProbe => self.probe_failed(now, actions),
            Timer::RemoteProbe(place) => self.probe_place(now, place, actions),
            Timer::DirectTimeout(sequence) => self.probe_indirectly(now, sequence, actions),
            Timer::ProbeTimeout(sequence) => self.on_probe_timeout(now, sequence, actions),
            Timer::Suspicion {
                node,
                boot,
                incarnation,
            } => self.on_suspicion_timeout(now, node, (boot, incarnation), actions),
            Timer::Expiry {
                node,
                boot,
                incarnation,
            } => self.expire(node, (boot, incarnation), actions),
        }
    }

    /// Sends a ping and schedules its timeouts.
    pub(super) fn start_probe(
        &mut self,
        now: Moment,
        probe: Probe,
        actions: &mut Vec<MembershipAction>,
    ) {
        let target = probe.target.node;
        let is_local = probe.kind == ProbeKind::Local;
        let sequence = self.probes.start(probe);
        if is_local {
            let direct_end = now + self.settings.direct_timeout;
            self.timers
                .schedule(direct_end, Timer::DirectTimeout(sequence));
        }
        let end = now + self.settings.probe_period;
        self.timers.schedule(end, Timer::ProbeTimeout(sequence));
        self.send(now, target, GossipMessage::Ping(sequence), actions);
    }

    fn probe_next(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        self.timers
            .schedule(now + self.settings.probe_period, Timer::Probe);
        let target = self.probe_order.next(
            &self.table,
            &self.local.place,
            self.local.node(),
            &mut self.random,
        );
        self.probe_node(now, target, ProbeKind::Local, actions);
    }

    fn probe_failed(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let delay = self.jittered(self.settings.failed_probe_period);
        self.timers.schedule(now + delay, Timer::FailedProbe);
        let failed = self.table.failed(&self.local.place);
        let target = failed.and_then(|nodes| nodes.random(&mut self.random));
        self.probe_node(now, target, ProbeKind::Failed, actions);
    }

    fn probe_node(
        &mut self,
        now: Moment,
        target: Option<NodeId>,
        kind: ProbeKind,
        actions: &mut Vec<MembershipAction>,
    ) {
        let record = target.and_then(|node| self.table.get(node));
        let Some(target) = record.map(|record| record.instance) else {
            return;
        };
        self.start_probe(now, Probe { target, kind }, actions);
    }

    /// Starts to monitor another place.
    pub(super) fn monitor_place(&mut self, now: Moment, place: &PlaceName) {
        if *place != self.local.place && self.places.add(now, place) {
            let due = now + self.jittered(self.settings.probe_period);
            self.schedule_place_probe(place, due);
        }
    }

    /// Schedules an early probe of an unreachable place from which a packet arrived.
    pub(super) fn reprobe_unreachable_place(&mut self, now: Moment, sender: &MemberRecord) {
        if !self.places.is_reachable(&sender.place) {
            let due = now + self.jittered(self.settings.direct_timeout);
            self.schedule_place_probe(&sender.place, due);
        }
    }

    fn schedule_place_probe(&mut self, place: &PlaceName, due: Moment) {
        if self.places.schedule_probe(place, due) {
            self.timers.schedule(due, Timer::RemoteProbe(place.clone()));
        }
    }

    fn probe_place(&mut self, now: Moment, place: PlaceName, actions: &mut Vec<MembershipAction>) {
        if !self.places.take_due_probe(now, &place) {
            return;
        }
        if self.places.is_expired(now, &place, &self.settings) {
            self.forget_place(&place, actions);
            return;
        }
        let delay = self.places.probe_delay(&place, &self.settings);
        let delay = self.jittered(delay);
        self.schedule_place_probe(&place, now + delay);
        let members = self.table.place(&place);
        let target = members.and_then(|members| members.running.random(&mut self.random));
        self.probe_node(now, target, ProbeKind::Remote(place), actions);
    }

    fn forget_place(&mut self, place: &PlaceName, actions: &mut Vec<MembershipAction>) {
        self.places.remove(place);
        let members = self.table.place(place);
        let nodes = members.map_or(Vec::new(), |members| members.running.as_slice().to_vec());
        for node in nodes {
            let forgotten = self.table.remove(node);
            actions.extend(forgotten.map(MembershipAction::Forgotten));
        }
    }

    fn probe_indirectly(
        &mut self,
        now: Moment,
        sequence: Sequence,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(probe) = self.probes.get(sequence) else {
            return;
        };
        let target = probe.target.node;
        for helper in self.helpers(target) {
            let message = GossipMessage::PingRequest { sequence, target };
            self.send(now, helper, message, actions);
        }
    }

    /// Helpers for an indirect probe, from the own place first, then from any place.
    fn helpers(&mut self, target: NodeId) -> Vec<NodeId> {
        let count = self.settings.indirect_probes;
        let mut excluded = vec![target, self.local.node()];
        let place = self.table.place(&self.local.place);
        let mut helpers = place.map_or(Vec::new(), |members| {
            members.running.sample(&mut self.random, count, &excluded)
        });
        excluded.extend(&helpers);
        let missing = count - helpers.len();
        let running = self.table.running();
        helpers.extend(running.sample(&mut self.random, missing, &excluded));
        helpers
    }

    fn on_probe_timeout(
        &mut self,
        now: Moment,
        sequence: Sequence,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(probe) = self.probes.finish(sequence) else {
            return;
        };
        match probe.kind {
            ProbeKind::Local => self.suspect(now, probe.target, actions),
            ProbeKind::Remote(place) => {
                if self.places.record_failure(&place, &self.settings) {
                    actions.push(MembershipAction::PlaceReachability {
                        place,
                        reachable: false,
                    });
                }
            }
            ProbeKind::Failed | ProbeKind::Relayed { .. } => {}
        }
    }

    /// Handles a member of the own place that did not answer. A leaving member is declared failed
    /// at once: it takes no new work anyway, and can still refute.
    fn suspect(&mut self, now: Moment, target: InstanceId, actions: &mut Vec<MembershipAction>) {
        let Some(held) = self.table.get(target.node) else {
            return;
        };
        let state = match held.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Failed,
            MemberState::Suspect | MemberState::Failed | MemberState::Left => return,
        };
        if held.instance != target {
            return;
        }
        let record = MemberRecord {
            state,
            ..held.clone()
        };
        self.counters.suspicions_raised += 1;
        self.apply_record(now, &record, actions);
    }

    fn on_suspicion_timeout(
        &mut self,
        now: Moment,
        node: NodeId,
        version: (u64, u64),
        actions: &mut Vec<MembershipAction>,
    ) {
        let held = self.held_in_state(node, version, &[MemberState::Suspect]);
        if let Some(held) = held {
            let record = MemberRecord {
                state: MemberState::Failed,
                ..held.clone()
            };
            self.apply_record(now, &record, actions);
        }
    }

    fn expire(&mut self, node: NodeId, version: (u64, u64), actions: &mut Vec<MembershipAction>) {
        let gone = [MemberState::Failed, MemberState::Left];
        if self.held_in_state(node, version, &gone).is_some() {
            let forgotten = self.table.remove(node);
            actions.extend(forgotten.map(MembershipAction::Forgotten));
        }
    }

    /// The record of a node, if it is in one of these states and its boot and incarnation are the
    /// given ones.
    fn held_in_state(
        &self,
        node: NodeId,
        version: (u64, u64),
        states: &[MemberState],
    ) -> Option<&MemberRecord> {
        self.table.get(node).filter(|held| {
            (held.instance.boot, held.incarnation) == version && states.contains(&held.state)
        })
    }

    pub(super) fn schedule_gossip(&mut self, now: Moment) {
        if !self.gossip_scheduled {
            self.gossip_scheduled = true;
            self.timers.schedule(now + GOSSIP_PERIOD, Timer::Gossip);
        }
    }

    fn gossip(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        self.gossip_scheduled = false;
        if self.updates.is_empty() {
            return;
        }
        self.schedule_gossip(now);
        for peer in self.gossip_peers() {
            let budget = self.update_limit.available(now);
            if budget < MINIMUM_GOSSIP_BYTES || self.updates.is_empty() {
                break;
            }
            self.send(now, peer, GossipMessage::Gossip, actions);
        }
    }

    fn gossip_peers(&mut self) -> Vec<NodeId> {
        let mut excluded = vec![self.local.node()];
        let place = self.table.place(&self.local.place);
        let mut peers = place.map_or(Vec::new(), |members| {
            members
                .running
                .sample(&mut self.random, GOSSIP_LOCAL_FAN_OUT, &excluded)
        });
        excluded.extend(&peers);
        let running = self.table.running();
        peers.extend(running.sample(&mut self.random, GOSSIP_ANY_FAN_OUT, &excluded));
        peers
    }
}
