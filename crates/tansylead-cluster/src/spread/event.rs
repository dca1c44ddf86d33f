//! Events and actions of the spread state machine.

use crate::membership::{ConfigDigest, MemberRecord};
use tansylead_types::store::ObjectList;
use tansylead_types::{NodeId, ObjectKey, StepError};

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadEvent {
    /// A peer holds another configuration (from `MembershipAction::PeerConfig`).
    PeerConfig {
        /// Peer.
        peer: NodeId,
        /// What it holds.
        digest: ConfigDigest,
    },
    /// The pull asked for by `SpreadAction::Pull` ended.
    PullFinished {
        /// Peer pulled from.
        peer: NodeId,
        /// Revision the pull asked for.
        after: u64,
        /// What the peer sent: everything after that revision.
        result: Result<ObjectList, StepError>,
    },
    /// The read asked for by `SpreadAction::ReadStore` ended.
    StoreRead {
        /// Revision the read asked for.
        after: u64,
        /// What the store sent: everything after that revision.
        result: Result<ObjectList, StepError>,
    },
    /// The statement held about a member changed (from `MembershipAction::Changed`).
    Member(MemberRecord),
    /// A member was forgotten (from `MembershipAction::Forgotten`).
    MemberForgotten(NodeId),
    /// Joining is complete (from `MembershipAction::Joined`).
    Joined,
    /// The time given by `next_wakeup` has come.
    Wakeup,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpreadAction {
    /// Ask a peer over TCP for everything after a revision and report `PullFinished`. At most one
    /// pull is wanted at a time: a new one replaces an open one, whose late answer does no harm.
    Pull {
        /// Peer.
        peer: NodeId,
        /// Revision; 0 for everything.
        after: u64,
    },
    /// Read the store once and report `StoreRead`, also when the read times out. At most one is
    /// open at a time.
    ReadStore {
        /// Revision; 0 for everything.
        after: u64,
        /// Whether the store may hold its answer until something changes (a watch).
        hold: bool,
    },
    /// Drop an open read of the store without reporting it: this daemon is no longer a reader.
    StopReading,
    /// These objects changed in the replica. Pass the digest on as `MembershipEvent::Config`.
    Applied {
        /// Changed objects.
        keys: Vec<ObjectKey>,
        /// What this daemon holds now.
        digest: ConfigDigest,
    },
    /// Tell these peers at once (as `MembershipEvent::Announce`). Always follows an `Applied`.
    Announce {
        /// Peers.
        to: Vec<NodeId>,
    },
}
