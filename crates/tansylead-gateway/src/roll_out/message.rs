//! Messages between daemons and the judges of a roll-out.

use serde::{Deserialize, Serialize};
use tansylead_route::{Grant, OrderId, RollOutReport};
use tansylead_types::{NodeId, ServiceName};

/// The answer of a judge to a report, or a later unsolicited grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantMessage {
    /// Service.
    pub service: ServiceName,
    /// Order.
    pub order: OrderId,
    /// The judge.
    pub judge: NodeId,
    /// The reporter's boot, as in the report.
    pub boot: u64,
    /// Sequence of the report that it answers: the reporter accepts answers in this order.
    pub sequence: u64,
    /// Number of this grant among those after the same report: 0 is the answer, later ones are unsolicited.
    pub grant_number: u32,
    /// What the reporter may send.
    pub grant: Grant,
}

impl GrantMessage {
    /// Position among all grants of one judge to one run of the reporter.
    pub fn position(&self) -> (u64, u32) {
        (self.sequence, self.grant_number)
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
