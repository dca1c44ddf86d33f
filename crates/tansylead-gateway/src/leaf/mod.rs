//! Leafs as this daemon knows them: connections, load, soundness, and single attempts.

mod attempt;
mod idle_connections;
mod leaf_state;
mod service_state;

pub use attempt::{AttemptEnd, OutgoingRequest, run_attempt};
pub use leaf_state::{LeafState, OpenAttempt};
pub use service_state::ServiceState;
