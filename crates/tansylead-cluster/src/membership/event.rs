//! Events and actions of the membership state machine.

use super::member::MemberRecord;
use super::packet::{ConfigDigest, GossipPacket, Sequence};
use std::net::SocketAddr;
use tansylead_types::store::MachineList;
use tansylead_types::{InstanceId, NodeId, PlaceName};

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// A packet arrived and was decoded.
    Packet {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Contents.
        packet: Box<GossipPacket>,
    },
    /// The time returned by `next_wakeup` has been reached.
    Wakeup,
    /// This daemon begins a planned stop: peers must give it no new work.
    Leave,
    /// This daemon is about to exit and tells its peers that it has left.
    Exit,
    /// The platform's machine list was read.
    MachineList(MachineList),
    /// The configuration this daemon holds has changed.
    Config(ConfigDigest),
    /// Send an `Announce` to these peers (from `SpreadAction::Announce`).
    Announce {
        /// Peers.
        to: Vec<NodeId>,
    },
    /// Send a `RevisionQuery` to a peer (from `InForceAction::Query`). A query to this daemon
    /// itself is answered at once.
    QueryRevision {
        /// Peer.
        to: NodeId,
        /// Sequence number that the reply must carry.
        sequence: Sequence,
    },
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a packet.
    Send {
        /// Receiver.
        to: NodeId,
        /// Contents.
        packet: Box<GossipPacket>,
    },
    /// The new record of a member; also sent when the member becomes known.
    Changed(MemberRecord),
    /// A member was removed from the table after its retention.
    Forgotten(InstanceId),
    /// A peer holds another configuration than this daemon.
    PeerConfig {
        /// Peer.
        peer: NodeId,
        /// What it holds.
        digest: ConfigDigest,
    },
    /// A reply to a revision query arrived, for the `InForceCheck` that sent the query.
    RevisionReply {
        /// Sequence number of the query.
        sequence: Sequence,
        /// Sender of the reply.
        peer: InstanceId,
        /// What it holds.
        digest: ConfigDigest,
    },
    /// Joining is complete: the table was filled from peers, or there is nobody to join.
    Joined,
    /// All members of a place stopped answering this daemon, or answer again.
    PlaceReachability {
        /// Place.
        place: PlaceName,
        /// Whether it answers.
        reachable: bool,
    },
    /// Another run of a daemon holds this daemon's address: this process must stop.
    Replaced {
        /// The run that holds the address now.
        by: InstanceId,
    },
}
