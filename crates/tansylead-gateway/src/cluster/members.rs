//! Drives the membership state machine over UDP.

use super::publish_throttle::PublishThrottle;
use super::report_codec::ReportCodec;
use super::roll_out_codec::RollOutCodec;
use super::view::ClusterView;
use crate::clock::Clock;
use crate::quarantine::{OutgoingMessages, QuarantineCodec, QuarantineMessage};
use crate::roll_out::{RollOutLink, RollOutMessage};
use crate::state::{Gateway, StopPhase};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tansylead_cluster::codec::{GossipCodec, MAXIMUM_PACKET_BYTES};
use tansylead_cluster::membership::{
    LocalMember, MemberRecord, MemberState, Membership, MembershipAction, MembershipEvent,
    MembershipSettings,
};
use tansylead_route::DaemonCounts;
use tansylead_types::store::{Machine, MachineList, MachineState};
use tansylead_types::{InstanceId, NodeId, PlaceName, StepError};
use tokio::net::UdpSocket;

/// The task checks its state at least this often.
const MAXIMUM_WAIT: Duration = Duration::from_secs(1);

/// A daemon that finds a request under which leafs end reports it to this many others: all of a small fleet. In a
/// larger one each of them relays the report, which reaches all but about 2 in 100 daemons; digests reach the rest.
const QUARANTINE_PEERS: usize = 32;
/// Each daemon relays such a report to this many others.
const QUARANTINE_RELAYS: usize = 4;

/// Owns the UDP socket and the membership.
#[derive(Debug)]
pub struct MemberDriver {
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    socket: UdpSocket,
    codec: GossipCodec,
    report_codec: ReportCodec,
    roll_out_codec: RollOutCodec,
    quarantine_codec: QuarantineCodec,
    roll_outs: Rc<RollOutLink>,
    local: LocalMember,
    membership: Membership,
    throttle: PublishThrottle,
}

