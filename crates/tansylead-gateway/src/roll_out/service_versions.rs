//! State of the versions of one service in this daemon: the current order, the grant of the judge that it follows,
//! and its evidence on the old and the new version.

use super::context::RollOutContext;
use super::evidence_log::EvidenceLog;
use super::running_sends::RunningSends;
use super::version_send::{SendResult, SendTarget, SendTerms, VersionSend};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tansylead_route::{
    Grant, LeafEntry, OrderId, Revision, RollOut, RollOutEvidence, Stage, VersionGate, VersionUse,
};
use tansylead_types::{Moment, NodeId, SoftwareVersion};
use tokio::sync::Notify;

/// Versions of one service. Shared by the service and each of its leafs.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    context: Rc<RollOutContext>,
    gate: RefCell<VersionGate>,
    /// Whether there is an order that has not ended. Most services have none, and skip everything else then.
    is_under_trial: Cell<bool>,
    evidence: RefCell<Option<Box<EvidenceLog>>>,
    running: RunningSends,
    /// Attempts that wait for a connection to a leaf of the version under trial.
    waiting: Cell<u32>,
}

impl ServiceVersions {
    /// State of a service without known versions or orders.
    pub fn new(context: Rc<RollOutContext>) -> Self {
        Self {
            context,
            ..Self::default()
        }
    }

    /// Applies the order for the service, `None` if there is none, as of the revision `known_up_to` of the source.
    pub fn apply(&self, now: Moment, order: Option<&RollOut>, known_up_to: Revision) {
        let mut gate = self.gate.borrow_mut();
        let previous = gate.trial().map(|trial| trial.service.clone());
        let is_other_order = gate.apply(order, known_up_to);
        let trial = gate.trial();
        self.is_under_trial.set(trial.is_some());
        let mut evidence = self.evidence.borrow_mut();
        match trial {
            None => *evidence = None,
            Some(trial) if is_other_order => {
                *evidence = Some(Box::new(EvidenceLog::new(trial.order)))
            }
            Some(_) => {}
        }
        match (previous, trial) {
            (Some(service), None) => self.context.metrics.remove_service(service.as_str()),
            (_, Some(_)) if is_other_order => self.update_sends_left(&gate, now),
            _ => return,
        }
        self.context.notify();
    }

    /// Applies a grant of the judge that is followed.
    pub fn on_grant(&self, now: Moment, order: OrderId, judge: NodeId, grant: Grant) {
        let mut gate = self.gate.borrow_mut();
        let changed = gate.on_grant(now, order, grant);
        self.update_sends_left(&gate, now);
        if let (Some(stage), Some(trial)) = (changed, gate.trial()) {
            log::info!(order = trial.order.0, service = trial.service.as_str(), target = trial.target.as_str(), stage = stage.label(), judge:% = judge; "roll-out stage");
            self.context.notify();
        }
    }

    /// Records the version in the entry of a leaf.
    pub fn on_entry(&self, entry: &LeafEntry) {
        if !self.context.follows_roll_outs() {
            return;
        }
        let mut gate = self.gate.borrow_mut();
        match &entry.version {
            Some(version) => gate.on_version_entry(version, entry.changed_at),
            None => gate.on_entry_without_version(entry.changed_at),
        }
    }

    /// What a leaf may be used for by its version.
    pub fn use_of(&self, now: Moment, entry: &LeafEntry) -> VersionUse {
        if !self.context.follows_roll_outs() {
            return VersionUse::Unrestricted;
        }
        let are_orders_stale = self.context.are_orders_stale(now);
        let gate = self.gate.borrow();
        gate.use_of(
            now,
            entry.version.as_ref(),
            entry.changed_at,
            are_orders_stale,
        )
    }

    /// The stage of the trial if the leaf runs the version under trial, else `None`. `Trial` before the first grant.
    pub fn trial_stage(&self, entry: &LeafEntry) -> Option<Stage> {
        if !self.is_under_trial.get() {
            return None;
        }
        let gate = self.gate.borrow();
        let is_target = gate.is_under_trial(entry.version.as_ref());
        is_target.then(|| gate.stage().unwrap_or(Stage::Trial))
    }

    /// The current stage if an attempt should go to the version under trial now, else `None`. In `Trial` only first
    /// attempts do; in all stages only while the grant exceeds the attempts that wait for a connection already.
    pub fn preferred_stage(&self, now: Moment, is_first: bool) -> Option<Stage> {
        if !self.is_under_trial.get() {
            return None;
        }
        let gate = self.gate.borrow();
        let stage = gate.stage()?;
        let is_eligible = match stage {
            Stage::Trial => is_first,
            Stage::Shift => true,
            Stage::Commit | Stage::RollBack => false,
        };
        let has_allowance = gate.sends_left(now) > u64::from(self.waiting.get());
        (is_eligible && has_allowance).then_some(stage)
    }

    /// Counts an attempt that waits for a connection to a leaf of the version under trial.
    pub(crate) fn on_waiting(&self) {
        self.waiting.set(self.waiting.get() + 1);
    }

    /// Counts an attempt that waited and was sent, or has ended.
    pub(crate) fn on_waited(&self) {
        self.waiting.set(self.waiting.get().saturating_sub(1));
    }

