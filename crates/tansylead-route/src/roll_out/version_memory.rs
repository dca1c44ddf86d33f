//! What is remembered of a service's versions beyond the order that stands.

use super::order::{OrderId, RollOut, RollOutState};
use crate::revision::Revision;
use tansylead_types::SoftwareVersion;

/// What an ended order left behind for its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mark {
    /// The version was rolled back.
    RolledBack,
    /// Its order was taken back before it ended.
    Withdrawn,
}

/// A version that leafs of the service have shown.
#[derive(Debug, Clone)]
struct ShownVersion {
    version: SoftwareVersion,
    /// Oldest revision of an entry that shows it.
    since: Revision,
    /// Newest one.
    latest: Revision,
}

/// The last completion.
#[derive(Debug, Clone)]
struct Completion {
    order: OrderId,
    target: SoftwareVersion,
    at: Revision,
}

/// How a leaf may be used by what is remembered of its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Remembered {
    /// Nothing speaks against it.
    Plain,
    /// Its version is in doubt.
    Doubtful,
    /// It has been stopped, or its version was rolled back.
    Gone,
}

/// Versions of one service. One short record for each version that the service had in this daemon's
/// life.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionMemory {
    shown: Vec<ShownVersion>,
    /// Newest revision of an entry without a version.
    latest_without: Option<Revision>,
    marks: Vec<(SoftwareVersion, Mark)>,
    completion: Option<Completion>,
}

impl VersionMemory {
    /// Notes that an entry of this revision shows the version.
    pub(super) fn on_shown(&mut self, version: &SoftwareVersion, changed_at: Revision) {
        let mut shown = self.shown.iter_mut();
        match shown.find(|shown| shown.version == *version) {
            Some(shown) => {
                shown.since = shown.since.min(changed_at);
                shown.latest = shown.latest.max(changed_at);
            }
            None => self.shown.push(ShownVersion {
                version: version.clone(),
                since: changed_at,
                latest: changed_at,
            }),
        }
    }

    /// Notes that an entry of this revision shows no version.
    pub(super) fn on_shown_without_version(&mut self, changed_at: Revision) {
        self.latest_without = self.latest_without.max(Some(changed_at));
    }

    /// Takes in the state of the order that stands.
    pub(super) fn on_order(&mut self, order: &RollOut) {
        match order.state {
            RollOutState::Ordered | RollOutState::Running => {}
            RollOutState::RolledBack => self.mark(&order.target, Mark::RolledBack),
            RollOutState::Completed => {
                self.forget_marks(&order.target);
                self.on_shown(&order.target, order.changed_at);
                self.on_completed(order);
            }
        }
    }

    /// Notes that a new order names the version: what was before counts no longer.
    pub(super) fn forget_marks(&mut self, version: &SoftwareVersion) {
        self.marks.retain(|(marked, _)| marked != version);
    }

    /// Notes that the order for the version was taken back before it ended.
    pub(super) fn on_withdrawn(&mut self, version: &SoftwareVersion) {
        self.mark(version, Mark::Withdrawn);
    }

    /// How a leaf may be used, if the orders are known up to this revision.
    pub(super) fn judge(
        &self,
        version: &SoftwareVersion,
        changed_at: Revision,
        known_up_to: Revision,
    ) -> Remembered {
        let mut marks = self.marks.iter();
        match marks.find(|(marked, _)| marked == version) {
            Some((_, Mark::RolledBack)) => return Remembered::Gone,
            Some((_, Mark::Withdrawn)) => return Remembered::Doubtful,
            None => {}
        }
        if self.is_stopped(Some(version), changed_at) {
            return Remembered::Gone;
        }
        if changed_at <= known_up_to || self.was_shown(version, known_up_to) {
            return Remembered::Plain;
        }
        // Its order may have come before it.
        Remembered::Doubtful
    }

    /// Whether a leaf was stopped by a completion, although its entry may still stand.
    pub(super) fn is_stopped(
        &self,
        version: Option<&SoftwareVersion>,
        changed_at: Revision,
    ) -> bool {
        let completion = self.completion.as_ref();
        completion.is_some_and(|done| version != Some(&done.target) && changed_at < done.at)
    }

    /// Whether leafs showed this version before a revision, and none that the last completion has not stopped
    /// showed another one, which was not rolled back, or none. Entries after the revision count as well: a daemon that starts during a
    /// roll-out may see the last change of an entry only.
    pub(super) fn was_the_only_one(&self, version: &SoftwareVersion, before: Revision) -> bool {
        let stopped = self
            .completion
            .as_ref()
            .map_or(Revision::first_era(0), |done| done.at);
        let mut shown = self.shown.iter();
        let was_there = shown.any(|shown| shown.version == *version && shown.since < before);
        let is_out = |shown: &ShownVersion| self.was_rolled_back(&shown.version);
        let others = self.shown.iter().filter(|shown| shown.version != *version);
        let others = others.filter(|shown| !is_out(shown));
        let latest = others.map(|shown| Some(shown.latest));
        let mut latest = latest.chain([self.latest_without]).flatten();
        was_there && !latest.any(|latest| latest >= stopped)
    }

    fn was_rolled_back(&self, version: &SoftwareVersion) -> bool {
        let mark = (version.clone(), Mark::RolledBack);
        self.marks.contains(&mark)
    }

    fn was_shown(&self, version: &SoftwareVersion, known_up_to: Revision) -> bool {
        let mut shown = self.shown.iter();
        shown.any(|shown| shown.version == *version && shown.since <= known_up_to)
    }

    fn mark(&mut self, version: &SoftwareVersion, mark: Mark) {
        self.forget_marks(version);
        self.marks.push((version.clone(), mark));
    }

    /// Later changes of a completed order stop no more leafs.
    fn on_completed(&mut self, order: &RollOut) {
        let known = self.completion.as_ref();
        if known.is_some_and(|done| done.order == order.order) {
            return;
        }
        self.completion = Some(Completion {
            order: order.order,
            target: order.target.clone(),
            at: order.changed_at,
        });
    }
}
