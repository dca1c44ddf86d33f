//! What the leafs of a service may be used for by their version.
//!
//! Invariants: nothing is sent to a version under trial beyond the last grant, or after it expired; a
//! stage of `Commit` or `Back` holds until the source says how the order ended, or that there is
//! another one.

use super::grant::{Grant, Stage};
use super::order::{OrderId, RollOut, RollOutState};
use super::version_memory::{Remembered, VersionMemory};
use crate::revision::Revision;
use tansylead_types::{Moment, SoftwareVersion};

/// What a leaf may be used for by its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionUse {
    /// For everything, as if there were no versions.
    Plain,
    /// For one more send to the version under trial, in this stage.
    Granted(Stage),
    /// For nothing at the moment: its version is under trial, and no grant allows another send.
    NotGranted,
    /// Only if the service has no other leaf.
    LastResort,
    /// For nothing.
    Gone,
}

/// A grant that came.
#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    stage: Stage,
    limit: u64,
    until: Moment,
}

/// The gate of one service.
#[derive(Debug, Clone, Default)]
pub struct VersionGate {
    /// Revision up to which the orders are known; none before the first word.
    known_up_to: Option<Revision>,
    order: Option<RollOut>,
    /// The last grant under this order.
    grant: Option<HeldGrant>,
    /// `Commit` or `Back`, once it was seen.
    conclusion: Option<Stage>,
    /// Sends to the target version under this order.
    sends: u64,
    /// Whether the service ran the target version alone when the order came: there is nothing to try.
    is_settled: bool,
    memory: VersionMemory,
}

impl VersionGate {
    /// Takes in the order for the service, none if there is none, as it was at a revision of the
    /// source. A word older than the last one changes nothing. Returns whether another order stands
    /// than before.
    pub fn apply(&mut self, order: Option<&RollOut>, known_up_to: Revision) -> bool {
        if self.known_up_to.is_some_and(|known| known_up_to < known) {
            return false;
        }
        self.known_up_to = Some(known_up_to);
        let is_another = !self.is_continued_by(order);
        if is_another {
            self.end_order();
            if let Some(order) = order {
                self.memory.forget_marks(&order.target);
                self.is_settled = order.state == RollOutState::Ordered
                    && self
                        .memory
                        .was_the_only_one(&order.target, order.changed_at);
            }
        }
        self.order = order.cloned();
        if let Some(order) = order {
            self.memory.on_order(order);
        }
        is_another
    }

    /// Notes that an entry of this revision shows a version.
    pub fn on_shown(&mut self, version: &SoftwareVersion, changed_at: Revision) {
        self.memory.on_shown(version, changed_at);
    }

    /// Notes that an entry of this revision shows no version.
    pub fn on_shown_without_version(&mut self, changed_at: Revision) {
        self.memory.on_shown_without_version(changed_at);
    }

    /// Takes in a grant. Returns the stage if it is another than before.
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
        if self.conclusion.is_none() && matches!(grant.stage, Stage::Commit | Stage::Back) {
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

    /// The order that has not ended; none if there is nothing to try.
    pub fn trial(&self) -> Option<&RollOut> {
        let order = self.order.as_ref();
        order.filter(|order| !order.state.is_final() && !self.is_settled)
    }

    /// Whether the service ran the target version alone when its order came. Its leafs go on as before.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// The stage of the order that has not ended, as far as this daemon was told. It outlasts the grant
    /// that told it.
    pub fn stage(&self) -> Option<Stage> {
        let granted = self.grant.map(|grant| grant.stage);
        self.conclusion.or(granted)
    }

    /// Sends to the target version that the grant still allows.
    pub fn sends_left(&self, now: Moment) -> u64 {
        let fresh = self.grant.filter(|grant| now < grant.until);
        let open = fresh.filter(|_| self.conclusion.is_none() && self.trial().is_some());
        open.map_or(0, |grant| grant.limit.saturating_sub(self.sends))
    }

    /// Whether leafs of this version are the target of an order that has not ended.
    pub fn is_under_trial(&self, version: Option<&SoftwareVersion>) -> bool {
        let trial = self.trial();
        trial.is_some_and(|trial| Some(&trial.target) == version)
    }

    /// What a leaf may be used for. `is_word_old` tells whether the orders may have changed unseen.
    pub fn use_of(
        &self,
        now: Moment,
        version: Option<&SoftwareVersion>,
        changed_at: Revision,
        is_word_old: bool,
    ) -> VersionUse {
        if self.is_under_trial(version) {
            return self.use_of_target(now, is_word_old);
        }
        if self.trial().is_some() && self.conclusion == Some(Stage::Commit) {
            return VersionUse::Gone;
        }
        let Some(version) = version else {
            let is_stopped = self.memory.is_stopped(None, changed_at);
            return if is_stopped {
                VersionUse::Gone
            } else {
                VersionUse::Plain
            };
        };
        let Some(known_up_to) = self.known_up_to else {
            return VersionUse::LastResort;
        };
        match self.memory.judge(version, changed_at, known_up_to) {
            Remembered::Plain => VersionUse::Plain,
            Remembered::Doubtful => VersionUse::LastResort,
            Remembered::Gone => VersionUse::Gone,
        }
    }

    fn use_of_target(&self, now: Moment, is_word_old: bool) -> VersionUse {
        match self.conclusion {
            Some(Stage::Commit) => return VersionUse::Plain,
            Some(Stage::Back) => return VersionUse::Gone,
            _ => {}
        }
        match self.stage() {
            Some(stage) if self.sends_left(now) > 0 => VersionUse::Granted(stage),
            // The order may have completed unseen.
            _ if is_word_old => VersionUse::LastResort,
            _ => VersionUse::NotGranted,
        }
    }

    /// Whether this is the order that stands. One that had ended and has not any more was given again.
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
        let was_judged_good = self.conclusion == Some(Stage::Commit);
        if let Some(trial) = self.trial().filter(|_| !was_judged_good) {
            self.memory.on_withdrawn(&trial.target.clone());
        }
        self.grant = None;
        self.conclusion = None;
        self.sends = 0;
        self.is_settled = false;
    }
}
