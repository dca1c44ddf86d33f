//! Gossip datagrams in and out.
//!
//! Decodes and counts incoming packets and passes them to membership; encodes, counts and sends
//! outgoing ones. Invariant: sending and receiving never wait. A datagram that cannot be read or
//! sent is counted or lost; membership tolerates lost packets.

use super::ClusterDriver;
use std::net::SocketAddr;
use tansylead_cluster::membership::{GossipPacket, MembershipEvent};
use tansylead_types::NodeId;

/// Maximum number of datagrams handled before timers and publications are checked again.
const PACKETS_PER_TURN: usize = 64;

impl ClusterDriver {
    /// Handles the datagrams that have already arrived, up to the limit of one turn.
    pub(super) fn receive_more(&mut self, buffer: &mut [u8]) {
        for _ in 0..PACKETS_PER_TURN {
            match self.parts.socket.try_recv_from(buffer) {
                Ok((length, from)) => self.on_datagram(from, &buffer[..length]),
                Err(_) => return,
            }
        }
    }

    /// Passes one datagram to membership.
    pub(super) fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let metrics = &self.parts.metrics;
        metrics.control_bytes("gossip", "in", bytes.len());
        match self.codec.decode(bytes) {
            Ok(packet) => {
                let packet = Box::new(packet);
                self.feed_membership(MembershipEvent::Packet { from, packet });
            }
            Err(error) => {
                let dropped = &metrics.gossip_packets_dropped;
                dropped.with_label_values(&[error.label()]).inc();
            }
        }
    }

    /// Sends one packet.
    pub(super) fn send(&mut self, to: NodeId, packet: &GossipPacket) {
        match self.codec.encode(packet) {
            Ok(bytes) => {
                self.parts
                    .metrics
                    .control_bytes("gossip", "out", bytes.len());
                // A datagram that cannot be sent now counts as lost.
                let _ = self.parts.socket.try_send_to(&bytes, to.0);
            }
            Err(error) => {
                let dropped = &self.parts.metrics.gossip_packets_dropped;
                dropped.with_label_values(&[error.label()]).inc();
            }
        }
    }
}
