//! Sans-I/O cluster logic: membership, configuration spread, serving sets and claims.
//!
//! Nothing here opens a socket or reads a clock: each state machine takes the current
//! [`tansylead_types::Moment`] with an event and returns the actions its driver must perform.

pub mod claims;
pub mod codec;
pub mod membership;
mod node_set;
pub mod routing;
pub mod spread;
