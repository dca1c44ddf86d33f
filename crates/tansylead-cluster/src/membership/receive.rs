//! Handling of packets from peers.

use super::event::MembershipAction;
use super::machine::Membership;
use super::member::MemberRecord;
use super::packet::{GossipMessage, GossipPacket, Sequence};
use super::probes::{Probe, ProbeKind};
use super::table::RecordAge;
use std::net::SocketAddr;
use tansylead_types::{InstanceId, Moment, NodeId};

/// Limit on open probes, including those relayed for others; it only bounds memory.
const MAXIMUM_OPEN_PROBES: usize = 256;

/// Limit on packets per second sent only to show a node its own record, which it may refute.
const CORRECTIONS_PER_SECOND: u32 = 10;

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Moment,
        from: SocketAddr,
        packet: GossipPacket,
        actions: &mut Vec<MembershipAction>,
    ) {
        let sender = &packet.sender;
        let peer = sender.node();
        if peer.0 != from || peer == self.local.node() {
            self.counters.sender_mismatches += 1;
            return;
        }
        if self.is_stale_instance(sender) {
            self.counters.stale_instances += 1;
            self.send_correction(now, peer, actions);
            return;
        }
        self.counters.packets_received += 1;
        if self.apply_record(now, sender, actions) == RecordAge::Newer {
            self.queue_update(now, peer);
        }
        self.reprobe_unreachable_place(now, sender);
        let limit = self.transmission_limit();
        for update in &packet.updates {
            if self.apply_record(now, update, actions) == RecordAge::Same {
                self.updates.count_received(update.node(), limit);
            }
        }
        if packet.config != self.config {
            actions.push(MembershipAction::PeerConfig {
                peer,
                digest: packet.config,
            });
        }
        self.check_table_hash(now, sender, packet.members_hash, actions);
        self.handle_message(now, packet, actions);
    }

    fn is_stale_instance(&self, sender: &MemberRecord) -> bool {
        self.table
            .get(sender.node())
            .is_some_and(|held| held.instance.boot > sender.instance.boot)
    }

    /// Sends a node its own record as this daemon holds it. Rate-limited, so that no two daemons
    /// can keep correcting each other at network speed.
    fn send_correction(&mut self, now: Moment, node: NodeId, actions: &mut Vec<MembershipAction>) {
        if self.correction_limit.admit(now, CORRECTIONS_PER_SECOND) {
            let updates: Vec<MemberRecord> = self.table.get(node).cloned().into_iter().collect();
            self.send_with(node, GossipMessage::Gossip, updates, actions);
        }
    }

    fn handle_message(
        &mut self,
        now: Moment,
        packet: GossipPacket,
        actions: &mut Vec<MembershipAction>,
    ) {
        let peer = packet.sender.node();
        match packet.message {
            GossipMessage::Ping(sequence) => {
                self.send(now, peer, GossipMessage::Ack(sequence), actions);
            }
            GossipMessage::Ack(sequence) => {
                self.receive_ack(now, sequence, actions);
                self.correct_if_refutable(now, peer, actions);
            }
            GossipMessage::PingRequest { sequence, target } => {
                self.relay_probe(now, peer, sequence, target, actions);
            }
            GossipMessage::SummaryRequest => self.serve_summary(now, peer, actions),
            GossipMessage::Summary { joined, places } => {
                self.receive_summary(now, peer, joined, places, actions);
            }
            GossipMessage::PageRequest { place, after } => {
                self.serve_page(now, peer, place, after, actions);
            }
            GossipMessage::Page(page) => self.receive_page(now, peer, &page, actions),
            GossipMessage::Gossip | GossipMessage::Announce => {
                self.correct_if_refutable(now, peer, actions)
            }
            GossipMessage::RevisionQuery(sequence) => {
                self.send(now, peer, GossipMessage::RevisionReply(sequence), actions);
            }
            GossipMessage::RevisionReply(sequence) => {
                actions.push(MembershipAction::RevisionReply {
                    sequence,
                    peer: packet.sender.instance,
                    digest: packet.config,
                });
            }
        }
    }

    /// Answers a message that needs no answer if the sender's record is one to refute.
    fn correct_if_refutable(
        &mut self,
        now: Moment,
        peer: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.refutable_record(peer).is_some() {
            self.send_correction(now, peer, actions);
        }
    }

    fn receive_ack(
        &mut self,
        now: Moment,
        sequence: Sequence,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(probe) = self.probes.finish(sequence) else {
            return;
        };
        match probe.kind {
            ProbeKind::Local | ProbeKind::Failed => {}
            ProbeKind::Remote(place) => {
                if self.places.record_answer(now, &place) {
                    actions.push(MembershipAction::PlaceReachability {
                        place,
                        reachable: true,
                    });
                }
            }
            ProbeKind::Relayed {
                requester,
                sequence,
            } => self.send(now, requester, GossipMessage::Ack(sequence), actions),
        }
    }

    fn relay_probe(
        &mut self,
        now: Moment,
        requester: NodeId,
        sequence: Sequence,
        target: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        if target == self.local.node() {
            self.send(now, requester, GossipMessage::Ack(sequence), actions);
            return;
        }
        if self.probes.len() >= MAXIMUM_OPEN_PROBES {
            return;
        }
        let boot = self.table.get(target).map_or(0, |held| held.instance.boot);
        let probe = Probe {
            target: InstanceId { node: target, boot },
            kind: ProbeKind::Relayed {
                requester,
                sequence,
            },
        };
        self.start_probe(now, probe, actions);
    }
}
