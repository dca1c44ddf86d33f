//! What daemons tell the judges of a roll-out.

use super::evidence::RollOutEvidence;
use super::grant::Stage;
use super::order::OrderId;
use serde::{Deserialize, Serialize};
use tansylead_types::{NodeId, ServiceName};

/// What one daemon tells the judges of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RollOutReport {
    /// Service.
    pub service: ServiceName,
    /// Order.
    pub order: OrderId,
    /// The daemon.
    pub reporter: NodeId,
    /// Its life: a restart begins a new one, with totals that begin anew. Later lives are greater.
    pub life: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// How long the daemon has known of the order, in milliseconds.
    pub known_for_millis: u32,
    /// The judge whose grants it follows.
    pub follows: Option<NodeId>,
    /// The stage that it was granted last.
    pub stage: Option<Stage>,
    /// What it has seen.
    pub evidence: RollOutEvidence,
}
