//! What this daemon knows of one service: its leafs and its budget of extra attempts.

use super::leaf_state::LeafState;
use crate::clock::Clock;
use crate::roll_out::{RollOutContext, ServiceVersions};
use crate::settings::GatewayBounds;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{
    BreakerVerdict, Candidate, Eligibility, ExtraAttempt, HomeRegions, LeafRun, RetryBudget, Stage,
    choose_leaf,
};
use tansylead_types::{LeafId, Moment, ServiceName};

/// One service.
#[derive(Debug)]
pub struct ServiceState {
    name: ServiceName,
    /// Leafs with an entry, and those whose entries went missing lately.
    leafs: RefCell<Vec<Rc<LeafState>>>,
    missing_grace: Duration,
    budget: RefCell<RetryBudget>,
    /// This daemon's part of the slack of extra attempts.
    slack_share: Cell<f64>,
    /// Software versions of the leafs, and the order to roll out that stands.
    versions: Rc<ServiceVersions>,
    /// Count of changes of the shares_version daemons up to which parts were computed; none if they must be anew.
    shares_version: Cell<Option<u64>>,
}

impl ServiceState {
    /// A service without leafs.
    pub fn new(
        name: ServiceName,
        bounds: &GatewayBounds,
        started: Moment,
        roll_outs: Rc<RollOutContext>,
    ) -> Self {
        Self {
            name,
            leafs: RefCell::default(),
            missing_grace: bounds.missing_grace(),
            budget: RefCell::new(RetryBudget::new(bounds.retry_budget(), started)),
            slack_share: Cell::new(0.0),
            versions: Rc::new(ServiceVersions::new(roll_outs)),
            shares_version: Cell::new(None),
        }
    }

    /// Name.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// What is known of the versions of its leafs.
    pub fn versions(&self) -> &Rc<ServiceVersions> {
        &self.versions
    }

    /// Count of changes of the shares_version daemons up to which this daemon's parts were computed.
    pub fn shares_version(&self) -> Option<u64> {
        self.shares_version.get()
    }

    /// Notes that the parts are computed up to this change, or must be computed anew.
    pub fn set_shares_version(&self, version: Option<u64>) {
        self.shares_version.set(version);
    }

    /// Adds a leaf.
    pub fn add(&self, leaf: Rc<LeafState>) {
        self.forget_gone();
        self.leafs.borrow_mut().push(leaf);
    }

    /// A run of a leaf whose entry went missing lately.
    pub fn missing(&self, run: &LeafRun) -> Option<Rc<LeafState>> {
        let leafs = self.leafs.borrow();
        let mut missing = leafs.iter().filter(|leaf| !leaf.is_listed());
        missing.find(|leaf| leaf.entry().run() == *run).cloned()
    }

    /// Notes that the runs of a leaf before this one are over, though their entries only went missing.
    pub fn end_earlier_runs(&self, run: &LeafRun) {
        for leaf in self.leafs.borrow().iter() {
            let held = leaf.entry().run();
            if held.leaf == run.leaf && held.started < run.started {
                leaf.set_replaced();
            }
        }
    }

    /// Forgets leafs whose entries have been missing for too long.
    pub fn forget_gone(&self) {
        let now = Clock.now();
        let is_kept = |leaf: &Rc<LeafState>| {
            leaf.is_listed() || leaf.eligibility(now, self.missing_grace) < Eligibility::Ineligible
        };
        self.leafs.borrow_mut().retain(is_kept);
    }

    /// Closes idle connections past their time.
    pub fn close_expired(&self, now: Moment) {
        self.forget_gone();
        for leaf in self.leafs.borrow().iter() {
            leaf.close_expired(now);
        }
    }

    /// Leafs that may be used like any other.
    pub fn regular(&self) -> Vec<Rc<LeafState>> {
        let now = Clock.now();
        let leafs = self.leafs.borrow();
        let regular = leafs
            .iter()
            .filter(|leaf| leaf.eligibility(now, self.missing_grace) == Eligibility::Regular);
        regular.cloned().collect()
    }

