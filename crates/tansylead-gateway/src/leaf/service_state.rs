//! State of one service: its leafs and its budget of extra attempts.

use super::leaf_state::LeafState;
use crate::clock::Clock;
use crate::roll_out::{RollOutContext, ServiceVersions};
use crate::settings::GatewayBounds;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{
    BreakerVerdict, Candidate, Eligibility, ExtraAttempt, HomeRegions, LeafPhase, LeafRun,
    RetryBudget, Stage, choose_leaf,
};
use tansylead_types::{LeafId, Moment, ServiceName};

/// State of one service at this daemon.
#[derive(Debug)]
pub struct ServiceState {
    name: ServiceName,
    /// Leafs with an entry, and those whose entries disappeared recently.
    leafs: RefCell<Vec<Rc<LeafState>>>,
    missing_grace: Duration,
    budget: RefCell<RetryBudget>,
    /// This daemon's share of the retry budget's slack.
    slack_share: Cell<f64>,
    /// Software versions of the leafs, and the current roll-out order.
    versions: Rc<ServiceVersions>,
    /// Version of the shares that were computed last; none if they must be computed again.
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

    /// Name of the service.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Software versions of its leafs.
    pub fn versions(&self) -> &Rc<ServiceVersions> {
        &self.versions
    }

    /// Version of the shares that were computed last; none if they must be computed again.
    pub fn shares_version(&self) -> Option<u64> {
        self.shares_version.get()
    }

    /// Sets the version of the shares that were computed last; none if they must be computed again.
    pub fn set_shares_version(&self, version: Option<u64>) {
        self.shares_version.set(version);
    }

    /// Notes which versions its ready leafs run, after leafs or orders have changed.
    pub(crate) fn note_versions(&self, now: Moment) {
        if !self.versions.is_under_trial() {
            return;
        }
        let leafs = self.leafs.borrow();
        let ready = leafs.iter().filter(|leaf| leaf.is_listed());
        let ready: Vec<_> = ready
            .map(|leaf| leaf.entry())
            .filter(|entry| entry.phase == LeafPhase::Ready)
            .collect();
        let versions = ready.iter().map(|entry| entry.version.as_ref());
        self.versions.note_ready(now, versions);
    }

    /// Adds a leaf.
    pub fn add(&self, leaf: Rc<LeafState>) {
        self.remove_expired();
        self.leafs.borrow_mut().push(leaf);
    }

    /// Finds a run of a leaf whose entry disappeared recently.
    pub fn find_missing(&self, run: &LeafRun) -> Option<Rc<LeafState>> {
        let leafs = self.leafs.borrow();
        let mut missing = leafs.iter().filter(|leaf| !leaf.is_listed());
        missing.find(|leaf| leaf.entry().run() == *run).cloned()
    }

    /// Marks earlier runs of the leaf, which are kept because their entries are only missing, as replaced.
    pub fn end_earlier_runs(&self, run: &LeafRun) {
        for leaf in self.leafs.borrow().iter() {
            let held = leaf.entry().run();
            if held.leaf == run.leaf && held.started < run.started {
                leaf.set_replaced();
            }
        }
    }

    /// Removes leafs whose entries have been missing for too long.
    pub fn remove_expired(&self) {
        let now = Clock.now();
        let is_kept = |leaf: &Rc<LeafState>| {
            leaf.is_listed() || leaf.eligibility(now, self.missing_grace) < Eligibility::Ineligible
        };
        self.leafs.borrow_mut().retain(is_kept);
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self, now: Moment) {
        self.remove_expired();
        for leaf in self.leafs.borrow().iter() {
            leaf.close_expired(now);
        }
    }

    /// Leafs that may be used without restriction.
    pub fn regular(&self) -> Vec<Rc<LeafState>> {
        let now = Clock.now();
        let leafs = self.leafs.borrow();
        let regular = leafs
            .iter()
            .filter(|leaf| leaf.eligibility(now, self.missing_grace) == Eligibility::Regular);
        regular.cloned().collect()
    }

