//! What is remembered of orders to roll out when the source comes back from an older copy of itself.
//!
//! The copy may lack an order, which the operator gives again, or how an order ended, which the fleet writes
//! again: a version that was rolled back must get nothing, and one that completed is not tried anew.

use super::order::{OrderId, RollOut, RollOutState, RollOuts};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, ServiceName};

/// An order that the source has lost is given again within this time.
const GIVEN_AGAIN: Duration = Duration::from_secs(10);

/// An order that the source has lost.
#[derive(Debug, Clone)]
struct LostOrder {
    order: RollOut,
    waited_for_until: Moment,
}

/// How an order ended, which the source has lost.
#[derive(Debug, Clone)]
struct LostOutcome {
    /// The order as it stood when it had ended.
    ended: RollOut,
    /// The order that the source tells in its place.
    told: OrderId,
}

/// Orders and outcomes that the source has lost.
#[derive(Debug, Clone, Default)]
pub struct OrderMemory {
    orders: BTreeMap<ServiceName, LostOrder>,
    outcomes: BTreeMap<ServiceName, LostOutcome>,
}

impl OrderMemory {
    /// The orders to act on. `standing` are those acted on before, `told` those that the source tells now;
    /// `is_restored` says that it came back from a copy between the two.
    pub fn take_in(
        &mut self,
        now: Moment,
        standing: &RollOuts,
        told: &RollOuts,
        is_restored: bool,
    ) -> RollOuts {
        if is_restored {
            self.note_lost(now, standing, told);
        }
        self.forget_given_again(now, told);
        self.forget_written_again(told);
        self.complement(told)
    }

    /// The outcomes that must be written again, with the orders as the source tells them.
    pub fn lost_outcomes<'a>(
        &'a self,
        told: &'a RollOuts,
    ) -> impl Iterator<Item = (&'a RollOut, RollOutState)> {
        self.outcomes.iter().filter_map(|(service, outcome)| {
            let order = told.get(service)?;
            Some((order, outcome.ended.state))
        })
    }

    fn note_lost(&mut self, now: Moment, standing: &RollOuts, told: &RollOuts) {
        let waited_for_until = now + GIVEN_AGAIN;
        for (service, order) in &standing.orders {
            let order = order.clone();
            match told.get(service) {
                Some(again) if again.orders_the_same_as(&order) => self.note_outcome(order, again),
                _ => {
                    let lost = LostOrder {
                        order,
                        waited_for_until,
                    };
                    self.orders.insert(service.clone(), lost);
                }
            }
        }
    }

    fn note_outcome(&mut self, ended: RollOut, told: &RollOut) {
        if ended.state.is_final() && !told.state.is_final() {
            let outcome = LostOutcome {
                ended,
                told: told.order,
            };
            self.outcomes.insert(told.service.clone(), outcome);
        }
    }

    /// Lost orders that the source tells again, or that were not given again for too long.
    fn forget_given_again(&mut self, now: Moment, told: &RollOuts) {
        let lost = std::mem::take(&mut self.orders);
        for (service, lost) in lost {
            match told.get(&service) {
                Some(again) if again.orders_the_same_as(&lost.order) => {
                    self.note_outcome(lost.order, again);
                }
                _ if now < lost.waited_for_until => {
                    self.orders.insert(service, lost);
                }
                _ => {}
            }
        }
    }

    /// Outcomes that the source tells again, or whose orders were replaced or taken back.
    fn forget_written_again(&mut self, told: &RollOuts) {
        self.outcomes.retain(|service, outcome| {
            let order = told.get(service);
            order.is_some_and(|order| order.order == outcome.told && !order.state.is_final())
        });
    }

    fn complement(&self, told: &RollOuts) -> RollOuts {
        let mut standing = told.clone();
        for (service, lost) in &self.orders {
            standing.orders.insert(service.clone(), lost.order.clone());
        }
        for (service, outcome) in &self.outcomes {
            standing
                .orders
                .insert(service.clone(), outcome.ended.clone());
        }
        standing
    }
}
