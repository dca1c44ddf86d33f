//! Gossip datagrams in and out.
//!
//! Owns how packets travel: decoded, counted and handed to membership; encoded, counted and sent.
//! Invariant: sending and receiving never wait. A datagram that cannot be read or sent is counted
//! or lost; membership is made for lost packets.

use super::ClusterDriver;
use std::net::SocketAddr;
use tansylead_cluster::membership::{GossipPacket, MembershipEvent};
use tansylead_types::NodeId;

/// Datagrams taken in one go before timers and publications are looked at again.
const PACKETS_PER_TURN: usize = 64;

impl ClusterDriver {
    /// Takes the datagrams that have arrived already, up to the limit of one turn.
    pub(super) fn receive_more(&mut self, buffer: &mut [u8]) {
        for _ in 0..PACKETS_PER_TURN {
            match self.parts.socket.try_recv_from(buffer) {
                Ok((length, from)) => self.on_datagram(from, &buffer[..length]),
                Err(_) => return,
            }
        }
    }

    /// Hands one datagram to membership.
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
                // A datagram that cannot be sent now is as good as lost on the way.
                let _ = self.parts.socket.try_send_to(&bytes, to.0);
            }
            Err(error) => {
                let dropped = &self.parts.metrics.gossip_packets_dropped;
                dropped.with_label_values(&[error.label()]).inc();
            }
        }
    }
}
