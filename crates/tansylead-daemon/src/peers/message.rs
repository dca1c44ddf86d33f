//! Messages between daemons over TCP.

use crate::claims::KeyOutcome;
use serde::{Deserialize, Serialize};
use tansylead_cluster::claims::{ClaimHolder, ClaimKey, ClaimRequest, ClaimResponse};
use tansylead_cluster::routing::{RootReport, ShareMessage};
use tansylead_types::store::ObjectList;
use tansylead_types::{InstanceId, LeafId, PlaceName, QueryAnswer, QueryRequest, ServiceName};

/// Version of the messages; daemons of different versions refuse one another.
pub const PEER_PROTOCOL_VERSION: u16 = 1;

/// First frame on a connection, from the side that connected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub protocol_version: u16,
    /// Cluster of the sender.
    pub cluster: String,
    /// The sender.
    pub from: InstanceId,
}

/// Answer to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloReply {
    /// Requests may follow.
    Accepted {
        /// The daemon that accepted.
        by: InstanceId,
    },
    /// The connection will be closed.
    Refused {
        /// Reason, for people.
        reason: String,
    },
}

/// Matches a response to its request on one connection; never reused there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// Frame from the side that connected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClientFrame {
    /// A request that expects a response.
    Request {
        /// Its number.
        number: RequestNumber,
        /// The request.
        request: Box<PeerRequest>,
    },
    /// The response is no longer wanted.
    Cancel {
        /// The request's number.
        number: RequestNumber,
    },
    /// A message that has no response and whose loss is harmless.
    Notice(Box<PeerNotice>),
}

/// Frame from the side that was connected to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerFrame {
    /// The request's number.
    pub number: RequestNumber,
    /// The response.
    pub response: PeerResponse,
}

/// Request to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Execute a whole query as root.
    Query(ForwardedQuery),
    /// Get the configuration objects after a revision; 0 for all of them.
    PullConfiguration {
        /// The revision.
        after: u64,
    },
    /// A request to the peer's claim member.
    Claim(Box<ClaimRequest>),
    /// Get the outcome of a key that the peer holds as root.
    KeyOutcome {
        /// The key.
        key: ClaimKey,
        /// The claim in question.
        holder: ClaimHolder,
    },
}

/// A query on its way to a root.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedQuery {
    /// Place in which it is to be executed.
    pub place: PlaceName,
    /// The query; its time left is counted from the receipt.
    pub request: QueryRequest,
}

/// Response of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The query has ended with this answer.
    Answer(Box<ForwardedAnswer>),
    /// The peer is not a root of that service and place; nothing ran.
    NotRoot,
    /// The peer is overloaded; nothing ran.
    Busy,
    /// The root ended without an answer; the query may have run.
    RootLost,
    /// The requested configuration objects.
    Configuration(ObjectList),
    /// The claim member's response.
    Claim(Box<ClaimResponse>),
    /// The outcome of the key.
    KeyOutcome(KeyOutcome),
}

/// The answer to a forwarded query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedAnswer {
    /// The answer.
    pub answer: QueryAnswer,
    /// Rates that show how many more queries the root could admit; `None` if the answer does not come
    /// from the root's engine.
    pub report: Option<RootReport>,
}

/// A message that has no response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerNotice {
    /// Between the roots of one service in one place, about shares of the limit.
    Share(ShareNotice),
    /// A leaf is reported as leaving.
    LeafLeaving(LeafLeavingNotice),
}

/// A message about shares of a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareNotice {
    /// Service.
    pub service: ServiceName,
    /// Place.
    pub place: PlaceName,
    /// Message.
    pub message: ShareMessage,
}

/// A leaf is reported as leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafLeavingNotice {
    /// Service.
    pub service: ServiceName,
    /// Place.
    pub place: PlaceName,
    /// Leaf.
    pub leaf: LeafId,
}