impl MemberDriver {
    /// Binds the peer address and prepares to join through the seeds.
    pub async fn bind(
        gateway: Rc<Gateway>,
        view: Rc<ClusterView>,
        roll_outs: Rc<RollOutLink>,
        place: PlaceName,
    ) -> Result<Self, StepError> {
        let settings = &gateway.settings;
        let address = settings.peer_address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| StepError::new("bind membership socket", address, cause))?;
        let local = LocalMember {
            instance: InstanceId {
                node: NodeId(address),
                boot: wall_micros(),
            },
            place,
            zone: settings.zone.clone(),
            caller_address: settings.caller_address,
            capacity: settings.capacity(),
        };
        let codec = GossipCodec::new(&settings.cluster);
        let report_codec = ReportCodec::new(&settings.cluster);
        let roll_out_codec = RollOutCodec::new(&settings.cluster);
        let quarantine_codec = QuarantineCodec::new(&settings.cluster);
        view.set_boot(local.instance.boot);
        let membership = new_membership(&local, &settings.seeds);
        Ok(Self {
            gateway,
            view,
            socket,
            codec,
            report_codec,
            roll_out_codec,
            quarantine_codec,
            roll_outs,
            local,
            membership,
            throttle: PublishThrottle::default(),
        })
    }

    /// Runs until its task is ended.
    pub async fn run(mut self) {
        let mut buffer = vec![0; MAXIMUM_PACKET_BYTES + 1];
        let gateway = Rc::clone(&self.gateway);
        let roll_outs = Rc::clone(&self.roll_outs);
        let mut stop = gateway.stop_phases();
        let mut is_leaving = false;
        self.handle(MembershipEvent::Wakeup);
        if self.membership.is_joined() {
            // There is no peer to join, and no event will report that.
            self.publish();
        }
        loop {
            self.pass_new_registered();
            let now = Clock.now();
            let wakeup = self.membership.next_wakeup().unwrap_or(now + MAXIMUM_WAIT);
            let wakeup = wakeup.min(now + MAXIMUM_WAIT);
            let wakeup = self.throttle.due().map_or(wakeup, |due| wakeup.min(due));
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.receive(from, &buffer[..length]);
                    }
                }
                () = gateway.reports.added() => self.send_reports(),
                () = roll_outs.to_send() => self.send_roll_out_messages(),
                () = gateway.quarantine.to_send() => self.send_quarantine(),
                () = Clock.sleep_until(wakeup) => {
                    self.handle(MembershipEvent::Wakeup);
                }
                _ = stop.wait_for(|phase| *phase >= StopPhase::Draining), if !is_leaving => {
                    is_leaving = true;
                    self.handle(MembershipEvent::Leave);
                }
            }
        }
    }

    /// Passes newly registered daemons to membership, to join through.
    fn pass_new_registered(&mut self) {
        let Some(addresses) = self.view.take_new_registered() else {
            return;
        };
        let machines = addresses.into_iter().map(|address| Machine {
            address,
            state: MachineState::Live,
        });
        let list = MachineList {
            machines: machines.collect(),
        };
        self.handle(MembershipEvent::MachineList(list));
    }

    /// Sends the reports on leafs to daemons of the own region.
    fn send_reports(&self) {
        let datagrams = self.report_codec.encode(&self.gateway.reports.take());
        for peer in self.view.report_peers() {
            for datagram in &datagrams {
                // A datagram that cannot be sent now counts as lost.
                let _ = self.socket.try_send_to(datagram, peer);
            }
        }
    }

    /// Sends reports to judges of roll-outs, and the answers of judges; messages to one peer share datagrams.
    fn send_roll_out_messages(&self) {
        let mut by_peer: BTreeMap<NodeId, Vec<RollOutMessage>> = BTreeMap::new();
        for (peer, message) in self.roll_outs.take_to_send() {
            by_peer.entry(peer).or_default().push(message);
        }
        for (peer, messages) in by_peer {
            let encoded = self.roll_out_codec.encode_counted(&messages);
            if encoded.left_out > 0 {
                log::warn!(peer:% = peer, messages = encoded.left_out; "messages of roll-outs fit into no datagram");
            }
            for datagram in encoded.datagrams {
                // A datagram that cannot be sent now counts as lost.
                let _ = self.socket.try_send_to(&datagram, peer.0);
            }
        }
    }

    /// Informs other daemons about requests under which leafs end.
    fn send_quarantine(&self) {
        let OutgoingMessages {
            wide,
            relayed,
            replies,
        } = self.gateway.quarantine.take_to_send();
        let zone = &self.gateway.settings.zone;
        for peer in self.view.near_peers(zone, QUARANTINE_PEERS) {
            self.send_quarantine_to(peer, &wide);
        }
        // In a small fleet the first sender reaches all, so that nothing needs to be relayed.
        if self.view.member_nodes().len() > QUARANTINE_PEERS {
            for peer in self.view.random_peers(QUARANTINE_RELAYS) {
                self.send_quarantine_to(peer, &relayed);
            }
        }
        for (peer, messages) in replies {
            self.send_quarantine_to(peer, &messages);
        }
    }

    fn send_quarantine_to(&self, peer: SocketAddr, messages: &[QuarantineMessage]) {
        for datagram in self.quarantine_codec.encode(messages) {
            // A datagram that cannot be sent now counts as lost.
            let _ = self.socket.try_send_to(&datagram, peer);
        }
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        if let Some(reports) = self.report_codec.decode(bytes) {
            return self.gateway.apply_reports(&reports);
        }
        if let Some(messages) = self.roll_out_codec.decode(bytes) {
            return self.roll_outs.receive(messages);
        }
        if let Some(messages) = self.quarantine_codec.decode(bytes) {
            return self.gateway.quarantine.receive(from, messages);
        }
        if let Ok(packet) = self.codec.decode(bytes) {
            let packet = Box::new(packet);
            self.handle(MembershipEvent::Packet { from, packet });
        }
    }

    fn handle(&mut self, event: MembershipEvent) {
        let actions = self.membership.on_event(Clock.now(), event);
        let mut replaced = None;
        for action in actions {
            match action {
                MembershipAction::Send { to, packet } => {
                    if let Ok(bytes) = self.codec.encode(&packet) {
                        // A datagram that cannot be sent now counts as lost.
                        let _ = self.socket.try_send_to(&bytes, to.0);
                    }
                }
                MembershipAction::Changed(record) => {
                    log::info!(peer:% = record.node(), state:? = record.state; "member changed");
                    self.throttle.on_change();
                }
                MembershipAction::Forgotten(_) => self.throttle.on_change(),
                MembershipAction::Joined => self.throttle.on_joined(),
                MembershipAction::Replaced { by } => replaced = Some(by),
                _ => {}
            }
        }
        if let Some(by) = replaced {
            self.restart_after(by);
        }
        if self.throttle.due().is_some_and(|due| due <= Clock.now()) {
            self.publish();
        }
    }

    /// Restarts membership with a boot number above that of `by`. Boot numbers come from the wall clock, so an earlier
    /// run of this daemon whose clock was ahead has a greater one.
    fn restart_after(&mut self, by: InstanceId) {
        log::warn!(boot = by.boot; "own address is held by a run with a later boot number; restarting membership");
        self.local.instance.boot = by.boot + 1;
        self.view.set_boot(self.local.instance.boot);
        self.membership = new_membership(&self.local, &self.gateway.settings.seeds);
        self.handle(MembershipEvent::Wakeup);
    }

    /// Counts all daemons but those that have left: suspected and failed ones may still be running.
    fn count_daemons(&self) -> DaemonCounts {
        let members = self.membership.members();
        let counted: Vec<&MemberRecord> = members
            .filter(|member| member.state != MemberState::Left)
            .collect();
        let own = &self.local;
        let before = counted
            .iter()
            .filter(|member| member.place == own.place && member.node() < own.instance.node);
        let rank = before.count();
        DaemonCounts::new(counted.iter().map(|member| member.place.clone()), rank)
    }

    fn publish(&mut self) {
        let members = self.membership.members().count();
        self.throttle.on_published(Clock.now(), members);
        self.gateway.set_daemons(self.count_daemons());
        let live: Vec<MemberRecord> = self.membership.live_members().cloned().collect();
        let own = &self.local;
        let roots = &self.gateway.roots;
        let runners = roots.update(&live, own.instance.node, &own.place);
        self.gateway.set_runners(runners);
        self.view.set_members(live, self.membership.is_joined());
    }
}

fn new_membership(local: &LocalMember, seeds: &[SocketAddr]) -> Membership {
    let seeds = seeds.iter().map(|seed| NodeId(*seed)).collect();
    let settings = MembershipSettings::default();
    let seed = local.instance.boot;
    Membership::new(Clock.now(), local.clone(), seeds, settings, seed)
}

fn wall_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.unwrap_or(Duration::ZERO).as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}