    /// Whether any leaf may be sent requests that are restricted to `homes`.
    pub fn has_leafs(&self, homes: &HomeRegions) -> bool {
        let now = Clock.now();
        let leafs = self.leafs.borrow();
        let mut eligibilities = leafs
            .iter()
            .map(|leaf| leaf.eligibility_for(homes, now, self.missing_grace));
        eligibilities.any(|eligibility| eligibility < Eligibility::Ineligible)
    }

    /// Leafs with an entry, and those whose entries disappeared recently.
    pub(crate) fn all(&self) -> Vec<Rc<LeafState>> {
        self.leafs.borrow().clone()
    }

    /// The best leaf for the first attempt of a request that is restricted to `homes` and typically takes
    /// `typical`, except those in `excluded`. Last-resort leafs are used only if no leaf of the service is
    /// regular. Leafs of a version under trial are preferred if the request should go there and one of
    /// them is healthy; otherwise they are the last resort.
    pub fn choose(
        &self,
        homes: &HomeRegions,
        excluded: &[LeafId],
        typical: Duration,
    ) -> Option<Rc<LeafState>> {
        self.choose_for(true, homes, excluded, typical)
    }

    /// As `choose`, for any further attempt.
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
            if let Some(target) = target.filter(|leaf| may_take_trial(leaf, stage, now)) {
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

    /// Counts a request to the service.
    pub fn on_request(&self) {
        self.budget.borrow_mut().on_request(Clock.now());
    }

    /// Sets this daemon's share of the retry budget's slack, 0 to 1.
    pub fn set_slack_share(&self, share: f64) {
        self.slack_share.set(share);
    }

    /// Takes one extra attempt from the budget, if it allows one.
    pub fn try_take_extra(&self, kind: ExtraAttempt) -> bool {
        let mut budget = self.budget.borrow_mut();
        budget.try_take(Clock.now(), self.slack_share.get(), kind)
    }
}

/// Whether a leaf of a version under trial is healthy enough to be preferred. In `Trial` a request does not
/// queue there behind others; in `Shift` all requests go there.
fn may_take_trial(leaf: &LeafState, stage: Stage, now: Moment) -> bool {
    let candidate = leaf.candidate(now);
    let is_healthy = candidate.verdict != BreakerVerdict::Avoid;
    let is_reachable = candidate.has_idle_connection || !candidate.resets_connections;
    let has_room = stage != Stage::Trial || candidate.in_flight < candidate.limit;
    is_healthy && is_reachable && has_room
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
    let mut candidates: Vec<Candidate> = leafs.iter().map(|leaf| leaf.candidate(now)).collect();
    estimate_unanswered(&leafs, &mut candidates);
    let index = choose_leaf(&candidates, typical, rand::random())?;
    Some(Rc::clone(leafs[index]))
}

/// Estimates the slowness of leafs that have not answered this daemon yet: that of the others on average, but no worse
/// than typical. Slowness is relative to an upper quartile, so most leafs that have answered are faster than typical.
fn estimate_unanswered(leafs: &[&Rc<LeafState>], candidates: &mut [Candidate]) {
    let answered = || leafs.iter().map(|leaf| leaf.has_answered());
    let known = candidates
        .iter()
        .zip(answered())
        .filter(|(_, known)| *known);
    let (count, sum) = known.fold((0_u32, 0.0), |(count, sum), (candidate, _)| {
        (count + 1, sum + candidate.slowness)
    });
    if count == 0 {
        return;
    }
    let average = (sum / f64::from(count)).min(1.0);
    let unanswered = candidates
        .iter_mut()
        .zip(answered())
        .filter(|(_, known)| !known);
    for (candidate, _) in unanswered {
        if candidate.slowness <= 1.0 {
            candidate.slowness = average;
        }
    }
}
