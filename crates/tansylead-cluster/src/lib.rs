//! Cluster logic without I/O: decisions that daemons take together.

pub mod claims;
