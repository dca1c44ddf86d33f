//! Reports of daemons to the judges of a roll-out.

use super::evidence::RollOutEvidence;
use super::grant::Stage;
use super::order::OrderId;
use serde::{Deserialize, Serialize};
use tansylead_types::{NodeId, ServiceName};

/// One daemon's report to the judges of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RollOutReport {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Order that the report is about.
    pub order: OrderId,
    /// The daemon that reports.
    pub reporter: NodeId,
    /// Identifies the run of the daemon, as in `InstanceId`. It rises with each restart, which also resets the totals.
    pub boot: u64,
    /// Rises with each report of one run.
    pub sequence: u64,
    /// How long the daemon has known of the order, in milliseconds.
    pub known_for_millis: u32,
    /// The judge whose grants the daemon follows.
    pub follows: Option<NodeId>,
    /// The stage of the daemon's last grant.
    pub stage: Option<Stage>,
    /// The daemon's counts.
    pub evidence: RollOutEvidence,
}
