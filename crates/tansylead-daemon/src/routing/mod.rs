//! Where queries go: the serving sets as this daemon sees them, and what it knows of the room at
//! each root. Decisions are those of `tansylead_cluster::routing`; this keeps its inputs current.

mod place_routes;
mod routes;
mod service_routes;

pub use place_routes::{PlaceInputs, PlaceRoutes};
pub use routes::{Routes, RoutesParts};
pub use service_routes::RouteChoice;
