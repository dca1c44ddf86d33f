//! Claims for non-repeatable requests: a quorum of daemons records which root may send a request,
//! so that it runs at most once until its expiry.
//!
//! - [`ClaimMember`] grants and stores claims; it runs on every daemon.
//! - [`ClaimRequester`] collects the grants of a majority of the key's group for one root.
//! - [`AnswerCache`] keeps, on the root, the status or answer of each key until its expiry.
//! - [`ClaimViewPlanner`] proposes the next set of members.
//! - [`ClaimViewRepair`] has the view rewritten after the store was restored to an older state.
//!
//! Invariants: a root dispatches only on its own decision `Granted` and only while
//! [`check_before_dispatch`] passes; a member grants only in the highest epoch it has seen, only as
//! the exact instance named in that epoch's view, only with a quorum lease, and only for keys whose
//! earlier claims it has copied or has waited to expire. The reasoning and the clock assumptions
//! are in `docs/design/0005-non-repeatable-requests.md`.
//!
//! How a root processes one non-repeatable request:
//!
//! 1. [`check_before_dispatch`], then [`AnswerCache::begin`]. A known key returns its status.
//! 2. [`ClaimRequester::start`] with the newest view; deliver responses, failures and wakeups.
//! 3. `HeldBy`: [`AnswerCache::mark_not_run`], then ask the owners for [`AnswerCache::status`]: an
//!    answer or "in progress" goes to the caller; `NotRun` from all of them means `not_run`;
//!    anything else, including an unreachable owner, means `unknown`.
//!    `Refused`: [`AnswerCache::mark_not_run`] and answer `not_run` with a retry-after time.
//!    `Granted`: [`check_before_dispatch`] again right before writing the bytes, then send once.
//! 4. [`AnswerCache::finish`], also for `unknown`; or, if the request certainly did not run,
//!    [`AnswerCache::mark_not_run`] and [`release_requests`].

mod adopted_view;
mod answers;
mod event;
mod expiry;
mod grant;
mod group;
mod lease;
mod member;
mod message;
mod planner;
mod repair;
mod requester;
mod settings;
mod table;
mod transfer;

pub use answers::{AnswerCache, AnswerStatus, BeginOutcome};
pub use event::{ClaimMemberEvent, ClaimTime};
pub use expiry::{DispatchRefused, check_before_dispatch};
pub use grant::{ClaimDecision, ClaimGrant, ClaimTerms, release_requests};
pub use group::{GROUP_SIZE, claim_group, majority, seal_quorum};
pub use member::ClaimMember;
pub use message::{
    ClaimHolder, ClaimId, ClaimKey, ClaimMemberStatus, ClaimRefusal, ClaimRequest,
    ClaimRequestBody, ClaimResponse, ClaimResponseBody, CopiedClaim, CopiedPage,
};
pub use planner::{ClaimViewPlanner, LiveDaemon, MAXIMUM_VIEW_MEMBERS, next_claim_view};
pub use repair::{ClaimViewRepair, ClaimViewRepairStep};
pub use requester::{ClaimRequester, ClaimRequesterAction, ClaimRequesterEvent};
pub use settings::ClaimSettings;
