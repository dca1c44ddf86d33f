//! Routing of queries: the serving sets as this daemon sees them, and the reported room of each
//! root. `tansylead_cluster::routing` makes the decisions; this module keeps its inputs current.

mod place_routes;
mod routes;
mod service_routes;

pub use place_routes::{PlaceInputs, PlaceRoutes};
pub use routes::{Routes, RoutesParts};
pub use service_routes::RouteChoice;
