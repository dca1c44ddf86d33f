//! Memory of a service's versions beyond its current order.

use super::order::{OrderId, RollOut, RollOutState};
use crate::revision::Revision;
use tansylead_types::SoftwareVersion;

/// Lasting effect of an order that has ended on its target version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mark {
    /// The version was rolled back.
    RolledBack,
    /// The version's order was withdrawn before it ended.
    Withdrawn,
}

/// A version that was found in leaf entries of the service.
#[derive(Debug, Clone)]
struct SeenVersion {
    version: SoftwareVersion,
    /// Oldest revision of an entry with this version.
    since: Revision,
    /// Newest revision of an entry with this version.
    latest: Revision,
}

/// The last completed order.
#[derive(Debug, Clone)]
struct Completion {
    order: OrderId,
    target: SoftwareVersion,
    at: Revision,
}

/// How a leaf may be used, given what is remembered of its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemoryVerdict {
    /// Without restrictions.
    Unrestricted,
    /// Only as a last resort, as its version may be under trial or bad.
    Doubtful,
    /// Not at all, as it was stopped or its version was rolled back.
    Excluded,
}

/// Versions of one service: a short record for each version that it has had since this daemon started.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionMemory {
    seen: Vec<SeenVersion>,
    /// Newest revision of an entry without a version.
    latest_without_version: Option<Revision>,
    marks: Vec<(SoftwareVersion, Mark)>,
    completion: Option<Completion>,
}

impl VersionMemory {
    /// Notes a leaf entry of this revision with the version.
    pub(super) fn on_version_entry(&mut self, version: &SoftwareVersion, changed_at: Revision) {
        let mut seen = self.seen.iter_mut();
        match seen.find(|seen| seen.version == *version) {
            Some(seen) => {
                seen.since = seen.since.min(changed_at);
                seen.latest = seen.latest.max(changed_at);
            }
            None => self.seen.push(SeenVersion {
                version: version.clone(),
                since: changed_at,
                latest: changed_at,
            }),
        }
    }

    /// Notes a leaf entry of this revision without a version.
    pub(super) fn on_entry_without_version(&mut self, changed_at: Revision) {
        self.latest_without_version = self.latest_without_version.max(Some(changed_at));
    }

    /// Updates the memory by the state of the current order.
    pub(super) fn on_order(&mut self, order: &RollOut) {
        match order.state {
            RollOutState::Ordered | RollOutState::Running => {}
            RollOutState::RolledBack => self.mark(&order.target, Mark::RolledBack),
            RollOutState::Completed => {
                self.forget_marks(&order.target);
                self.on_version_entry(&order.target, order.changed_at);
                self.on_completed(order);
            }
        }
    }

    /// Removes the marks of a version, as a new order supersedes them.
    pub(super) fn forget_marks(&mut self, version: &SoftwareVersion) {
        self.marks.retain(|(marked, _)| marked != version);
    }

    /// Notes that the order for the version was withdrawn before it ended.
    pub(super) fn on_withdrawn(&mut self, version: &SoftwareVersion) {
        self.mark(version, Mark::Withdrawn);
    }

    /// How a leaf may be used if the orders are known up to this revision.
    pub(super) fn verdict(
        &self,
        version: &SoftwareVersion,
        changed_at: Revision,
        known_up_to: Revision,
    ) -> MemoryVerdict {
        let mut marks = self.marks.iter();
        match marks.find(|(marked, _)| marked == version) {
            Some((_, Mark::RolledBack)) => return MemoryVerdict::Excluded,
            Some((_, Mark::Withdrawn)) => return MemoryVerdict::Doubtful,
            None => {}
        }
        if self.is_stopped(Some(version), changed_at) {
            return MemoryVerdict::Excluded;
        }
        if changed_at <= known_up_to || self.was_seen(version, known_up_to) {
            return MemoryVerdict::Unrestricted;
        }
        // There may be an order for the version that is not known yet.
        MemoryVerdict::Doubtful
    }

    /// Whether a leaf was stopped by a completion, although its entry may still exist.
    pub(super) fn is_stopped(
        &self,
        version: Option<&SoftwareVersion>,
        changed_at: Revision,
    ) -> bool {
        let completion = self.completion.as_ref();
        completion.is_some_and(|done| version != Some(&done.target) && changed_at < done.at)
    }

    /// Whether the service ran only this version before a revision: an entry had it, and all entries without a version
    /// or with another one that was not rolled back belong to leafs that the last completion stopped. These entries
    /// count even if they are newer than the revision, as a daemon that starts during a roll-out may see only the last
    /// change of an entry.
    pub(super) fn was_only_version(&self, version: &SoftwareVersion, before: Revision) -> bool {
        let stopped = self
            .completion
            .as_ref()
            .map_or(Revision::first_era(0), |done| done.at);
        let mut seen = self.seen.iter();
        let was_running = seen.any(|seen| seen.version == *version && seen.since < before);
        let is_rolled_back = |seen: &SeenVersion| self.was_rolled_back(&seen.version);
        let others = self.seen.iter().filter(|seen| seen.version != *version);
        let others = others.filter(|seen| !is_rolled_back(seen));
        let latest = others.map(|seen| Some(seen.latest));
        let mut latest = latest.chain([self.latest_without_version]).flatten();
        was_running && !latest.any(|latest| latest >= stopped)
    }

    fn was_rolled_back(&self, version: &SoftwareVersion) -> bool {
        let mark = (version.clone(), Mark::RolledBack);
        self.marks.contains(&mark)
    }

    fn was_seen(&self, version: &SoftwareVersion, known_up_to: Revision) -> bool {
        let mut seen = self.seen.iter();
        seen.any(|seen| seen.version == *version && seen.since <= known_up_to)
    }

    fn mark(&mut self, version: &SoftwareVersion, mark: Mark) {
        self.forget_marks(version);
        self.marks.push((version.clone(), mark));
    }

    /// Notes a completion. Later changes of the same order are ignored, so that they stop no further leafs.
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
