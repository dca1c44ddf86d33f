//! The operator's roll-out orders and their states.
//!
//! There is at most one order for each service, and few in all, so the set is always replicated whole. Invariant: the
//! revision of a replica never decreases, so a set that arrives late changes nothing.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{ServiceName, SoftwareVersion};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies one order. A later order for the same service and version has another id, unless the source's data do not
/// distinguish the two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

impl OrderId {
    /// Computes the id of an order. `made` is the source's text for when the order was created; it must not change as
    /// long as the order exists.
    pub fn new(
        service: &ServiceName,
        target: &SoftwareVersion,
        duration: Duration,
        made: &str,
    ) -> Self {
        let text = format!("{service}/{target}/{}/{made}", duration.as_millis());
        Self(xxh3_64(text.as_bytes()))
    }
}

/// State of a roll-out in the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RollOutState {
    /// Ordered; no daemon has recorded its start yet.
    Ordered,
    /// The target version is under trial.
    Running,
    /// Succeeded: all requests go to the target version, and the old leafs are stopped.
    Completed,
    /// Failed: the target version gets no more requests.
    RolledBack,
}

impl RollOutState {
    /// Whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// One roll-out order and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollOut {
    /// Id of the order.
    pub order: OrderId,
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Version that the service moves to.
    pub target: SoftwareVersion,
    /// Time from the order to its deadline, by which the roll-out should have ended.
    pub duration: Duration,
    /// Current state.
    pub state: RollOutState,
    /// Revision of the last change of the order or its state, on which writes are conditional.
    pub changed_at: Revision,
}

impl RollOut {
    /// Whether both orders move the same service to the same version in the same time. Their ids may differ, as an
    /// order that was lost and given again has a new one.
    pub fn is_equivalent_to(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}

/// All orders at one revision of the source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RollOuts {
    /// Revision of the source that the orders are known up to.
    pub at: Revision,
    /// Orders by service.
    pub orders: BTreeMap<ServiceName, RollOut>,
}

impl RollOuts {
    /// The order for a service.
    pub fn get(&self, service: &ServiceName) -> Option<&RollOut> {
        self.orders.get(service)
    }

    /// Replaces the set by one of the same or a later revision. Returns whether the orders have changed.
    pub fn apply(&mut self, newer: Self) -> bool {
        if newer.at < self.at {
            return false;
        }
        let has_changed = newer.orders != self.orders;
        *self = newer;
        has_changed
    }

    /// Summary of the set in a few bytes.
    pub fn mark(&self) -> RollOutsMark {
        RollOutsMark {
            at: self.at,
            digest: self.digest(),
        }
    }

    /// Whether this set has changes that a replica with the mark `held` lacks.
    pub fn is_update_for(&self, held: Option<RollOutsMark>) -> bool {
        held.is_none_or(|held| held.at < self.at && held.digest != self.digest())
    }

    /// Advances the revision to that of a replica with the same digest, as nothing has changed in between. Returns
    /// whether the revision has advanced.
    pub fn advance(&mut self, other: RollOutsMark) -> bool {
        let is_further = other.at > self.at && other.digest == self.digest();
        if is_further {
            self.at = other.at;
        }
        is_further
    }

    /// Hash of the orders; zero if there are none.
    fn digest(&self) -> u64 {
        if self.orders.is_empty() {
            return 0;
        }
        let orders = self.orders.values();
        let texts = orders.map(|order| {
            let state = order.state.label();
            let Revision { era, number } = order.changed_at;
            let order_id = order.order.0;
            format!("{}/{order_id:x}/{state}/{}.{number}", order.service, era.0)
        });
        xxh3_64(texts.collect::<Vec<_>>().join(" ").as_bytes())
    }
}

/// Summary of a replica's orders, by which replicas compare what they hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RollOutsMark {
    /// Revision of the source that the orders are known up to.
    pub at: Revision,
    /// Hash of the orders; zero if there are none.
    pub digest: u64,
}
