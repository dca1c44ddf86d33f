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
    /// The time given by `next_wakeup` has come.
    Wakeup,
    /// This daemon begins a planned stop: peers give it no new work.
    Leave,
    /// This daemon is about to exit: the last word to its peers.
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
    /// Send a `RevisionQuery` to a peer (from `InForceAction::Query`). This daemon answers itself
    /// at once.
    QueryRevision {
        /// Peer.
        to: NodeId,
        /// Number the reply must carry.
        sequence: Sequence,
    },
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a packet.
    Send {
        /// To whom.
        to: NodeId,
        /// Contents.
        packet: Box<GossipPacket>,
    },
    /// The statement that now holds about a member; also for a member heard of for the first time.
    Changed(MemberRecord),
    /// A member was dropped from the table after its retention passed.
    Forgotten(InstanceId),
    /// A peer holds another configuration than this daemon.
    PeerConfig {
        /// Peer.
        peer: NodeId,
        /// What it holds.
        digest: ConfigDigest,
    },
    /// A reply to a revision query arrived; for the `InForceCheck` that asked.
    RevisionReply {
        /// Number of the query.
        sequence: Sequence,
        /// Who replied.
        peer: InstanceId,
        /// What it holds.
        digest: ConfigDigest,
    },
    /// The table holds every place some peer knew of: joining is complete.
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
