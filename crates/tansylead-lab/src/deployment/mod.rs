//! Whole deployments on loopback: described in a TOML file with a table beside it, planned as
//! stand-in leafs and configuration objects, and run as processes.

pub mod description;
pub mod directory;
pub mod fleet;
pub mod in_force;
pub mod plan;
pub mod readiness;
pub mod running;
pub mod seed;
pub mod traffic_table;
pub mod versions;

pub use description::{CallerGroup, CallerKind, DeploymentDescription, PlaceDescription};
pub use directory::RunDirectory;
pub use fleet::{LeafProcess, RunningDaemon};
pub use plan::DeploymentPlan;
pub use running::{RunningDeployment, StartOptions};
