//! Taking over the claims of earlier views: which members of those views have been sealed and
//! copied, which are dead, and for which keys that is enough to grant.

use super::group::{GROUP_SIZE, claim_group, majority, seal_quorum};
use super::message::{ClaimKey, CopiedPage};
use super::settings::ClaimSettings;
use std::collections::{BTreeMap, BTreeSet};
use tansylead_types::{ClaimView, EarlierClaimView, InstanceId, Moment};

/// Epoch of the only view that has no earlier one.
const FIRST_EPOCH: u64 = 1;

/// What is known of one member of an earlier view.
#[derive(Debug, Clone)]
enum Source {
    /// Nothing received yet.
    Unanswered,
    /// Sealed; the pages up to `after` are copied. The epochs are those of the first page: a source
    /// that became complete between two pages may hold claims that the first one lacked.
    Copying {
        after: Option<ClaimKey>,
        complete_epochs: BTreeSet<u64>,
    },
    /// Sealed and copied as a whole.
    Copied { complete_epochs: BTreeSet<u64> },
    /// Another run of the daemon answered at its address: it can grant nothing, and its claims
    /// are lost.
    Dead,
}

/// Progress of one member towards one view.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    earlier: Vec<EarlierClaimView>,
    /// False if claims may exist in a view that this one does not name.
    knows_earlier: bool,
    sources: BTreeMap<InstanceId, Source>,
    wait_until: Option<Moment>,
    is_complete: bool,
}

impl Transfer {
    /// Starts for a newly adopted view. `own_complete_epochs` are the epochs in which this member
    /// held all claims of its keys; it is its own source for views it belonged to.
    pub(super) fn new(
        me: InstanceId,
        view: &ClaimView,
        generation: u64,
        own_complete_epochs: &BTreeSet<u64>,
    ) -> Self {
        let is_first = view.epoch == FIRST_EPOCH;
        let members = view.earlier.iter().flat_map(|earlier| &earlier.members);
        let mut sources: BTreeMap<InstanceId, Source> = members
            .map(|member| (member.instance, Source::Unanswered))
            .collect();
        if let Some(own) = sources.get_mut(&me) {
            *own = Source::Copied {
                complete_epochs: own_complete_epochs.clone(),
            };
        }
        Self {
            earlier: view.earlier.clone(),
            knows_earlier: generation == view.epoch && is_first == view.earlier.is_empty(),
            sources,
            wait_until: None,
            is_complete: false,
        }
    }

    /// Whether every claim that may be in force for any key is held, or has expired by waiting.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// When the wait for earlier claims to expire ends, if it has begun.
    pub(super) fn wait_until(&self) -> Option<Moment> {
        self.wait_until.filter(|_| !self.is_complete)
    }

    /// Whether some member is still to be asked.
    pub(super) fn has_unfinished(&self) -> bool {
        let is_unfinished =
            |source: &Source| matches!(source, Source::Unanswered | Source::Copying { .. });
        !self.is_complete && self.sources.values().any(is_unfinished)
    }

    /// Members still to be asked, and the key to continue after.
    pub(super) fn unfinished(&self) -> Vec<(InstanceId, Option<ClaimKey>)> {
        if self.is_complete {
            return Vec::new();
        }
        let next_page = |source: &Source| match source {
            Source::Unanswered => Some(None),
            Source::Copying { after, .. } => Some(after.clone()),
            Source::Copied { .. } | Source::Dead => None,
        };
        let unfinished =
            |(instance, source): (&InstanceId, &Source)| Some((*instance, next_page(source)?));
        self.sources.iter().filter_map(unfinished).collect()
    }

    /// Notes a page from a source. Returns false if it is not the page asked for next.
    pub(super) fn on_page(&mut self, from: InstanceId, page: &CopiedPage) -> bool {
        let of_page: BTreeSet<u64> = page.complete_epochs.iter().copied().collect();
        let (expected, complete_epochs) = match self.sources.get(&from) {
            Some(Source::Unanswered) => (None, of_page),
            Some(Source::Copying {
                after,
                complete_epochs,
            }) => (after.clone(), complete_epochs.clone()),
            Some(Source::Copied { .. } | Source::Dead) | None => return false,
        };
        if page.after != expected {
            return false;
        }
        let progress = match &page.next {
            Some(next) => Source::Copying {
                after: Some(next.clone()),
                complete_epochs,
            },
            None => Source::Copied { complete_epochs },
        };
        self.sources.insert(from, progress);
        true
    }

    /// Notes that another, later run answered at a source's address.
    pub(super) fn on_successor(&mut self, dead: InstanceId, successor: InstanceId) {
        let is_successor = successor.node == dead.node && successor.boot > dead.boot;
        if let Some(source) = self.sources.get_mut(&dead).filter(|_| is_successor) {
            // Claims copied as a whole stay valid: the source was sealed before it died.
            if !matches!(source, Source::Copied { .. }) {
                *source = Source::Dead;
            }
        }
    }

    /// Starts and ends the wait for earlier claims, and recomputes completeness.
    pub(super) fn advance(&mut self, now: Moment, settings: &ClaimSettings) {
        if self.is_complete || !self.knows_earlier {
            return;
        }
        if self.wait_until.is_none() && self.earlier.iter().all(|view| self.cannot_grant(view)) {
            self.wait_until = Some(now + settings.wait_for_earlier_claims());
        }
        let wait_is_over = self.wait_until.is_some_and(|until| now >= until);
        self.is_complete = wait_is_over || self.has_copied_all_groups();
    }

    /// Whether all earlier claims of the key are held.
    pub(super) fn covers(&self, key: &ClaimKey) -> bool {
        if self.is_complete {
            return true;
        }
        let is_covered = |(position, view): (usize, &EarlierClaimView)| {
            let group = claim_group(&view.members, key);
            let copied = group
                .iter()
                .filter(|member| self.is_usable(member.instance, position == 0, view.epoch))
                .count();
            copied >= seal_quorum(group.len())
        };
        self.knows_earlier && self.earlier.iter().enumerate().all(is_covered)
    }

    /// Whether so few members are missing that every possible group has enough copied ones.
    fn has_copied_all_groups(&self) -> bool {
        self.earlier.iter().enumerate().all(|(position, view)| {
            let group = view.members.len().min(GROUP_SIZE);
            let missing = view
                .members
                .iter()
                .filter(|member| !self.is_usable(member.instance, position == 0, view.epoch))
                .count();
            missing + seal_quorum(group) <= group
        })
    }

    /// A majority of the view is sealed or dead, so no member of it can renew its lease.
    fn cannot_grant(&self, view: &EarlierClaimView) -> bool {
        let is_stopped = |instance: InstanceId| {
            !matches!(self.sources.get(&instance), Some(Source::Unanswered) | None)
        };
        let stopped = view
            .members
            .iter()
            .filter(|member| is_stopped(member.instance))
            .count();
        stopped >= majority(view.members.len())
    }

    /// Whether the claims copied from a member stand for a view. In the oldest view the member
    /// must also have held the claims of the views before it.
    fn is_usable(&self, instance: InstanceId, is_oldest: bool, epoch: u64) -> bool {
        match self.sources.get(&instance) {
            Some(Source::Copied { complete_epochs }) => {
                !is_oldest || complete_epochs.contains(&epoch)
            }
            _ => false,
        }
    }
}
