//! The claim that a root requests, the decision it gets, and how it releases a grant.

use super::group::claim_group;
use super::message::{
    ClaimHolder, ClaimId, ClaimKey, ClaimRefusal, ClaimRequest, ClaimRequestBody,
};
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_types::{ClaimView, InstanceId, WallTime};

/// The claim that a requester asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTerms {
    /// Key.
    pub key: ClaimKey,
    /// First attempt, from [`super::AnswerCache::begin`].
    pub claim: ClaimId,
    /// Expiry of the request; must have passed [`super::check_before_dispatch`].
    pub expires: WallTime,
}

/// Permission to dispatch one request once. Dispatching still requires
/// [`super::check_before_dispatch`] right before the bytes are written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimGrant {
    /// Key.
    pub key: ClaimKey,
    /// This root and its claim.
    pub holder: ClaimHolder,
    /// Expiry of the request.
    pub expires: WallTime,
    /// Members that were asked.
    pub group: Vec<InstanceId>,
}

/// The single decision of a requester.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A majority granted the claim.
    Granted(ClaimGrant),
    /// Not granted, and others are known to hold the key. Ask them for its status; unless all of
    /// them say that it never ran, the outcome is not `not_run`.
    HeldBy {
        /// All holders reported by the members.
        holders: Vec<ClaimHolder>,
    },
    /// Not granted, and nobody is known to hold the key: `not_run`.
    Refused {
        /// The most frequent reason.
        reason: ClaimRefusal,
        /// When to retry.
        retry_after: Duration,
        /// Highest epoch seen; if above the requester's view, fetch the newer view.
        highest_epoch: u64,
    },
}

/// Requests that release a grant whose request certainly did not run and ended as `not_run`. `view`
/// is the newest known view: claims move to its group when the view changes. Losing these requests
/// is harmless: the key stays claimed until its expiry.
pub fn release_requests(view: &ClaimView, grant: &ClaimGrant) -> Vec<ClaimRequest> {
    let current = claim_group(&view.members, &grant.key);
    let mut members: BTreeSet<InstanceId> = grant.group.iter().copied().collect();
    members.extend(current.iter().map(|member| member.instance));
    let body = ClaimRequestBody::Release {
        key: grant.key.clone(),
        claim: grant.holder.claim,
        expires: grant.expires,
    };
    let members: Vec<InstanceId> = members.into_iter().collect();
    requests_to_each(grant.holder.owner, view.epoch, &members, &body)
}

/// Addresses the same request to several members.
pub(super) fn requests_to_each(
    from: InstanceId,
    epoch: u64,
    to: &[InstanceId],
    body: &ClaimRequestBody,
) -> Vec<ClaimRequest> {
    to.iter()
        .map(|to| ClaimRequest {
            epoch,
            from,
            to: *to,
            body: body.clone(),
        })
        .collect()
}
