//! Proposes the next claim view. Any daemon that reads the store may run a planner; the proposal is
//! written by compare-and-set on the generation of the view it is based on, so only one of several
//! concurrent proposals is accepted.
//!
//! Invariant: a view lists all views whose claims may be in force. Earlier views are omitted only
//! once the current view is settled: every member that has not departed has reported that it holds
//! all earlier claims, and there is at least one. One such report already means that no member of
//! an older view can grant any more. An unsettled view is replaced only if a majority of it has
//! departed: it cannot grant then, and its successor lists it after the views before it.

use super::group::{hash_instance, majority};
use super::message::ClaimMemberStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{ClaimView, ClaimViewMember, EarlierClaimView, InstanceId, Moment};

/// Maximum number of members of a view.
pub const MAXIMUM_VIEW_MEMBERS: usize = 15;
/// Maximum number of earlier views in a view. The list grows only if a majority of a view departs
/// before the remaining members hold all earlier claims.
const MAXIMUM_EARLIER_VIEWS: usize = 16;
/// Time after which an absent member is replaced.
const ABSENCE_BEFORE_REPLACEMENT: Duration = Duration::from_secs(10);
/// Minimum time between two changes, and before the first view.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Seed of the hash that ranks candidates for new members.
const RANK_SEED: u64 = 0x7461_6e73;

/// A daemon that the membership reports as alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveDaemon {
    /// The daemon.
    pub member: ClaimViewMember,
    /// Whether it has announced that it is leaving.
    pub is_leaving: bool,
}

/// Proposes views over time: delays the replacement of absent members and limits the rate of
/// changes.
#[derive(Debug, Clone)]
pub struct ClaimViewPlanner {
    absent_since: BTreeMap<InstanceId, Moment>,
    epoch: u64,
    epoch_since: Moment,
    /// Members of the current epoch that have reported that they hold all earlier claims.
    complete: BTreeSet<InstanceId>,
}

impl ClaimViewPlanner {
    /// A planner without observations.
    pub fn new(now: Moment) -> Self {
        Self {
            absent_since: BTreeMap::new(),
            epoch: 0,
            epoch_since: now,
            complete: BTreeSet::new(),
        }
    }

    /// Returns the next view if a change is due. `current` is the view in the store; pass none only
    /// if the store reports that the object never existed, and then write with expected generation
    /// 0. `statuses` are answers of the current view's members; without them the view changes only
    /// after the loss of a majority. Call this or [`Self::is_change_due`] about once a second.
    pub fn plan(
        &mut self,
        now: Moment,
        current: Option<&ClaimView>,
        live: &[LiveDaemon],
        statuses: &BTreeMap<InstanceId, ClaimMemberStatus>,
    ) -> Option<ClaimView> {
        let departed = self.observe(now, current, live)?;
        let is_complete =
            |status: &ClaimMemberStatus| status.complete && status.epoch == self.epoch;
        let complete = statuses.iter().filter(|(_, status)| is_complete(status));
        let complete: Vec<InstanceId> = complete.map(|(instance, _)| *instance).collect();
        self.complete.extend(complete);
        next_claim_view(current, live, &departed, &self.complete)
    }

    /// Whether a change would be due if the current view were settled. Only then do its members
    /// need to be asked for the statuses that [`Self::plan`] takes.
    pub fn is_change_due(
        &mut self,
        now: Moment,
        current: Option<&ClaimView>,
        live: &[LiveDaemon],
    ) -> bool {
        let members = current.map_or(&[][..], |view| &view.members);
        let all = members.iter().map(|member| member.instance).collect();
        let departed = self.observe(now, current, live);
        departed.is_some_and(|departed| next_claim_view(current, live, &departed, &all).is_some())
    }

    /// Records which members are present. Returns the departed ones, or none if it is too early for
    /// a change.
    fn observe(
        &mut self,
        now: Moment,
        current: Option<&ClaimView>,
        live: &[LiveDaemon],
    ) -> Option<BTreeSet<InstanceId>> {
        let epoch = current.map_or(0, |view| view.epoch);
        if epoch != self.epoch {
            self.epoch = epoch;
            self.epoch_since = now;
            self.complete.clear();
        }
        let departed = self.departed_members(now, current, live);
        // Waits for members that became absent recently, so that one change replaces all of them.
        let is_absence_recent = self
            .absent_since
            .keys()
            .any(|instance| !departed.contains(instance));
        let is_early = now.since(self.epoch_since) < CHANGE_INTERVAL;
        (!is_absence_recent && !is_early).then_some(departed)
    }

