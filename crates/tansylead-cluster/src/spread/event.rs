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
        /// What it sent: everything after the revision that was asked for.
        result: Result<ObjectList, StepError>,
    },
    /// The read asked for by `SpreadAction::WatchStore` ended.
    StoreRead(Result<ObjectList, StepError>),
    /// Members changed: all that take part in spreading (running, reachable or not), this daemon
    /// included.
    Members {
        /// Running members.
        running: Vec<MemberRecord>,
        /// Whether joining is complete; before that this daemon does not read the store at once.
        joined: bool,
    },
    /// The time given by `next_wakeup` has come.
    Wakeup,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadAction {
    /// Ask a peer over TCP for everything after a revision and report `PullFinished`. At most one
    /// is open at a time; a new one replaces an open one (its time is up): drop the old answer.
    Pull {
        /// Peer.
        peer: NodeId,
        /// Revision; 0 for everything.
        after: u64,
    },
    /// Read the store once (a watch held until something changes) and report `StoreRead`.
    WatchStore {
        /// Revision; 0 for everything.
        after: u64,
    },
    /// Drop an open read of the store; this daemon is no longer a reader.
    StopWatching,
    /// Tell these peers at once (as `MembershipEvent::Announce`).
    Announce {
        /// Peers.
        to: Vec<NodeId>,
        /// What this daemon holds now.
        digest: ConfigDigest,
    },
    /// These objects changed in the replica. Also pass the digest on as
    /// `MembershipEvent::Config`, before any `Announce` of the same batch.
    Applied {
        /// Changed objects.
        keys: Vec<ObjectKey>,
        /// What this daemon holds now.
        digest: ConfigDigest,
    },
}
