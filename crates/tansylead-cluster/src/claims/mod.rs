//! Claims for non-repeatable requests: a quorum of daemons remembers which root may send a
//! request, so that it runs at most once until its expiry.
//!
//! - [`ClaimMember`] grants claims and remembers them; it runs on every daemon.
//! - [`ClaimRequester`] collects the grants of a majority of the key's group for one root.
//! - [`AnswerCache`] remembers, on the root, what became of each key until its expiry.
//! - [`ClaimViewPlanner`] proposes the next set of members.
//!
//! Invariants: a root dispatches only on its own decision `Granted` and only while
//! [`check_before_dispatch`] passes; a member grants only in the highest epoch it has heard of,
//! only as the very instance named in that epoch's view, only with a quorum lease, and only for
//! keys whose earlier claims it has copied or outwaited. The reasoning and the clock assumptions
//! are in `docs/design/0005-non-repeatable-requests.md`.

mod answers;
mod expiry;
mod group;
mod lease;
mod member;
mod message;
mod planner;
mod requester;
mod settings;
mod table;
mod transfer;

pub use answers::{AnswerCache, AnswerStatus, Begin};
pub use expiry::{DispatchRefused, check_before_dispatch};
pub use group::{GROUP_SIZE, claim_group, majority, seal_quorum};
pub use member::{ClaimMember, ClaimMemberEvent, ClaimTime};
pub use message::{
    ClaimHolder, ClaimId, ClaimKey, ClaimMemberStatus, ClaimRefusal, ClaimRequest,
    ClaimRequestBody, ClaimResponse, ClaimResponseBody, CopiedClaim, CopiedPage,
};
pub use planner::{ClaimViewPlanner, LiveDaemon, MAXIMUM_VIEW_MEMBERS, next_claim_view};
pub use requester::{
    ClaimDecision, ClaimGrant, ClaimRequester, ClaimRequesterAction, ClaimRequesterEvent,
    ClaimTerms, release_requests,
};
pub use settings::ClaimSettings;
