//! The operator's orders to roll out, and how far each has come.
//!
//! There is at most one order for a service, and there are few in all, so the set is always passed on
//! whole. Invariant: the revision never goes down, so a set that arrives late changes nothing.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{ServiceName, SoftwareVersion};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies one order. A later order for the same service and version has another one, unless it
/// cannot be told apart from the earlier one by what the source says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

impl OrderId {
    /// The id of an order. `made` is what the source says of when the order was first given; it must not
    /// change while the order stands.
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

/// How far a roll-out has come, as the source says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RollOutState {
    /// Ordered; nobody has noted a beginning.
    Ordered,
    /// The target version is under trial.
    Running,
    /// All requests go to the target version; the old leafs are stopped.
    Completed,
    /// The target version gets nothing any more.
    RolledBack,
}

impl RollOutState {
    /// Whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// One order to roll out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollOut {
    /// The order.
    pub order: OrderId,
    /// Service to be moved.
    pub service: ServiceName,
    /// Version that it moves to.
    pub target: SoftwareVersion,
    /// Time from the order until the roll-out should have ended.
    pub duration: Duration,
    /// How far it has come.
    pub state: RollOutState,
    /// Revision of the last change of order or state; a conditional write names it.
    pub changed_at: Revision,
}

impl RollOut {
    /// Whether both orders move the same service to the same version in the same time. An order that is given
    /// again after it was lost has another id.
    pub fn orders_the_same_as(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}

/// All orders, as they were at one revision of the source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RollOuts {
    /// Revision up to which the source is known.
    pub at: Revision,
    /// The orders.
    pub orders: BTreeMap<ServiceName, RollOut>,
}

impl RollOuts {
    /// The order for a service.
    pub fn get(&self, service: &ServiceName) -> Option<&RollOut> {
        self.orders.get(service)
    }

    /// Takes in a set of the same or a later revision. Returns whether the orders differ from before.
    pub fn apply(&mut self, newer: Self) -> bool {
        if newer.at < self.at {
            return false;
        }
        let has_changed = newer.orders != self.orders;
        *self = newer;
        has_changed
    }

    /// What is held, in a few bytes.
    pub fn mark(&self) -> RollOutsMark {
        RollOutsMark {
            at: self.at,
            digest: self.digest(),
        }
    }

    /// Whether a replica with the mark `held` lacks a change that this set has.
    pub fn is_news_for(&self, held: Option<RollOutsMark>) -> bool {
        held.is_none_or(|held| held.at < self.at && held.digest != self.digest())
    }

    /// Notes that a replica whose orders have the same digest is known up to a later revision: nothing
    /// has changed until then. Returns whether the orders are known further than before.
    pub fn advance(&mut self, other: RollOutsMark) -> bool {
        let is_further = other.at > self.at && other.digest == self.digest();
        if is_further {
            self.at = other.at;
        }
        is_further
    }

    /// Equal for equal orders; zero if there are none.
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

/// What a replica holds of the orders: enough to tell whether another one holds the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RollOutsMark {
    /// Revision up to which the orders are known.
    pub at: Revision,
    /// Equal for equal orders; zero if there are none.
    pub digest: u64,
}
