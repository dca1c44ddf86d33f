//! Which judge leads: the one that most daemons follow, as their reports say, if it hears most members.

use super::totals::MergedTotals;
use super::verdict::TrialContext;
use std::collections::BTreeMap;
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
/// Members count for this long after they were last listed: a judge that is cut off with a few others lists them
/// alone once it has noticed, while the others go on under another judge. By then what that one has written
/// stands, or the others are lost.
const LISTED_LATELY: Duration = Duration::from_secs(5);

/// Whether one judge leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    judge: NodeId,
    /// When this daemon learned of the order.
    began: Moment,
    /// Since when this judge has heard reports, if it missed some before.
    listens_since: Option<Moment>,
    /// When each member was last listed, of those that were lately.
    listed: BTreeMap<NodeId, Moment>,
    leads: bool,
}

impl Leadership {
    /// Of a judge that has missed nothing, or begins during a roll-out.
    pub(crate) fn new(judge: NodeId, began: Moment, has_missed: bool) -> Self {
        Self {
            judge,
            began,
            listens_since: has_missed.then_some(began),
            listed: BTreeMap::new(),
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
    pub(crate) fn look(&mut self, now: Moment, context: TrialContext<'_>, totals: &MergedTotals) {
        self.note_listed(now, context.members);
        self.leads = self.has_listened(now)
            && self.hears_most_members(now, totals)
            && self.is_followed(now, context.rank, totals);
    }

    fn note_listed(&mut self, now: Moment, members: &[NodeId]) {
        let members = members.iter().map(|member| (*member, now));
        self.listed.extend(members);
        self.listed
            .retain(|_, listed| now.since(*listed) <= LISTED_LATELY);
    }

    /// Whether more than half of the members listed lately have reported lately; this daemon needs not. Otherwise
    /// the others may have another judge: two that lead at once would grant twice what the bounds allow.
    fn hears_most_members(&self, now: Moment, totals: &MergedTotals) -> bool {
        let was_heard = |member: &NodeId| {
            let reporter = totals.reporter(*member);
            reporter.is_some_and(|reporter| reporter.was_heard(now, LATELY))
        };
        let members = self.listed.keys();
        let heard = members.filter(|member| **member == self.judge || was_heard(member));
        heard.count() * 2 > self.listed.len()
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
