//! Transfer of claims from earlier views: which members of those views have been sealed and copied,
//! which are dead, and for which keys that suffices to grant.

use super::group::{GROUP_SIZE, claim_group, majority, seal_quorum};
use super::message::{ClaimKey, CopiedPage};
use super::settings::ClaimSettings;
use std::collections::{BTreeMap, BTreeSet};
use tansylead_types::{ClaimView, EarlierClaimView, InstanceId, Moment};

/// Epoch of the first view, the only one without earlier views.
const FIRST_EPOCH: u64 = 1;

/// State of one member of an earlier view.
#[derive(Debug, Clone)]
enum Source {
    /// Nothing received yet.
    Unanswered,
    /// Sealed; the pages up to `after` are copied. The epochs are those of the first page: a source
    /// that became complete between two pages may hold claims that the first page lacked.
    Copying {
        after: Option<ClaimKey>,
        complete_epochs: BTreeSet<u64>,
    },
    /// Sealed and completely copied.
    Copied { complete_epochs: BTreeSet<u64> },
    /// A later run of the daemon answered at its address: this run can no longer grant, and its
    /// claims are lost.
    Dead,
}

/// Progress of one member in copying the claims it needs for one view.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    earlier: Vec<EarlierClaimView>,
    /// False if claims may exist in a view that this one does not list.
    knows_earlier: bool,
    sources: BTreeMap<InstanceId, Source>,
    wait_until: Option<Moment>,
    is_complete: bool,
}

impl Transfer {
    /// Starts for a newly adopted view. `own_complete_epochs` are the epochs in which this member
    /// held all claims of its keys; it is its own source for views that it belonged to.
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

    /// Whether every earlier claim that may be in force for any key is held, or the wait for its
    /// expiry is over.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// When the wait for earlier claims to expire ends, if it has started.
    pub(super) fn wait_until(&self) -> Option<Moment> {
        self.wait_until.filter(|_| !self.is_complete)
    }

    /// Whether some source is not fully copied and not dead.
    pub(super) fn has_pending_sources(&self) -> bool {
        let is_pending =
            |source: &Source| matches!(source, Source::Unanswered | Source::Copying { .. });
        !self.is_complete && self.sources.values().any(is_pending)
    }

    /// Sources that are not fully copied and not dead, with the key to continue after.
    pub(super) fn pending_sources(&self) -> Vec<(InstanceId, Option<ClaimKey>)> {
        if self.is_complete {
            return Vec::new();
        }
        let next_page = |source: &Source| match source {
            Source::Unanswered => Some(None),
            Source::Copying { after, .. } => Some(after.clone()),
            Source::Copied { .. } | Source::Dead => None,
        };
        let pending =
            |(instance, source): (&InstanceId, &Source)| Some((*instance, next_page(source)?));
        self.sources.iter().filter_map(pending).collect()
    }

    /// Records a page from a source. Returns false if it is not the expected page.
    pub(super) fn on_page(&mut self, from: InstanceId, page: &CopiedPage) -> bool {
        let page_epochs: BTreeSet<u64> = page.complete_epochs.iter().copied().collect();
        let (expected, complete_epochs) = match self.sources.get(&from) {
            Some(Source::Unanswered) => (None, page_epochs),
            Some(Source::Copying {
                after,
                complete_epochs,
            }) => (after.clone(), complete_epochs.clone()),
            Some(Source::Copied { .. } | Source::Dead) | None => return false,
        };
        if page.after != expected {
            return false;
        }
        let source = match &page.next {
            Some(next) => Source::Copying {
                after: Some(next.clone()),
                complete_epochs,
            },
            None => Source::Copied { complete_epochs },
        };
        self.sources.insert(from, source);
        true
    }

    /// Records that another run answered at a source's address; a later one means that it is dead.
    pub(super) fn on_successor(&mut self, dead: InstanceId, successor: InstanceId) {
        let is_successor = successor.node == dead.node && successor.boot > dead.boot;
        if let Some(source) = self.sources.get_mut(&dead).filter(|_| is_successor) {
            // Completely copied claims stay valid: the source was sealed before it died.
            if !matches!(source, Source::Copied { .. }) {
                *source = Source::Dead;
            }
        }
    }

    /// Starts and ends the wait for earlier claims to expire, and updates completeness.
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

    /// Whether so few members are missing that every possible group contains enough copied ones.
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

    /// Whether a majority of the view is sealed or dead, so that no member can renew its lease.
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

    /// Whether the claims copied from a member count for a view. In the oldest view the member must
    /// also have held the claims of the views before it.
    fn is_usable(&self, instance: InstanceId, is_oldest: bool, epoch: u64) -> bool {
        match self.sources.get(&instance) {
            Some(Source::Copied { complete_epochs }) => {
                !is_oldest || complete_epochs.contains(&epoch)
            }
            _ => false,
        }
    }
}
