//! The UDP messages between daemons.

use super::member::{Capacity, MemberRecord, MemberState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tansylead_types::{InstanceId, NodeId, PlaceName, ZoneName};

/// Summary of the configuration that a daemon holds; part of every packet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ConfigDigest {
    /// Highest store revision up to which the daemon holds everything; 0 if it holds nothing.
    pub revision: u64,
    /// Hash over key, generation, revision and change of every object held.
    pub hash: u64,
}

/// Matches an acknowledgement or reply to its request; unique within the requesting daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sequence(pub u32);

/// Hash over the running members of one place, for comparing two member tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceSummary {
    /// Place.
    pub place: PlaceName,
    /// Order-independent hash of the records of its running members.
    pub hash: u64,
}

/// One member of a page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageMember {
    /// The run of the daemon.
    pub instance: InstanceId,
    /// As in [`MemberRecord`].
    pub incarnation: u64,
    /// Index of its zone in the page's `zones`.
    pub zone: u8,
    /// HTTP address for callers.
    pub caller_address: SocketAddr,
    /// Capacity of its machine.
    pub capacity: Capacity,
    /// State.
    pub state: MemberState,
}

/// Members of one place, ordered by address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPage {
    /// Place.
    pub place: PlaceName,
    /// Zones of the members.
    pub zones: Vec<ZoneName>,
    /// Members.
    pub members: Vec<PageMember>,
    /// `after` of the next page's request; `None` on the last page.
    pub next: Option<NodeId>,
}

/// Purpose of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Probes the receiver. Answered by `Ack`.
    Ping(Sequence),
    /// Answer to `Ping`, or relayed by the receiver of a `PingRequest`.
    Ack(Sequence),
    /// Asks the receiver to ping `target` and to relay its acknowledgement.
    PingRequest {
        /// Sequence number that the relayed `Ack` must carry.
        sequence: Sequence,
        /// Node to ping.
        target: NodeId,
    },
    /// Asks for a summary of the receiver's member table; also how a daemon joins.
    SummaryRequest,
    /// Summary of the sender's member table.
    Summary {
        /// Whether the sender has joined, so that its table may be taken as complete.
        joined: bool,
        /// Hash of each place.
        places: Vec<PlaceSummary>,
    },
    /// Asks for members of a place with addresses after `after`.
    PageRequest {
        /// Place.
        place: PlaceName,
        /// Last address already received.
        after: Option<NodeId>,
    },
    /// Answer to `PageRequest`.
    Page(MemberPage),
    /// Only carries updates. Not answered.
    Gossip,
    /// The sender has just applied the configuration in its digest. Not answered.
    Announce,
    /// Asks which configuration the receiver holds. Answered by `RevisionReply`, whose packet
    /// carries the digest.
    RevisionQuery(Sequence),
    /// Answer to `RevisionQuery`.
    RevisionReply(Sequence),
}

/// One packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipPacket {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Configuration that the sender holds.
    pub config: ConfigDigest,
    /// Order-independent hash of the sender's table of running members.
    pub members_hash: u64,
    /// Purpose.
    pub message: GossipMessage,
    /// Records of other members.
    pub updates: Vec<MemberRecord>,
}
