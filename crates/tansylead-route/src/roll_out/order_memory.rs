//! Memory of orders and outcomes that the source lost when it was restored from an older copy.
//!
//! The copy may lack an order, which the operator gives again, or the outcome of an order, which the daemons write
//! again. Until then, a version that was rolled back must get no requests, and one that completed is not tried again.

use super::order::{OrderId, RollOut, RollOutState, RollOuts};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, ServiceName};

/// How long a lost order is kept. The operator gives it again within this time.
const LOST_ORDER_RETENTION: Duration = Duration::from_secs(10);

/// An order that the source has lost.
#[derive(Debug, Clone)]
struct LostOrder {
    order: RollOut,
    kept_until: Moment,
}

/// Outcome of an order that the source has lost.
#[derive(Debug, Clone)]
struct LostOutcome {
    /// The order with its final state.
    ended: RollOut,
    /// Id of the order that the source has in its place.
    source_order: OrderId,
}

/// Orders and outcomes that the source has lost.
#[derive(Debug, Clone, Default)]
pub struct OrderMemory {
    orders: BTreeMap<ServiceName, LostOrder>,
    outcomes: BTreeMap<ServiceName, LostOutcome>,
}

impl OrderMemory {
    /// Returns the orders to act on. `current` are those acted on before, `source` those that the source has now;
    /// `is_restored` tells that the source was restored between the two.
    pub fn reconcile(
        &mut self,
        now: Moment,
        current: &RollOuts,
        source: &RollOuts,
        is_restored: bool,
    ) -> RollOuts {
        if is_restored {
            self.remember_lost(now, current, source);
        }
        self.forget_given_again(now, source);
        self.forget_written_again(source);
        self.with_lost(source)
    }

    /// The outcomes to write again, each with the order as the source has it.
    pub fn lost_outcomes<'a>(
        &'a self,
        source: &'a RollOuts,
    ) -> impl Iterator<Item = (&'a RollOut, RollOutState)> {
        self.outcomes.iter().filter_map(|(service, outcome)| {
            let order = source.get(service)?;
            Some((order, outcome.ended.state))
        })
    }

    fn remember_lost(&mut self, now: Moment, current: &RollOuts, source: &RollOuts) {
        let kept_until = now + LOST_ORDER_RETENTION;
        for (service, order) in &current.orders {
            let order = order.clone();
            match source.get(service) {
                Some(again) if again.is_equivalent_to(&order) => self.keep_outcome(order, again),
                _ => {
                    let lost = LostOrder { order, kept_until };
                    self.orders.insert(service.clone(), lost);
                }
            }
        }
    }

    fn keep_outcome(&mut self, ended: RollOut, source: &RollOut) {
        if ended.state.is_final() && !source.state.is_final() {
            let outcome = LostOutcome {
                ended,
                source_order: source.order,
            };
            self.outcomes.insert(source.service.clone(), outcome);
        }
    }

    /// Removes lost orders that the source has again, or that were not given again in time.
    fn forget_given_again(&mut self, now: Moment, source: &RollOuts) {
        let lost = std::mem::take(&mut self.orders);
        for (service, lost) in lost {
            match source.get(&service) {
                Some(again) if again.is_equivalent_to(&lost.order) => {
                    self.keep_outcome(lost.order, again);
                }
                _ if now < lost.kept_until => {
                    self.orders.insert(service, lost);
                }
                _ => {}
            }
        }
    }

    /// Removes outcomes that the source has again, or whose orders were replaced or withdrawn.
    fn forget_written_again(&mut self, source: &RollOuts) {
        self.outcomes.retain(|service, outcome| {
            let order = source.get(service);
            order
                .is_some_and(|order| order.order == outcome.source_order && !order.state.is_final())
        });
    }

    fn with_lost(&self, source: &RollOuts) -> RollOuts {
        let mut orders = source.clone();
        for (service, lost) in &self.orders {
            orders.orders.insert(service.clone(), lost.order.clone());
        }
        for (service, outcome) in &self.outcomes {
            orders.orders.insert(service.clone(), outcome.ended.clone());
        }
        orders
    }
}
