//! What this daemon knows of one service: its leafs and its budget of extra attempts.

use super::leaf_state::LeafState;
use crate::clock::Clock;
use crate::settings::GatewayBounds;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{Candidate, ExtraAttempt, RetryBudget, choose_leaf};
use tansylead_types::{LeafId, Moment, ServiceName};

/// One service.
#[derive(Debug)]
pub struct ServiceState {
    name: ServiceName,
    leafs: RefCell<Vec<Rc<LeafState>>>,
    /// Leafs whose entries went missing lately.
    missing: RefCell<Vec<Rc<LeafState>>>,
    missing_grace: Duration,
    budget: RefCell<RetryBudget>,
}

impl ServiceState {
    /// A service without leafs.
    pub fn new(name: ServiceName, bounds: &GatewayBounds, started: Moment) -> Self {
        Self {
            name,
            leafs: RefCell::default(),
            missing: RefCell::default(),
            missing_grace: bounds.missing_grace(),
            budget: RefCell::new(RetryBudget::new(bounds.retry_budget(), started)),
        }
    }

    /// Name.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Adds a leaf.
    pub fn add(&self, leaf: Rc<LeafState>) {
        let id = leaf.entry().leaf.clone();
        self.missing
            .borrow_mut()
            .retain(|known| known.entry().leaf != id);
        self.leafs.borrow_mut().push(leaf);
    }

    /// Takes a leaf out whose entry went missing; it is kept for a while as the last resort.
    pub fn remove(&self, leaf: &Rc<LeafState>) {
        let now = Clock.now();
        let id = leaf.entry().leaf.clone();
        self.leafs
            .borrow_mut()
            .retain(|known| known.entry().leaf != id);
        let mut missing = self.missing.borrow_mut();
        missing.retain(|known| known.is_usable(now, self.missing_grace));
        missing.push(Rc::clone(leaf));
    }

    /// Leafs with an entry.
    pub fn listed(&self) -> Vec<Rc<LeafState>> {
        self.leafs.borrow().clone()
    }

    /// Whether any leaf may be sent requests.
    pub fn has_leafs(&self) -> bool {
        let now = Clock.now();
        let is_usable = |leaf: &Rc<LeafState>| leaf.is_usable(now, self.missing_grace);
        let listed = self.leafs.borrow().iter().any(|leaf| leaf.is_listed());
        listed || self.missing.borrow().iter().any(is_usable)
    }

    /// The best leaf that is not in `excluded`, for a request that typically takes `typical`. Leafs
    /// whose entries are missing come only if no leaf of the service is listed.
    pub fn choose(&self, excluded: &[LeafId], typical: Duration) -> Option<Rc<LeafState>> {
        let now = Clock.now();
        let leafs = self.leafs.borrow();
        if leafs.iter().any(|leaf| leaf.is_listed()) {
            let listed = leafs.iter().filter(|leaf| leaf.is_listed());
            return best(listed, excluded, typical, now);
        }
        let missing = self.missing.borrow();
        let usable = missing
            .iter()
            .filter(|leaf| leaf.is_usable(now, self.missing_grace));
        best(usable, excluded, typical, now)
    }

    /// Notes a request to the service.
    pub fn on_request(&self) {
        self.budget.borrow_mut().on_request(Clock.now());
    }

    /// Takes one extra attempt from the budget, if it allows one.
    pub fn try_take_extra(&self, daemons: usize, kind: ExtraAttempt) -> bool {
        self.budget
            .borrow_mut()
            .try_take(Clock.now(), daemons, kind)
    }
}

fn best<'a>(
    leafs: impl Iterator<Item = &'a Rc<LeafState>>,
    excluded: &[LeafId],
    typical: Duration,
    now: Moment,
) -> Option<Rc<LeafState>> {
    let leafs: Vec<&Rc<LeafState>> = leafs
        .filter(|leaf| !excluded.contains(&leaf.entry().leaf))
        .collect();
    let candidates: Vec<Candidate> = leafs.iter().map(|leaf| leaf.candidate(now)).collect();
    let index = choose_leaf(&candidates, typical, rand::random())?;
    Some(Rc::clone(leafs[index]))
}