    /// Updates the times of absence and returns members that are leaving or absent for long enough.
    fn departed_members(
        &mut self,
        now: Moment,
        current: Option<&ClaimView>,
        live: &[LiveDaemon],
    ) -> BTreeSet<InstanceId> {
        let members = current.map_or(&[][..], |view| &view.members);
        let find = |instance: InstanceId| live.iter().find(|d| d.member.instance == instance);
        let is_absent = |instance: &InstanceId| find(*instance).is_none();
        let absent: BTreeSet<InstanceId> = members
            .iter()
            .map(|member| member.instance)
            .filter(is_absent)
            .collect();
        self.absent_since
            .retain(|instance, _| absent.contains(instance));
        for instance in &absent {
            self.absent_since.entry(*instance).or_insert(now);
        }
        let is_leaving =
            |instance: InstanceId| find(instance).is_some_and(|daemon| daemon.is_leaving);
        let leaving = members
            .iter()
            .map(|m| m.instance)
            .filter(|instance| is_leaving(*instance));
        let long_absent = self
            .absent_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= ABSENCE_BEFORE_REPLACEMENT)
            .map(|(instance, _)| *instance);
        leaving.chain(long_absent).collect()
    }
}

/// The view that should follow, or none if nothing should change: departed members are replaced,
/// and a view below the maximum size grows; all other members stay. `complete` lists the members of
/// the current view that have reported that they hold all earlier claims.
pub fn next_claim_view(
    current: Option<&ClaimView>,
    live: &[LiveDaemon],
    departed: &BTreeSet<InstanceId>,
    complete: &BTreeSet<InstanceId>,
) -> Option<ClaimView> {
    let Some(current) = current else {
        let members = add_members(Vec::new(), live);
        return (!members.is_empty()).then_some(ClaimView {
            epoch: 1,
            members,
            earlier: vec![],
        });
    };
    if !can_seal_majority(current, live) {
        return None;
    }
    let kept: Vec<ClaimViewMember> = current
        .members
        .iter()
        .filter(|member| !departed.contains(&member.instance))
        .cloned()
        .collect();
    let members = add_members(kept.clone(), live);
    if members.is_empty() || is_same_set(&members, &current.members) {
        return None;
    }
    let is_settled = !complete.is_empty()
        && kept
            .iter()
            .all(|member| complete.contains(&member.instance));
    let has_lost_majority = kept.len() < majority(current.members.len());
    let mut earlier = match (is_settled, has_lost_majority) {
        (true, _) => Vec::new(),
        (false, true) => current.earlier.clone(),
        // The remaining members can grant, and will hold all earlier claims sooner than new ones.
        (false, false) => return None,
    };
    earlier.push(EarlierClaimView {
        epoch: current.epoch,
        members: current.members.clone(),
    });
    let is_allowed = earlier.len() <= MAXIMUM_EARLIER_VIEWS;
    is_allowed.then_some(ClaimView {
        epoch: current.epoch + 1,
        members,
        earlier,
    })
}

/// Whether each member of a majority of the view is alive, or known to be dead because a later run
/// answers at its address. Otherwise a new view could not become ready and would only stop the
/// current one; a daemon partitioned with a minority must not propose.
fn can_seal_majority(current: &ClaimView, live: &[LiveDaemon]) -> bool {
    let is_reachable = |member: &&ClaimViewMember| {
        live.iter().any(|daemon| {
            let instance = daemon.member.instance;
            instance.node == member.instance.node && instance.boot >= member.instance.boot
        })
    };
    let reachable = current.members.iter().filter(is_reachable).count();
    reachable >= majority(current.members.len())
}

/// Adds live daemons up to the maximum, each time from the place, then the zone, with the fewest
/// members. Equal candidates are ranked by hash, so that all planners propose the same view.
fn add_members(mut members: Vec<ClaimViewMember>, live: &[LiveDaemon]) -> Vec<ClaimViewMember> {
    let mut candidates: Vec<&ClaimViewMember> = live
        .iter()
        .filter(|daemon| !daemon.is_leaving && !members.contains(&daemon.member))
        .map(|daemon| &daemon.member)
        .collect();
    while members.len() < MAXIMUM_VIEW_MEMBERS && !candidates.is_empty() {
        let cost = |candidate: &ClaimViewMember| {
            let in_place = members
                .iter()
                .filter(|member| member.place == candidate.place);
            let in_zone = in_place
                .clone()
                .filter(|member| member.zone == candidate.zone);
            let rank = hash_instance(candidate.instance, RANK_SEED);
            (in_place.count(), in_zone.count(), rank)
        };
        let costs = candidates
            .iter()
            .map(|candidate| cost(candidate))
            .enumerate();
        let Some((cheapest, _)) = costs.min_by_key(|(_, cost)| *cost) else {
            break;
        };
        members.push(candidates.remove(cheapest).clone());
    }
    members
}

fn is_same_set(left: &[ClaimViewMember], right: &[ClaimViewMember]) -> bool {
    let set = |members: &[ClaimViewMember]| -> BTreeSet<InstanceId> {
        members.iter().map(|member| member.instance).collect()
    };
    set(left) == set(right)
}
