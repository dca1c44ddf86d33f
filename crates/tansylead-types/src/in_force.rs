//! What a daemon answers when asked on which daemons a store revision is in force.
//!
//! `GET /v1/in-force?revision=R` answers [`InForceAnswer`].

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of the question; the query string is `revision=R`.
pub const IN_FORCE_PATH: &str = "/v1/in-force";

/// Daemons that have a revision in force, as one daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// The revision that was asked for.
    pub revision: u64,
    /// Live daemons that have it in force.
    pub confirmed: usize,
    /// Live daemons.
    pub total: usize,
    /// Peer addresses of live daemons that do not have it in force, or have not said so.
    pub missing: Vec<SocketAddr>,
}
