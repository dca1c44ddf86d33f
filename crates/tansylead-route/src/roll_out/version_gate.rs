//! Decides by their versions which leafs of a service may be used.
//!
//! Invariants: nothing is sent to a version under trial beyond the limit of the last grant or after its expiry; a stage
//! of `Commit` or `RollBack` holds until the source has the outcome of the order or another order.

use super::grant::{Grant, Stage};
use super::order::{OrderId, RollOut, RollOutState};
use super::version_memory::{MemoryVerdict, VersionMemory};
use crate::revision::Revision;
use std::time::Duration;
use tansylead_types::{Moment, SoftwareVersion};

/// Entries that lapsed while the source was away are back within two seconds of its return. A version without entries
/// for longer no longer runs.
const ALONE_TIME: Duration = Duration::from_secs(3);

/// How a leaf may be used, given its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionUse {
    /// Without restrictions by its version.
    Unrestricted,
    /// For one more send, as its version is under trial and the grant for this stage allows it.
    Granted(Stage),
    /// Not at the moment, as its version is under trial and no grant allows another send.
    NotGranted,
    /// Only if the service has no other leaf.
    LastResort,
    /// Not at all.
    Excluded,
}

/// The last grant received.
#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    stage: Stage,
    limit: u64,
    until: Moment,
}

/// Version state of one service.
#[derive(Debug, Clone, Default)]
pub struct VersionGate {
    /// Revision that the orders are known up to; none before the first update.
    known_up_to: Option<Revision>,
    order: Option<RollOut>,
    /// The last grant for this order.
    grant: Option<HeldGrant>,
    /// `Commit` or `RollBack`, once a grant had that stage.
    conclusion: Option<Stage>,
    /// Number of sends to the target version under this order.
    sends: u64,
    /// Whether the service already ran only the target version when the order came, so that no trial is needed.
    is_settled: bool,
    /// Since when the service has had ready leafs of the version under trial and of no other one; none if it has not.
    alone_since: Option<Moment>,
    memory: VersionMemory,
}

impl VersionGate {
    /// Updates the order for the service, if any, to its state at a revision of the source. An update older than the
    /// last one is ignored. Returns whether the order is another one than before.
    pub fn apply(&mut self, order: Option<&RollOut>, known_up_to: Revision) -> bool {
        if self.known_up_to.is_some_and(|known| known_up_to < known) {
            return false;
        }
        self.known_up_to = Some(known_up_to);
        let is_other_order = !self.is_continued_by(order);
        if is_other_order {
            self.end_order();
            if let Some(order) = order {
                self.memory.forget_marks(&order.target);
                self.is_settled = order.state == RollOutState::Ordered
                    && self
                        .memory
                        .was_only_version(&order.target, order.changed_at);
            }
        }
        self.order = order.cloned();
        if let Some(order) = order {
            self.memory.on_order(order);
        }
        is_other_order
    }

    /// Notes a leaf entry of this revision with a version.
    pub fn on_version_entry(&mut self, version: &SoftwareVersion, changed_at: Revision) {
        self.memory.on_version_entry(version, changed_at);
    }

    /// Notes a leaf entry of this revision without a version.
    pub fn on_entry_without_version(&mut self, changed_at: Revision) {
        self.memory.on_entry_without_version(changed_at);
    }

    /// Notes whether the service has ready leafs of the version under trial and of no other one.
    pub fn note_alone(&mut self, now: Moment, is_alone: bool) {
        self.alone_since = match self.alone_since {
            _ if !is_alone => None,
            since => since.or(Some(now)),
        };
    }

    /// Whether the last note said that no other version has ready leafs.
    pub fn is_alone_so_far(&self) -> bool {
        self.alone_since.is_some()
    }

    /// Whether the version under trial is the only one that runs: there is nothing to go back to, and requests that it does
    /// not get are served by nobody.
    pub fn is_alone(&self, now: Moment) -> bool {
        let since = self.alone_since.filter(|_| self.trial().is_some());
        since.is_some_and(|since| now.since(since) >= ALONE_TIME)
    }

