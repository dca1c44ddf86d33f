//! State of leafs at this daemon: connections, load, health, and single attempts.

mod attempt;
mod end_check;
mod idle_connections;
mod leaf_availability;
mod leaf_connections;
mod leaf_health;
mod leaf_state;
mod lost_requests;
mod open_attempt;
mod service_state;
mod zone_round_trip;

pub use attempt::{AttemptEnd, OutgoingRequest, SendRecord, run_attempt};
pub use end_check::{EndEvidence, Probe, probe, watch_entry};
pub use leaf_state::LeafState;
pub use lost_requests::{LostRequest, LostRequests};
pub use open_attempt::OpenAttempt;
pub use service_state::ServiceState;
pub use zone_round_trip::ZoneRoundTrip;
