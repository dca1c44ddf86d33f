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
    /// The pull requested by `SpreadAction::Pull` ended.
    PullFinished {
        /// Peer pulled from.
        peer: NodeId,
        /// Revision that the pull started after.
        after: u64,
        /// Everything that the peer holds after that revision.
        result: Result<ObjectList, StepError>,
    },
    /// The read requested by `SpreadAction::ReadStore` ended.
    StoreRead {
        /// Revision that the read started after.
        after: u64,
        /// Everything in the store after that revision.
        result: Result<ObjectList, StepError>,
    },
    /// The record of a member changed (from `MembershipAction::Changed`).
    Member(MemberRecord),
    /// A member was removed from the table (from `MembershipAction::Forgotten`).
    MemberForgotten(NodeId),
    /// Joining is complete (from `MembershipAction::Joined`).
    Joined,
    /// The time returned by `next_wakeup` has been reached.
    Wakeup,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpreadAction {
    /// Request everything after a revision from a peer over TCP, and report `PullFinished`. A new
    /// pull replaces an open one, whose late answer does no harm.
    Pull {
        /// Peer.
        peer: NodeId,
        /// Revision; 0 for everything.
        after: u64,
    },
    /// Read the store once and report `StoreRead`, also if the read times out. At most one read is
    /// open at a time.
    ReadStore {
        /// Revision; 0 for everything.
        after: u64,
        /// Whether the store may hold its answer until something changes (long polling).
        hold: bool,
    },
    /// Cancel the open read of the store without reporting it: this daemon is no longer a reader.
    StopReading,
    /// These objects changed in the replica. Forward the digest as `MembershipEvent::Config`.
    Applied {
        /// Changed objects.
        keys: Vec<ObjectKey>,
        /// Summary of the replica after the change.
        digest: ConfigDigest,
    },
    /// Notify these peers at once (as `MembershipEvent::Announce`). Always follows an `Applied`.
    Announce {
        /// Peers.
        to: Vec<NodeId>,
    },
}
