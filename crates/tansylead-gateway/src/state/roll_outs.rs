//! What the daemon's state holds of roll-outs: the orders as the source tells them, handed on to the
//! services that they concern, and how far they must be known for the leafs that are held.

use super::Gateway;
use crate::clock::Clock;
use crate::leaf::{LeafState, ServiceState};
use std::rc::Rc;
use tansylead_route::{LeafEntry, Revision, RollOut, RollOutState, RollOuts, RollOutsMark};

impl Gateway {
    /// Takes in the orders to roll out. A set that arrives late changes nothing.
    pub fn apply_roll_outs(&self, newer: RollOuts) {
        self.note_era(newer.at.era);
        let held = self.roll_outs.borrow().clone();
        let is_first = held.is_none();
        let before = held.unwrap_or_default();
        let mut after = before.clone();
        let has_changed = after.apply(newer);
        if !is_first && after == before {
            return;
        }
        log_changes(&before, &after);
        let was_needed = self.needed_roll_outs().is_some();
        self.hold_roll_outs(after);
        let is_met = was_needed && self.needed_roll_outs().is_none();
        if has_changed || is_first || is_met {
            self.notify();
        }
    }

    /// Notes that another replica, or the source itself, has the orders that are held here, as they were
    /// at a later revision.
    pub fn advance_roll_outs(&self, other: RollOutsMark) {
        let Some(mut held) = self.roll_outs.borrow().clone() else {
            return;
        };
        let was_needed = self.needed_roll_outs().is_some();
        if !held.advance(other) {
            return;
        }
        self.hold_roll_outs(held);
        if was_needed && self.needed_roll_outs().is_none() {
            // Daemons that poll this one need the same.
            self.notify();
        }
    }

    /// Notes that the source has told of no change up to a revision.
    pub fn advance_roll_outs_to(&self, at: Revision) {
        if let Some(held) = self.roll_outs_mark() {
            self.advance_roll_outs(RollOutsMark { at, ..held });
        }
    }

    /// The orders to roll out as the source tells them; none if nothing is known of them yet.
    pub fn roll_outs(&self) -> Option<RollOuts> {
        self.roll_outs.borrow().clone()
    }

    /// The orders to act on; none if nothing is known of them yet. After the source came back from an older copy,
    /// these are also the orders that it has lost, and those whose outcome it has lost are as they ended.
    pub fn current_roll_outs(&self) -> Option<RollOuts> {
        let is_known = self.roll_outs.borrow().is_some();
        is_known.then(|| self.current_roll_outs.borrow().clone())
    }

    /// Outcomes that the source has lost, with the orders as it tells them.
    pub fn lost_outcomes(&self) -> Vec<(RollOut, RollOutState)> {
        let told = self.roll_outs.borrow();
        let memory = self.order_memory.borrow();
        let lost = told.iter().flat_map(|told| memory.lost_outcomes(told));
        lost.map(|(order, state)| (order.clone(), state)).collect()
    }

    /// What is held of the orders, in a few bytes; none if nothing is known of them yet.
    pub fn roll_outs_mark(&self) -> Option<RollOutsMark> {
        self.roll_outs.borrow().as_ref().map(RollOuts::mark)
    }

    /// Whether an order stands that has not ended.
    pub fn has_open_orders(&self) -> bool {
        let held = self.roll_outs.borrow();
        let mut orders = held.iter().flat_map(|held| held.orders.values());
        orders.any(|order| !order.state.is_final())
    }

    /// The revision up to which the orders must be known, if they are not known so far: a leaf of a version
    /// that is new to its service may be the first one of an order that has not been heard of.
    pub fn needed_roll_outs(&self) -> Option<Revision> {
        let needed = self.roll_outs_needed.get();
        let known = self.roll_outs.borrow().as_ref().map(|held| held.at);
        (needed > known.unwrap_or_default()).then_some(needed)
    }

    /// Notes a leaf that is about to be added to a service.
    pub(super) fn note_version(&self, entry: &LeafEntry, service: &ServiceState) {
        if !self.settings.bounds.follow_roll_outs || entry.version.is_none() {
            return;
        }
        let leafs = service.all();
        // The leafs of a service with one version are held together, and serve together.
        let is_alone = leafs.is_empty();
        let is_known = |leaf: &Rc<LeafState>| leaf.entry().version == entry.version;
        if is_alone || leafs.iter().any(is_known) {
            return;
        }
        let revisions = leafs.iter().map(|leaf| leaf.entry().changed_at);
        let newest = revisions.fold(entry.changed_at, Revision::max);
        self.roll_outs_needed
            .set(self.roll_outs_needed.get().max(newest));
    }

    fn hold_roll_outs(&self, told: RollOuts) {
        let now = Clock.now();
        let before = self.roll_outs.borrow().as_ref().map(|held| held.at.era);
        let is_restored = before.is_some_and(|era| era < told.at.era);
        let current = {
            let before = self.current_roll_outs.borrow();
            let mut memory = self.order_memory.borrow_mut();
            memory.reconcile(now, &before, &told, is_restored)
        };
        for service in self.services.borrow().values() {
            let order = current.get(service.name());
            service.versions().apply(now, order, current.at);
        }
        *self.current_roll_outs.borrow_mut() = current;
        *self.roll_outs.borrow_mut() = Some(told);
    }
}

/// One line for each order that has come, changed or gone.
fn log_changes(before: &RollOuts, after: &RollOuts) {
    for order in after.orders.values() {
        let earlier = before.get(&order.service);
        let earlier = earlier.filter(|earlier| earlier.order == order.order);
        if earlier.is_none_or(|earlier| earlier.state != order.state) {
            log_order(order, earlier);
        }
    }
    let gone = before.orders.values();
    for order in gone.filter(|order| after.get(&order.service).is_none()) {
        log::info!(service = order.service.as_str(), target = order.target.as_str(), state = order.state.label(), revision = after.at.number; "roll-out taken back");
    }
}

fn log_order(order: &RollOut, earlier: Option<&RollOut>) {
    let state_before = earlier.map_or("none", |earlier| earlier.state.label());
    log::info!(service = order.service.as_str(), target = order.target.as_str(), state = order.state.label(), state_before = state_before, duration_ms = order.duration.as_millis() as u64, revision = order.changed_at.number; "roll-out changed");
}
