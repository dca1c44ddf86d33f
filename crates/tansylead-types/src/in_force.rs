//! Reports on which daemons a store revision is in force.
//!
//! `GET /v1/in-force?revision=R` answers [`InForceAnswer`].

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of the request; the query string is `revision=R`.
pub const IN_FORCE_PATH: &str = "/v1/in-force";

/// Daemons that have a revision in force, as one daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// The requested revision.
    pub revision: u64,
    /// Number of live daemons that have it in force.
    pub confirmed: usize,
    /// Number of live daemons.
    pub total: usize,
    /// Peer addresses of live daemons that do not have it in force, or have not confirmed it.
    pub missing: Vec<SocketAddr>,
}
