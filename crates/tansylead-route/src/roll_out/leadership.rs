//! Which judge leads: the one that most daemons follow, as their reports say.

use super::totals::MergedTotals;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Reports within this time say who is followed: several report periods of a daemon with few requests.
pub(crate) const LATELY: Duration = Duration::from_millis(1_500);
/// Looks come four times a second. After a longer gap this daemon was frozen, and what it remembers of
/// others is old.
pub(crate) const FROZEN: Duration = Duration::from_secs(1);
/// A judge that starts during a roll-out, or was frozen, listens for this long before it leads: daemons that
/// follow another one have reported by then.
const LISTENS_FIRST: Duration = Duration::from_millis(600);
/// If most daemons have known of the order for this much longer than this one, then not all were lost.
/// Daemons that are started together learn of it within less.
const KNOWN_LONGER: Duration = Duration::from_secs(1);

/// Whether one judge leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    judge: NodeId,
    /// When this daemon learned of the order.
    began: Moment,
    /// Since when this judge has heard reports, if it missed some before.
    listens_since: Option<Moment>,
    leads: bool,
}

impl Leadership {
    /// Of a judge that has missed nothing, or begins during a roll-out.
    pub(crate) fn new(judge: NodeId, began: Moment, has_missed: bool) -> Self {
        Self {
            judge,
            began,
            listens_since: has_missed.then_some(began),
            leads: false,
        }
    }

    /// Notes that this daemon was frozen until now.
    pub(crate) fn on_thaw(&mut self, now: Moment) {
        self.listens_since = Some(now);
    }

    /// Whether it led at the last look.
    pub(crate) fn leads(&self) -> bool {
        self.leads
    }

    /// Finds out whether this judge leads now.
    pub(crate) fn look(&mut self, now: Moment, rank: usize, totals: &MergedTotals) {
        self.leads = self.has_listened(now) && self.is_followed(now, rank, totals);
    }

    fn has_listened(&self, now: Moment) -> bool {
        self.listens_since
            .is_none_or(|since| now.since(since) >= LISTENS_FIRST)
    }

    /// Whether this judge is followed by more than half, or is first and nobody follows anybody yet.
    fn is_followed(&self, now: Moment, rank: usize, totals: &MergedTotals) -> bool {
        let heard = || totals.heard(now, LATELY);
        let following = heard().filter(|(_, reporter)| reporter.follows == Some(self.judge));
        let mut reporters = totals.reporters();
        let nobody_follows = rank == 0 && reporters.all(|reporter| reporter.follows.is_none());
        following.count() * 2 > heard().count() || nobody_follows
    }

    /// Whether most daemons have known of the order for longer than this one, so that not all were lost.
    pub(crate) fn have_most_known_longer(&self, now: Moment, totals: &MergedTotals) -> bool {
        let known_here = now.since(self.began);
        let heard = totals.heard(now, LATELY);
        let known: Vec<Duration> = heard
            .map(|(_, reporter)| reporter.known_for + now.since(reporter.heard_at))
            .collect();
        let longer = known
            .iter()
            .filter(|known| **known >= known_here + KNOWN_LONGER);
        longer.count() * 2 > known.len()
    }
}
