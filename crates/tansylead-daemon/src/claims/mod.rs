//! Non-repeatable requests: claims them with a quorum of daemons before their only dispatch, keeps
//! their answers for repetitions, and proposes the views of claim members.
//! `tansylead_cluster::claims` makes the decisions.

mod acquire;
mod execution;
mod member_task;
mod planner_task;
mod service;

pub use execution::ClaimedExecution;
pub use member_task::run_claim_member;
pub use planner_task::{PlannerParts, run_claim_planner};
pub use service::{ClaimParts, Claims, KeyOutcome};
