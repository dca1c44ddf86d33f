//! What this daemon knows of one service: its leafs and its budget of extra attempts.

use super::leaf_state::LeafState;
use crate::clock::Clock;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{
    BreakerVerdict, BudgetSettings, Candidate, ExtraAttempt, RetryBudget, choose_leaf,
};
use tansylead_types::{LeafId, Moment, ServiceName};

/// One service.
#[derive(Debug)]
pub struct ServiceState {
    name: ServiceName,
    leafs: RefCell<Vec<Rc<LeafState>>>,
    budget: RefCell<RetryBudget>,
}

impl ServiceState {
    /// A service without leafs.
    pub fn new(name: ServiceName, budget: BudgetSettings, started: Moment) -> Self {
        Self {
            name,
            leafs: RefCell::new(Vec::new()),
            budget: RefCell::new(RetryBudget::new(budget, started)),
        }
    }

    /// Name.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Adds a leaf.
    pub fn add(&self, leaf: Rc<LeafState>) {
        self.leafs.borrow_mut().push(leaf);
    }

    /// Removes a leaf.
    pub fn remove(&self, leaf: &LeafId) {
        self.leafs
            .borrow_mut()
            .retain(|known| known.entry().leaf != *leaf);
    }

    /// Whether any leaf takes requests.
    pub fn has_leafs(&self) -> bool {
        self.leafs.borrow().iter().any(|leaf| leaf.takes_requests())
    }

    /// Whether any leaf takes requests and is not avoided.
    pub fn has_sound_leafs(&self, now: Moment) -> bool {
        let leafs = self.leafs.borrow();
        let mut ready = leafs.iter().filter(|leaf| leaf.takes_requests());
        ready.any(|leaf| leaf.verdict(now) != BreakerVerdict::Avoid)
    }

    /// The best leaf that is not in `excluded`, for a request that typically takes `typical`.
    pub fn choose(&self, excluded: &[LeafId], typical: Duration) -> Option<Rc<LeafState>> {
        let now = Clock.now();
        let leafs = self.leafs.borrow();
        let usable: Vec<&Rc<LeafState>> = leafs
            .iter()
            .filter(|leaf| leaf.takes_requests() && !excluded.contains(&leaf.entry().leaf))
            .collect();
        let candidates: Vec<Candidate> = usable.iter().map(|leaf| leaf.candidate(now)).collect();
        let index = choose_leaf(&candidates, typical, rand::random())?;
        Some(Rc::clone(usable[index]))
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
