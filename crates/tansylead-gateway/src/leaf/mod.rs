//! Leafs as this daemon knows them: connections, load, soundness, and single attempts.

mod attempt;
mod idle_connections;
mod leaf_connections;
mod leaf_health;
mod leaf_standing;
mod leaf_state;
mod open_attempt;
mod service_state;

pub use attempt::{AttemptEnd, HandOver, OutgoingRequest, run_attempt};
pub use leaf_state::LeafState;
pub use open_attempt::OpenAttempt;
pub use service_state::ServiceState;
