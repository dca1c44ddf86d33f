//! What a frontend knows about the places and roots of one service.
//!
//! Owns the roots that are reachable, the room that each last reported, and back-off after a
//! refusal. Everything here is a hint: limits are enforced by the roots. Reports grow old after
//! [`REPORT_LIFETIME`]; a root without a fresh report is taken to have room, and a refusal
//! corrects that at the cost of one message.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId, PlaceName};

/// How long a root's report is believed.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Longest back-off after one refusal, whatever the root asked for.
pub const MAXIMUM_BACKOFF: Duration = Duration::from_secs(30);
/// Shortest back-off after a refusal.
pub const MINIMUM_BACKOFF: Duration = Duration::from_millis(50);

/// What a root attaches to every forwarded answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RootReport {
    /// Queries per second it admitted recently.
    pub admitted_rate: f64,
    /// Queries per second it may admit now.
    pub usable_rate: f64,
}

impl RootReport {
    /// Queries per second it could still take.
    pub fn room(&self) -> f64 {
        (self.usable_rate - self.admitted_rate).max(0.0)
    }
}

/// What is known about one root.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RootState {
    report: Option<(Moment, RootReport)>,
    backoff_until: Option<Moment>,
}

impl RootState {
    /// Room last reported; none without a fresh report.
    pub fn reported_room(&self, now: Moment) -> Option<f64> {
        let (at, report) = self.report?;
        let is_fresh = now.since(at) < REPORT_LIFETIME;
        is_fresh.then(|| report.room())
    }

    /// Whether a query may be sent there.
    pub fn has_room(&self, now: Moment) -> bool {
        let backs_off = self.backoff_until.is_some_and(|until| now < until);
        !backs_off && self.reported_room(now) != Some(0.0)
    }

    /// When room may be found again, if there is none now.
    fn room_expected_at(&self, now: Moment) -> Moment {
        let report_lapses = match self.report {
            Some((at, report)) if report.room() <= 0.0 => at + REPORT_LIFETIME,
            _ => now,
        };
        report_lapses.max(self.backoff_until.unwrap_or(now))
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

    /// When room may be found again; none without any reachable root.
    pub fn room_expected_at(&self, now: Moment) -> Option<Moment> {
        let expected = self.roots.values().map(|root| root.room_expected_at(now));
        expected.min()
    }
}

/// What is known about all places of one service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServicePlaces {
    places: BTreeMap<PlaceName, PlaceState>,
}

impl ServicePlaces {
    /// Sets the reachable roots of a place, usually its serving set without members that are
    /// suspected; what is known about those that stay is kept.
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

    /// Notes a report. A root that is not in the serving set is ignored.
    pub fn on_report(&mut self, now: Moment, place: &PlaceName, root: NodeId, report: RootReport) {
        if let Some(state) = self.root_mut(place, root) {
            state.report = Some((now, report));
        }
    }

    /// Notes that a root refused for lack of room and when it wants to be asked again.
    pub fn on_refusal(
        &mut self,
        now: Moment,
        place: &PlaceName,
        root: NodeId,
        retry_after: Duration,
    ) {
        if let Some(state) = self.root_mut(place, root) {
            let backoff = retry_after.clamp(MINIMUM_BACKOFF, MAXIMUM_BACKOFF);
            state.backoff_until = Some(now + backoff);
        }
    }

    /// Notes that a root could not be reached; the same back-off as a refusal.
    pub fn on_unreachable(&mut self, now: Moment, place: &PlaceName, root: NodeId) {
        self.on_refusal(now, place, root, MINIMUM_BACKOFF);
    }

    /// What is known about a place; none without any reachable root.
    pub fn place(&self, place: &PlaceName) -> Option<&PlaceState> {
        self.places.get(place)
    }

    fn root_mut(&mut self, place: &PlaceName, root: NodeId) -> Option<&mut RootState> {
        self.places.get_mut(place)?.roots.get_mut(&root)
    }
}
