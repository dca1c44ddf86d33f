//! Messages of the claim state machines: one request and one response type, sent as postcard over
//! the daemons' peer connections. Every message carries an epoch and the instance it comes from.

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

/// Identifies one attempt of an owner to claim a key. A later attempt of the same sequence means
/// that the owner has given up all earlier ones and will never dispatch under them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Unique per key within the owner's instance.
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
    /// The addressed instance; any other instance at that address refuses.
    pub to: InstanceId,
    /// The operation requested.
    pub body: ClaimRequestBody,
}

/// Operations of a claim member.
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
    /// Renews the sender's lease if its epoch is still the highest that the receiver has seen.
    Heartbeat {
        /// The sender's clock when sending; echoed in the response.
        sent: Moment,
    },
    /// Stop granting in all epochs below the view's (seal), and return the claims that the sender
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
    /// Highest epoch that the responder has seen.
    pub epoch: u64,
    /// Responder.
    pub from: InstanceId,
    /// The result.
    pub body: ClaimResponseBody,
}

/// Result of a request to a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponseBody {
    /// The claim is recorded.
    Granted {
        /// Echoed from the request.
        key: ClaimKey,
        /// Echoed from the request.
        claim: ClaimId,
    },
    /// Others hold the key.
    Held {
        /// Echoed from the request.
        key: ClaimKey,
        /// Echoed from the request.
        claim: ClaimId,
        /// All holders that the member knows.
        holders: Vec<ClaimHolder>,
    },
    /// The claim is not granted.
    ClaimRefused {
        /// Echoed from the request.
        key: ClaimKey,
        /// Echoed from the request.
        claim: ClaimId,
        /// Why.
        refusal: ClaimRefusal,
    },
    /// The claim is released, or was not held.
    Released,
    /// The sender's epoch is the highest that the responder has seen.
    HeartbeatAcknowledged {
        /// Echoed from the request.
        sent: Moment,
    },
    /// The sender's epoch is not the highest.
    HeartbeatRefused,
    /// A page of claims; the responder is sealed for all epochs below the requested view.
    Copied(CopiedPage),
    /// State of the member.
    Status(ClaimMemberStatus),
    /// The responder is not the addressed instance.
    AnotherInstance,
}

/// One page of copied claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedPage {
    /// Epoch of the view that the claims are copied for.
    pub view_epoch: u64,
    /// Echoed from the request.
    pub after: Option<ClaimKey>,
    /// Claims, ordered by key.
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
    /// Number of claims held.
    pub claims: u64,
}

/// Why a member does not grant a claim. None of the reasons implies that the key is claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// Sender and member are in different epochs.
    EpochMismatch,
    /// This instance is not a member of the view, or not of the key's group.
    NotMember,
    /// No majority of the view has acknowledged the member's heartbeats within the lease time.
    NoLease,
    /// Claims of earlier views are not copied yet.
    NotCopied,
    /// The expiry has passed.
    Expired,
    /// The expiry is further away than the longest allowed.
    ExpiryTooLong,
    /// The member holds the maximum number of claims.
    TooManyClaims,
    /// The sender has already given up this claim.
    Abandoned,
    /// The member could not be reached or did not answer in time. Never sent; used by requesters.
    Silent,
}
