//! Election of the leading judge: the one that most reports name as followed, if most members report to it.

use super::totals::MergedTotals;
use super::verdict::TrialContext;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Age up to which a report counts for who is followed: several report periods of a daemon with few requests.
pub(crate) const REPORT_WINDOW: Duration = Duration::from_millis(1_500);
/// A gap between evaluations, which come four times a second, after which this daemon was frozen and its reports are
/// stale.
pub(crate) const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);
/// How long a judge that starts during a roll-out, or was frozen, listens before it leads. Daemons that follow another
/// judge have reported by then.
const LISTENING_PERIOD: Duration = Duration::from_millis(600);
/// If most daemons have known of the order for this much longer than this one, not all daemons were lost. Daemons that
/// start together learn of an order within less time.
const KNOWN_LONGER_MARGIN: Duration = Duration::from_secs(1);
/// How long a member counts after it was last listed. Once a judge that is partitioned off with a few others has
/// noticed, only these are listed, while the rest may go on under another judge. After this time, that judge's
/// conclusion is written, or the rest are lost.
const MEMBERSHIP_RETENTION: Duration = Duration::from_secs(5);

/// Whether this daemon's judge leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    judge: NodeId,
    /// When this daemon learned of the order.
    began: Moment,
    /// When this judge began to listen, if it missed earlier reports.
    listens_since: Option<Moment>,
    /// When each member was last listed; only recent ones.
    last_listed: BTreeMap<NodeId, Moment>,
    is_leading: bool,
}

impl Leadership {
    /// Creates the state of a judge; `has_missed` tells that it starts during the roll-out.
    pub(crate) fn new(judge: NodeId, began: Moment, has_missed: bool) -> Self {
        Self {
            judge,
            began,
            listens_since: has_missed.then_some(began),
            last_listed: BTreeMap::new(),
            is_leading: false,
        }
    }

    /// Restarts the listening period, as this daemon was frozen until now.
    pub(crate) fn on_thaw(&mut self, now: Moment) {
        self.listens_since = Some(now);
    }

    /// Whether this judge led at the last evaluation.
    pub(crate) fn is_leading(&self) -> bool {
        self.is_leading
    }

    /// Determines whether this judge leads now.
    pub(crate) fn evaluate(
        &mut self,
        now: Moment,
        context: TrialContext<'_>,
        totals: &MergedTotals,
    ) {
        self.update_listed(now, context.members);
        self.is_leading = self.has_listened(now)
            && self.has_reports_of_most_members(now, totals)
            && self.is_followed(now, context.rank, totals);
    }

    fn update_listed(&mut self, now: Moment, members: &[NodeId]) {
        let members = members.iter().map(|member| (*member, now));
        self.last_listed.extend(members);
        self.last_listed
            .retain(|_, last_listed| now.since(*last_listed) <= MEMBERSHIP_RETENTION);
    }

    /// Whether a majority of the recently listed members has reported recently; this daemon counts in any case.
    /// Otherwise the others may have another judge, and two leading judges would grant twice what the bounds allow.
    fn has_reports_of_most_members(&self, now: Moment, totals: &MergedTotals) -> bool {
        let has_reported = |member: &NodeId| {
            let reporter = totals.reporter(*member);
            reporter.is_some_and(|reporter| reporter.has_reported_within(now, REPORT_WINDOW))
        };
        let members = self.last_listed.keys();
        let reporting = members.filter(|member| **member == self.judge || has_reported(member));
        reporting.count() * 2 > self.last_listed.len()
    }

    fn has_listened(&self, now: Moment) -> bool {
        self.listens_since
            .is_none_or(|since| now.since(since) >= LISTENING_PERIOD)
    }

    /// Whether most reporters follow this judge, or it is ranked first and nobody follows any judge yet.
    fn is_followed(&self, now: Moment, rank: usize, totals: &MergedTotals) -> bool {
        let reporters = || totals.recent_reporters(now, REPORT_WINDOW);
        let following = reporters().filter(|(_, reporter)| reporter.follows == Some(self.judge));
        let mut all_reporters = totals.reporters();
        let nobody_follows = rank == 0 && all_reporters.all(|reporter| reporter.follows.is_none());
        following.count() * 2 > reporters().count() || nobody_follows
    }

    /// Whether most daemons have known of the order for longer than this one, which shows that not all were lost.
    pub(crate) fn has_majority_known_longer(&self, now: Moment, totals: &MergedTotals) -> bool {
        let known_here = now.since(self.began);
        let reporters = totals.recent_reporters(now, REPORT_WINDOW);
        let known: Vec<Duration> = reporters
            .map(|(_, reporter)| reporter.known_for + now.since(reporter.reported_at))
            .collect();
        let longer = known
            .iter()
            .filter(|known| **known >= known_here + KNOWN_LONGER_MARGIN);
        longer.count() * 2 > known.len()
    }
}
