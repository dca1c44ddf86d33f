//! What the daemon's state holds of roll-outs: the orders as the source tells them, handed on to the
//! services that they concern.

use super::Gateway;
use crate::clock::Clock;
use tansylead_route::RollOuts;

impl Gateway {
    /// Takes in the orders to roll out.
    pub fn apply_roll_outs(&self, newer: RollOuts) {
        let mut held = self.roll_outs.borrow_mut();
        let is_first = held.is_none();
        let roll_outs = held.get_or_insert_default();
        if newer.at < roll_outs.at {
            return;
        }
        let has_changed = roll_outs.apply(newer);
        if has_changed {
            for roll_out in roll_outs.orders.values() {
                log::info!(service = roll_out.service.as_str(), target = roll_out.target.as_str(), state = roll_out.state.label(), revision = roll_outs.at.0; "roll-out");
            }
        }
        let now = Clock.now();
        for service in self.services.borrow().values() {
            let order = roll_outs.get(service.name());
            service.versions().apply(now, order, roll_outs.at);
        }
        drop(held);
        if has_changed || is_first {
            self.notify();
        }
    }

    /// The orders to roll out; none if nothing is known of them yet.
    pub fn roll_outs(&self) -> Option<RollOuts> {
        self.roll_outs.borrow().clone()
    }
}