    /// Handles a grant. Returns the stage if it has changed.
    pub fn on_grant(&mut self, now: Moment, order: OrderId, grant: Grant) -> Option<Stage> {
        if self.trial().is_none_or(|trial| trial.order != order) {
            return None;
        }
        let before = self.stage();
        self.grant = Some(HeldGrant {
            stage: grant.stage,
            limit: grant.limit,
            until: now + grant.valid,
        });
        if self.conclusion.is_none() && matches!(grant.stage, Stage::Commit | Stage::RollBack) {
            self.conclusion = Some(grant.stage);
        }
        let stage = self.stage();
        stage.filter(|_| stage != before)
    }

    /// Counts a send to a leaf of this version. Returns the stage if the version is under trial.
    pub fn on_sent(&mut self, version: Option<&SoftwareVersion>) -> Option<Stage> {
        if !self.is_under_trial(version) {
            return None;
        }
        self.sends += 1;
        Some(self.stage().unwrap_or(Stage::Trial))
    }

    /// The order that is under trial, if any.
    pub fn trial(&self) -> Option<&RollOut> {
        let order = self.order.as_ref();
        order.filter(|order| !order.state.is_final() && !self.is_settled)
    }

    /// Whether the service already ran only the target version when its order came. Its leafs are used as before.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// The stage of the order under trial by the grants so far. It remains valid after the grant has expired.
    pub fn stage(&self) -> Option<Stage> {
        let granted = self.grant.map(|grant| grant.stage);
        self.conclusion.or(granted)
    }

    /// Number of sends to the target version that the grant still allows.
    pub fn sends_left(&self, now: Moment) -> u64 {
        let valid = self.grant.filter(|grant| now < grant.until);
        let open = valid.filter(|_| self.conclusion.is_none() && self.trial().is_some());
        open.map_or(0, |grant| grant.limit.saturating_sub(self.sends))
    }

    /// Whether this version is the target of the order under trial.
    pub fn is_under_trial(&self, version: Option<&SoftwareVersion>) -> bool {
        let trial = self.trial();
        trial.is_some_and(|trial| Some(&trial.target) == version)
    }

    /// How a leaf may be used. `are_orders_stale` tells that the orders may have changed unnoticed.
    pub fn use_of(
        &self,
        now: Moment,
        version: Option<&SoftwareVersion>,
        changed_at: Revision,
        are_orders_stale: bool,
    ) -> VersionUse {
        if self.is_under_trial(version) {
            return self.use_of_target(now, are_orders_stale);
        }
        if self.trial().is_some() && self.conclusion == Some(Stage::Commit) {
            return VersionUse::Excluded;
        }
        let Some(version) = version else {
            let is_stopped = self.memory.is_stopped(None, changed_at);
            return if is_stopped {
                VersionUse::Excluded
            } else {
                VersionUse::Unrestricted
            };
        };
        let Some(known_up_to) = self.known_up_to else {
            return VersionUse::LastResort;
        };
        match self.memory.verdict(version, changed_at, known_up_to) {
            MemoryVerdict::Unrestricted => VersionUse::Unrestricted,
            MemoryVerdict::Doubtful => VersionUse::LastResort,
            MemoryVerdict::Excluded => VersionUse::Excluded,
        }
    }

    fn use_of_target(&self, now: Moment, are_orders_stale: bool) -> VersionUse {
        match self.conclusion {
            Some(Stage::Commit) => return VersionUse::Unrestricted,
            Some(Stage::RollBack) => return VersionUse::Excluded,
            _ => {}
        }
        match self.stage() {
            Some(stage) if self.sends_left(now) > 0 => VersionUse::Granted(stage),
            // The order may have completed unnoticed.
            _ if are_orders_stale || self.is_alone(now) => VersionUse::LastResort,
            _ => VersionUse::NotGranted,
        }
    }

    /// Whether this is the same order as before. An order that had ended, and now has not, was given again.
    fn is_continued_by(&self, order: Option<&RollOut>) -> bool {
        match (&self.order, order) {
            (None, None) => true,
            (Some(held), Some(order)) => {
                held.order == order.order && (order.state.is_final() || !held.state.is_final())
            }
            _ => false,
        }
    }

    fn end_order(&mut self) {
        let was_accepted = self.conclusion == Some(Stage::Commit);
        if let Some(trial) = self.trial().filter(|_| !was_accepted) {
            self.memory.on_withdrawn(&trial.target.clone());
        }
        self.grant = None;
        self.conclusion = None;
        self.sends = 0;
        self.is_settled = false;
        self.alone_since = None;
    }
}
