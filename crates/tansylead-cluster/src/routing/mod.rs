//! Routing: which daemons are roots of a service in a place, to which place and root a frontend
//! sends a query, which daemons judge the roll-outs of a service, and how the roots of a place
//! share the limit of the operators' table.
//!
//! Four independent parts, each of which takes plain values and keeps no view of membership:
//! - [`serving_set`]: the roots of a (service, place), the same on every daemon with the same view;
//! - [`choose_place`] and [`choose_root`]: where one query goes;
//! - [`judges()`]: which daemons judge the roll-outs of a service;
//! - [`RateShares`]: how much of the limit this root may use now.

mod judge_ranking;
mod leaving_notices;
mod place_choice;
mod place_state;
mod rate_shares;
mod serving_set;
mod share_lease;
mod share_message;

pub use judge_ranking::{JUDGE_COUNT, judges};
pub use leaving_notices::{LeavingNotice, LeavingNotices, RENEWAL_PERIOD};
pub use place_choice::{PlaceChoice, RefuseCause, choose_place, choose_root, largest_limit};
pub use place_state::{PlaceState, RootReport, RootState, ServicePlaces};
pub use rate_shares::{RateShares, ShareAction, ShareTiming};
pub use serving_set::{Candidate, ServingPlan, ServingSet, serving_plan, serving_set};
pub use share_message::{ShareMessage, ShareParts};
