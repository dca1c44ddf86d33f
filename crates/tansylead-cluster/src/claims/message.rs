//! Messages of the claim machines: one request and one response type, sent as postcard over the
//! daemons' peer connections. Every message carries an epoch and the instance it comes from.

use serde::{Deserialize, Serialize};
use tansylead_types::{ClaimView, IdempotencyKey, InstanceId, Moment, ServiceName, WallTime};

/// What is claimed: the caller's key within one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// Identifies one attempt of an owner to claim a key. A later attempt of the same sequence states
/// that the owner has given up all earlier ones and will never dispatch under them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Unique for a key within the owner's instance.
    pub sequence: u64,
    /// Grows with each attempt of the sequence.
    pub attempt: u32,
}

/// Who holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The root; a restart makes it another instance.
    pub owner: InstanceId,
    /// Which of the owner's claims.
    pub claim: ClaimId,
}

/// A request to a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Epoch of the sender's claim view.
    pub epoch: u64,
    /// Sender.
    pub from: InstanceId,
    /// The very instance that is meant; any other instance at that address refuses.
    pub to: InstanceId,
    /// What is asked.
    pub body: ClaimRequestBody,
}

/// What is asked of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequestBody {
    /// Grant the sender the key until its expiry.
    Claim {
        /// Key.
        key: ClaimKey,
        /// The sender's claim.
        claim: ClaimId,
        /// Expiry of the request.
        expires: WallTime,
    },
    /// The sender will never dispatch under this claim or an earlier attempt of its sequence.
    Release {
        /// Key.
        key: ClaimKey,
        /// The sender's claim.
        claim: ClaimId,
        /// Expiry of the request; how long the release is remembered.
        expires: WallTime,
    },
    /// Renews the sender's lease: is its epoch still the highest the receiver has heard of?
    Heartbeat {
        /// The sender's clock at sending; echoed.
        sent: Moment,
    },
    /// Stop granting in all epochs below the view's, and hand over the claims that the sender
    /// needs in that view.
    Copy {
        /// The view that the sender is preparing for.
        view: ClaimView,
        /// Continue after this key.
        after: Option<ClaimKey>,
    },
    /// Report whether the member is ready in its epoch.
    Status,
}

/// A member's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimResponse {
    /// Highest epoch the responder has heard of.
    pub epoch: u64,
    /// Responder.
    pub from: InstanceId,
    /// What it says.
    pub body: ClaimResponseBody,
}

/// What a member says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponseBody {
    /// The claim is recorded.
    Granted {
        /// Echo.
        key: ClaimKey,
        /// Echo.
        claim: ClaimId,
    },
    /// Others hold the key.
    Held {
        /// Echo.
        key: ClaimKey,
        /// Echo.
        claim: ClaimId,
        /// All holders known to the member.
        holders: Vec<ClaimHolder>,
    },
    /// The claim is not granted.
    ClaimRefused {
        /// Echo.
        key: ClaimKey,
        /// Echo.
        claim: ClaimId,
        /// Why.
        refusal: ClaimRefusal,
    },
    /// The claim is released, whether or not it was known.
    Released,
    /// The sender's epoch is the highest the responder has heard of.
    HeartbeatAcknowledged {
        /// Echo.
        sent: Moment,
    },
    /// The sender's epoch is not the highest.
    HeartbeatRefused,
    /// Claims; the responder is sealed for all epochs below the view asked for.
    Copied(CopiedPage),
    /// State of the member.
    Status(ClaimMemberStatus),
    /// The responder is another instance than the one meant.
    AnotherInstance,
}

/// One page of copied claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedPage {
    /// Epoch of the view that the claims are copied for.
    pub view_epoch: u64,
    /// Echo of the request.
    pub after: Option<ClaimKey>,
    /// Claims in order of their keys.
    pub claims: Vec<CopiedClaim>,
    /// Continue after this key; none if this is the last page.
    pub next: Option<ClaimKey>,
    /// Epochs in which the responder held all claims of its keys.
    pub complete_epochs: Vec<u64>,
}

/// One copied claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedClaim {
    /// Key.
    pub key: ClaimKey,
    /// Holder.
    pub holder: ClaimHolder,
    /// Expiry.
    pub expires: WallTime,
}

/// State of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimMemberStatus {
    /// Epoch of the view it has adopted; 0 before the first.
    pub epoch: u64,
    /// Whether it holds all earlier claims of its keys in that epoch.
    pub complete: bool,
    /// Claims held.
    pub claims: u64,
}

/// Why a member does not grant a claim. None of these says that the key was claimed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// Sender and member know different epochs.
    EpochMismatch,
    /// This instance is not a member of the view, or not of the key's group.
    NotMember,
    /// No majority of the view has acknowledged the member's heartbeats lately.
    NoLease,
    /// Claims of earlier views are not copied yet.
    NotCopied,
    /// The expiry has passed.
    Expired,
    /// The expiry is further away than the longest allowed.
    ExpiryTooLong,
    /// The member holds as many claims as it may.
    TooManyClaims,
    /// The sender has already given up this claim.
    Abandoned,
    /// The member could not be reached or did not answer in time. Never sent; used by requesters.
    Silent,
}