    /// Counts an attempt for the version under trial that was about to be sent when its leaf may no longer be used.
    pub(crate) fn on_withheld(&self, now: Moment, entry: &LeafEntry) {
        let is_withheld = matches!(
            self.use_of(now, entry),
            VersionUse::NotGranted | VersionUse::Excluded
        );
        if self.trial_stage(entry).is_some() && is_withheld {
            self.context.metrics.on_grant_gone();
        }
    }

    /// Counts an attempt that is sent to a leaf of this version now; `None` if roll-outs are not followed.
    pub(crate) fn begin_send(
        self: &Rc<Self>,
        now: Moment,
        version: Option<&SoftwareVersion>,
        target: SendTarget,
        terms: &SendTerms,
    ) -> Option<VersionSend> {
        let is_first_send = !terms.is_request_sent.replace(true);
        if !self.context.follows_roll_outs() {
            return None;
        }
        let index = self.running.begin(version);
        let order = self.count_send(now, version, is_first_send);
        let versions = Rc::clone(self);
        let terms = terms.clone();
        Some(VersionSend::new(versions, index, order, terms, target, now))
    }

    fn count_send(
        &self,
        now: Moment,
        version: Option<&SoftwareVersion>,
        is_first_send: bool,
    ) -> Option<(OrderId, bool)> {
        let mut evidence = self.evidence.borrow_mut();
        let evidence = evidence.as_mut()?;
        if is_first_send {
            evidence.on_request();
        }
        let mut gate = self.gate.borrow_mut();
        let stage = gate.on_sent(version);
        if let Some(stage) = stage {
            evidence.on_new_send();
            self.context.metrics.on_send(stage);
            self.update_sends_left(&gate, now);
        }
        Some((evidence.order(), stage.is_some()))
    }

    /// Counts the result of an attempt that was sent under an order.
    pub(super) fn on_result(&self, order: OrderId, result: &SendResult) {
        let mut evidence = self.evidence.borrow_mut();
        let current = evidence.as_mut().filter(|log| log.order() == order);
        if let Some(current) = current {
            current.on_end(result);
        }
    }

    /// Counts the end of an attempt.
    pub(super) fn on_send_end(&self, version: usize) {
        let before = self.running_on_old();
        self.running.end(version);
        if before.is_some_and(|before| before > 0) && self.running_on_old() == Some(0) {
            self.context.notify();
        }
    }

    /// Attempts that run on old leafs, in the stages in which all requests move to the target; `None` in the others.
    fn running_on_old(&self) -> Option<u32> {
        if !self.is_under_trial.get() {
            return None;
        }
        let gate = self.gate.borrow();
        let trial = gate.trial()?;
        let is_moving = matches!(gate.stage(), Some(Stage::Shift | Stage::Commit));
        is_moving.then(|| self.running.split_by_target(&trial.target).0)
    }

    /// The order under trial, with this daemon's evidence since it learned of the order.
    pub fn evidence(&self) -> Option<(RollOut, RollOutEvidence)> {
        let gate = self.gate.borrow();
        let trial = gate.trial()?;
        let log = self.evidence.borrow();
        let mut evidence = log.as_ref()?.totals().clone();
        let (old, new) = self.running.split_by_target(&trial.target);
        evidence.running_on_old = old;
        evidence.running_on_new = new;
        Some((trial.clone(), evidence))
    }

    /// Whether the service ran only the target version when its order came, so that no trial is needed.
    pub fn is_settled(&self) -> bool {
        self.gate.borrow().is_settled()
    }

    /// Whether there is an order that has not ended.
    pub(crate) fn is_under_trial(&self) -> bool {
        self.is_under_trial.get()
    }

    /// Notes which versions the ready leafs of a service under trial run now.
    pub(crate) fn note_ready<'a>(
        &self,
        now: Moment,
        mut versions: impl Iterator<Item = Option<&'a SoftwareVersion>> + Clone,
    ) {
        let mut gate = self.gate.borrow_mut();
        let was_noted = gate.is_alone_so_far();
        let is_alone = versions.clone().next().is_some()
            && versions.all(|version| gate.is_under_trial(version));
        gate.note_alone(now, is_alone);
        let Some(trial) = gate.trial().filter(|_| is_alone != was_noted) else {
            return;
        };
        let (service, target) = (trial.service.as_str(), trial.target.as_str());
        if is_alone {
            log::info!(service = service, target = target; "version under trial runs alone");
        } else {
            log::info!(service = service, target = target; "version under trial no longer runs alone");
        }
    }

    /// Whether the version under trial is the only one that runs.
    pub fn is_alone(&self, now: Moment) -> bool {
        self.is_under_trial.get() && self.gate.borrow().is_alone(now)
    }

    /// Wakes the reporter of any service; see [`RollOutContext::changed`].
    pub fn changed(&self) -> &Notify {
        self.context.changed()
    }

    fn update_sends_left(&self, gate: &VersionGate, now: Moment) {
        if let Some(trial) = gate.trial() {
            let left = gate.sends_left(now);
            self.context
                .metrics
                .set_sends_left(trial.service.as_str(), left);
        }
    }
}
