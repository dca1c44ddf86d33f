//! Identity of daemons.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A daemon's peer address; UDP (membership) and TCP (peer requests) use the same port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub SocketAddr);

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One run of a daemon at an address. A restart at the same address has a higher `boot`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Where the daemon is reached.
    pub node: NodeId,
    /// Wall-clock microseconds at which the process started.
    pub boot: u64,
}
