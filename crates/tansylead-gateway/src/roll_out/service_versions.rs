//! What this daemon knows of the versions of one service: the order that stands, the grant of the judge it
//! follows, and what it has seen of both sides.

use std::cell::RefCell;
use tansylead_route::{Grant, OrderId, Revision, RollOut, RollOutEvidence};
use tansylead_types::{Moment, NodeId};

/// Versions of one service. Shared by the service and each of its leafs.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    order: RefCell<Option<RollOut>>,
}

impl ServiceVersions {
    /// Takes in the order for the service, none if there is none, as it was at a revision of the source.
    pub fn apply(&self, now: Moment, order: Option<&RollOut>, known_up_to: Revision) {
        let _ = (now, known_up_to);
        *self.order.borrow_mut() = order.cloned();
    }

    /// Takes in the grant of the judge that is followed now.
    pub fn on_grant(&self, now: Moment, order: OrderId, judge: NodeId, grant: Grant) {
        let _ = (now, order, judge, grant);
    }

    /// The order that is under trial, with what this daemon has seen since it knows of it.
    pub fn evidence(&self) -> Option<(RollOut, RollOutEvidence)> {
        let order = self.order.borrow();
        let order = order.as_ref().filter(|order| !order.state.is_final())?;
        Some((order.clone(), RollOutEvidence::default()))
    }
}
