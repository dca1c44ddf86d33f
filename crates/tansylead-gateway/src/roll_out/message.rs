//! What daemons and the judges of a roll-out tell one another.

use serde::{Deserialize, Serialize};
use tansylead_route::{Grant, OrderId, RollOutReport};
use tansylead_types::{NodeId, ServiceName};

/// The answer of a judge to a report, or what it grants later without another report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantMessage {
    /// Service.
    pub service: ServiceName,
    /// Order.
    pub order: OrderId,
    /// The judge.
    pub judge: NodeId,
    /// Run of the reporter, as in the report.
    pub boot: u64,
    /// Number of the report that it answers: the reporter takes answers in this order.
    pub sequence: u64,
    /// Grants that were sent after the same report before, unasked ones.
    pub turn: u32,
    /// What the reporter may send.
    pub grant: Grant,
}

impl GrantMessage {
    /// Place among all grants of one judge.
    pub fn place(&self) -> (u64, u32) {
        (self.sequence, self.turn)
    }
}

/// A message between daemons about a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RollOutMessage {
    /// To a judge.
    Report(RollOutReport),
    /// From a judge.
    Grant(GrantMessage),
}