    /// Whether any leaf may be sent requests that are confined to `homes`.
    pub fn has_leafs(&self, homes: &HomeRegions) -> bool {
        let now = Clock.now();
        let leafs = self.leafs.borrow();
        let mut eligibilities = leafs
            .iter()
            .map(|leaf| leaf.eligibility_for(homes, now, self.missing_grace));
        eligibilities.any(|eligibility| eligibility < Eligibility::Ineligible)
    }

    /// Leafs with an entry, and those whose entries went missing lately.
    pub(crate) fn all(&self) -> Vec<Rc<LeafState>> {
        self.leafs.borrow().clone()
    }

    /// The best leaf for the first attempt of a request that is confined to `homes` and typically takes
    /// `typical`, of those that are not in `excluded`. Leafs that are the last resort come only if no
    /// leaf of the service is regular. Leafs of a version under trial come first, as far as the request
    /// should go there and one of them is sound; otherwise they are the last resort.
    pub fn choose(
        &self,
        homes: &HomeRegions,
        excluded: &[LeafId],
        typical: Duration,
    ) -> Option<Rc<LeafState>> {
        self.choose_for(true, homes, excluded, typical)
    }

    /// The same for any further attempt.
    pub fn choose_further(
        &self,
        homes: &HomeRegions,
        excluded: &[LeafId],
        typical: Duration,
    ) -> Option<Rc<LeafState>> {
        self.choose_for(false, homes, excluded, typical)
    }

    fn choose_for(
        &self,
        is_first: bool,
        homes: &HomeRegions,
        excluded: &[LeafId],
        typical: Duration,
    ) -> Option<Rc<LeafState>> {
        let now = Clock.now();
        let leafs = self.leafs.borrow();
        let eligibility_for =
            |leaf: &Rc<LeafState>| leaf.eligibility_for(homes, now, self.missing_grace);
        if let Some(stage) = self.versions.preferred_stage(now, is_first) {
            let targets = leafs.iter().filter(|leaf| {
                leaf.trial_stage().is_some() && eligibility_for(leaf) == Eligibility::Regular
            });
            let target = best(targets, excluded, typical, now);
            if let Some(target) = target.filter(|leaf| can_take_trial(leaf, stage, now)) {
                return Some(target);
            }
        }
        let eligibility = |leaf: &Rc<LeafState>| match leaf.trial_stage() {
            Some(Stage::Trial | Stage::Shift) => eligibility_for(leaf).max(Eligibility::LastResort),
            _ => eligibility_for(leaf),
        };
        let best_eligibility = leafs.iter().map(eligibility).min()?;
        if best_eligibility == Eligibility::Ineligible {
            return None;
        }
        let usable = leafs
            .iter()
            .filter(|leaf| eligibility(leaf) == best_eligibility);
        best(usable, excluded, typical, now)
    }

    /// Notes a request to the service.
    pub fn on_request(&self) {
        self.budget.borrow_mut().on_request(Clock.now());
    }

    /// Sets this daemon's part of the slack of extra attempts, 0 to 1.
    pub fn set_slack_share(&self, share: f64) {
        self.slack_share.set(share);
    }

    /// Takes one extra attempt from the budget, if it allows one.
    pub fn try_take_extra(&self, kind: ExtraAttempt) -> bool {
        let mut budget = self.budget.borrow_mut();
        budget.try_take(Clock.now(), self.slack_share.get(), kind)
    }
}

/// Whether a leaf of a version under trial is sound enough to be preferred. In `Trial` a request does not
/// wait there for others to end; in `Shift` that is where all of them go.
fn can_take_trial(leaf: &LeafState, stage: Stage, now: Moment) -> bool {
    let candidate = leaf.candidate(now);
    let is_sound = candidate.verdict != BreakerVerdict::Avoid;
    let is_reachable = candidate.has_idle_connection || !candidate.resets_connections;
    let has_room = stage != Stage::Trial || candidate.in_flight < candidate.limit;
    is_sound && is_reachable && has_room
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
