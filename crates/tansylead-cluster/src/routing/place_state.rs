//! What a frontend knows about the places and roots of one service.
//!
//! Tracks the reachable roots, the room that each last reported, and backoff after a refusal.
//! All of it is a hint: the roots enforce the limits. A root without a fresh report is assumed to
//! have room, and a refusal corrects that at the cost of one message.
//!
//! A full root has room again as soon as its rate allows, so "no room" is cached only for
//! [`NO_ROOM_LIFETIME`]. If frontends backed off for longer than a root's burst allowance covers,
//! the root would idle for the difference and the place would carry less than its limit.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId, PlaceName};

/// How long a root's report that it has room stays valid.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// How long a root is assumed to have no room after such a report or a refusal. Together with a
/// round trip between regions it stays below the burst allowance of a root's admission.
pub const NO_ROOM_LIFETIME: Duration = Duration::from_millis(50);
/// How long a root that could not be reached is skipped, unless membership removes it sooner.
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

/// What a root attaches to every forwarded answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RootReport {
    /// Queries per second that the root admitted recently.
    pub admitted_rate: f64,
    /// Queries per second that the root may admit now.
    pub usable_rate: f64,
}

impl RootReport {
    /// Queries per second that the root could still admit.
    pub fn room(&self) -> f64 {
        (self.usable_rate - self.admitted_rate).max(0.0)
    }
}

/// What is known about one root.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RootState {
    report: Option<(Moment, RootReport)>,
    /// The root gets no queries before this time.
    backoff_until: Option<Moment>,
    /// Earliest retry that the root asked of callers; passed on in refusals.
    retry_at: Option<Moment>,
}

impl RootState {
    /// Room last reported; `None` without a fresh report.
    pub fn reported_room(&self, now: Moment) -> Option<f64> {
        let (at, report) = self.report?;
        let lifetime = match report.room() {
            0.0 => NO_ROOM_LIFETIME,
            _ => REPORT_LIFETIME,
        };
        let is_fresh = now.since(at) < lifetime;
        is_fresh.then(|| report.room())
    }

    /// Whether a query may be sent there.
    pub fn has_room(&self, now: Moment) -> bool {
        let is_backed_off = self.backoff_until.is_some_and(|until| now < until);
        !is_backed_off && self.reported_room(now) != Some(0.0)
    }

    /// Earliest time at which a caller that is refused now should retry.
    fn retry_at(&self, now: Moment) -> Moment {
        let requested = self.retry_at.unwrap_or(now);
        requested.max(self.backoff_until.unwrap_or(now))
    }
}

/// What is known about one place.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlaceState {
    roots: BTreeMap<NodeId, RootState>,
}

impl PlaceState {
    /// Reachable roots and their states, ordered by address.
    pub fn roots(&self) -> impl Iterator<Item = (NodeId, &RootState)> {
        self.roots.iter().map(|(node, state)| (*node, state))
    }

    /// Whether some root may be sent a query.
    pub fn has_room(&self, now: Moment) -> bool {
        self.roots.values().any(|root| root.has_room(now))
    }

    /// Earliest time at which callers that are refused now should retry; `None` without any
    /// reachable root.
    pub fn retry_at(&self, now: Moment) -> Option<Moment> {
        let roots = self.roots.values();
        let retries = roots.map(|root| root.retry_at(now));
        retries.min()
    }
}

/// What is known about all places of one service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServicePlaces {
    places: BTreeMap<PlaceName, PlaceState>,
}

impl ServicePlaces {
    /// Sets the reachable roots of a place, usually its serving set without suspected members.
    /// Roots that remain keep their state.
    pub fn set_roots(&mut self, place: &PlaceName, roots: impl IntoIterator<Item = NodeId>) {
        let known = self.places.remove(place).unwrap_or_default();
        let keep = |node: NodeId| {
            let state = known.roots.get(&node).copied();
            (node, state.unwrap_or_default())
        };
        let roots: BTreeMap<NodeId, RootState> = roots.into_iter().map(keep).collect();
        if !roots.is_empty() {
            self.places.insert(place.clone(), PlaceState { roots });
        }
    }

    /// Records a report. A root that is not in the serving set is ignored.
    pub fn on_report(&mut self, now: Moment, place: &PlaceName, root: NodeId, report: RootReport) {
        if let Some(state) = self.root_mut(place, root) {
            state.report = Some((now, report));
        }
    }

    /// Records that a root refused for lack of room, and when callers should retry. This frontend
    /// itself tries the root again sooner: see the module documentation.
    pub fn on_refusal(
        &mut self,
        now: Moment,
        place: &PlaceName,
        root: NodeId,
        retry_after: Duration,
    ) {
        if let Some(state) = self.root_mut(place, root) {
            state.backoff_until = Some(now + retry_after.min(NO_ROOM_LIFETIME));
            state.retry_at = Some(now + retry_after);
        }
    }

    /// Records that a root could not be reached.
    pub fn on_unreachable(&mut self, now: Moment, place: &PlaceName, root: NodeId) {
        if let Some(state) = self.root_mut(place, root) {
            state.backoff_until = Some(now + UNREACHABLE_BACKOFF);
        }
    }

    /// What is known about a place; `None` without any reachable root.
    pub fn place(&self, place: &PlaceName) -> Option<&PlaceState> {
        self.places.get(place)
    }

    fn root_mut(&mut self, place: &PlaceName, root: NodeId) -> Option<&mut RootState> {
        self.places.get_mut(place)?.roots.get_mut(&root)
    }
}
