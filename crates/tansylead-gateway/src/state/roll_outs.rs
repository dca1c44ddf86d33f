//! Roll-out orders as the source reports them, passed to the services that they concern, and the revision up to
//! which they must be known, as required by the known leafs.

use super::Gateway;
use crate::clock::Clock;
use crate::leaf::{LeafState, ServiceState};
use std::rc::Rc;
use tansylead_route::{LeafEntry, Revision, RollOut, RollOutState, RollOuts, RollOutsMark};

impl Gateway {
    /// Applies the roll-out orders. A set that arrives late changes nothing.
    pub fn apply_roll_outs(&self, newer: RollOuts) {
        self.record_era(newer.at.era);
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
        self.set_roll_outs(after);
        let is_met = was_needed && self.needed_roll_outs().is_none();
        if has_changed || is_first || is_met {
            self.notify();
        }
    }

    /// Records that another replica, or the source itself, has the same orders as this daemon at a later revision.
    pub fn advance_roll_outs(&self, other: RollOutsMark) {
        let Some(mut held) = self.roll_outs.borrow().clone() else {
            return;
        };
        let was_needed = self.needed_roll_outs().is_some();
        if !held.advance(other) {
            return;
        }
        self.set_roll_outs(held);
        if was_needed && self.needed_roll_outs().is_none() {
            // Daemons that poll this one need this revision too.
            self.notify();
        }
    }

    /// Records that the source has reported no change up to a revision.
    pub fn advance_roll_outs_to(&self, at: Revision) {
        if let Some(held) = self.roll_outs_mark() {
            self.advance_roll_outs(RollOutsMark { at, ..held });
        }
    }

    /// The roll-out orders as the source reports them; none if they are not known yet.
    pub fn roll_outs(&self) -> Option<RollOuts> {
        self.roll_outs.borrow().clone()
    }

    /// The orders to act on; none if they are not known yet. After the source was restored from an older copy, these
    /// include the orders that it has lost, and orders whose outcome it has lost keep that outcome.
    pub fn current_roll_outs(&self) -> Option<RollOuts> {
        let is_known = self.roll_outs.borrow().is_some();
        is_known.then(|| self.current_roll_outs.borrow().clone())
    }

    /// Outcomes that the source has lost, with their orders as it reports them.
    pub fn lost_outcomes(&self) -> Vec<(RollOut, RollOutState)> {
        let reported = self.roll_outs.borrow();
        let memory = self.order_memory.borrow();
        let lost = reported
            .iter()
            .flat_map(|reported| memory.lost_outcomes(reported));
        lost.map(|(order, state)| (order.clone(), state)).collect()
    }

    /// A short summary of the known orders, to compare replicas; none if they are not known yet.
    pub fn roll_outs_mark(&self) -> Option<RollOutsMark> {
        self.roll_outs.borrow().as_ref().map(RollOuts::mark)
    }

    /// Whether any order has not ended.
    pub fn has_open_orders(&self) -> bool {
        let held = self.roll_outs.borrow();
        let mut orders = held.iter().flat_map(|held| held.orders.values());
        orders.any(|order| !order.state.is_final())
    }

    /// The revision up to which the orders must be known, if they are not yet: a leaf of a version
    /// that is new to its service may be the first one of an order that has not arrived.
    pub fn needed_roll_outs(&self) -> Option<Revision> {
        let needed = self.roll_outs_needed.get();
        let known = self.roll_outs.borrow().as_ref().map(|held| held.at);
        (needed > known.unwrap_or_default()).then_some(needed)
    }

    /// Raises the revision that must be known if a leaf about to be added is of a version new to its service.
    pub(super) fn update_needed_roll_outs(&self, entry: &LeafEntry, service: &ServiceState) {
        if !self.settings.bounds.follow_roll_outs || entry.version.is_none() {
            return;
        }
        let leafs = service.all();
        // Leafs of a service's only version are all the last resort alike, and so still serve.
        let is_first = leafs.is_empty();
        let is_known = |leaf: &Rc<LeafState>| leaf.entry().version == entry.version;
        if is_first || leafs.iter().any(is_known) {
            return;
        }
        let revisions = leafs.iter().map(|leaf| leaf.entry().changed_at);
        let newest = revisions.fold(entry.changed_at, Revision::max);
        self.roll_outs_needed
            .set(self.roll_outs_needed.get().max(newest));
    }

    fn set_roll_outs(&self, reported: RollOuts) {
        let now = Clock.now();
        let before = self.roll_outs.borrow().as_ref().map(|held| held.at.era);
        let is_restored = before.is_some_and(|era| era < reported.at.era);
        let current = {
            let before = self.current_roll_outs.borrow();
            let mut memory = self.order_memory.borrow_mut();
            memory.reconcile(now, &before, &reported, is_restored)
        };
        for service in self.services.borrow().values() {
            let order = current.get(service.name());
            service.versions().apply(now, order, current.at);
        }
        self.note_versions();
        *self.current_roll_outs.borrow_mut() = current;
        *self.roll_outs.borrow_mut() = Some(reported);
    }
}

/// Logs one line for each order that was added, changed or revoked.
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
