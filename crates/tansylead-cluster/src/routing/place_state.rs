//! What a frontend knows about the places and roots of one service.
//!
//! Owns the roots that are reachable, the room that each last reported, and back-off after a
//! refusal. Everything here is a hint: limits are enforced by the roots. A root without a fresh
//! report is taken to have room, and a refusal corrects that at the cost of one message.
//!
//! A root that is full has room again at once, as its rate allows, so "no room" is believed only
//! for [`FULL_LIFETIME`]. If frontends stayed away for longer than a root's burst allowance, the
//! root would be idle for the difference and the place would take less than its limit.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId, PlaceName};

/// How long the amount of room that a root reported is believed.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// How long a root is believed to have no room, after a report or a refusal. Together with a round
/// trip between regions it stays below the burst allowance of a root's admission.
pub const FULL_LIFETIME: Duration = Duration::from_millis(50);
/// How long a root that could not be reached is left out, unless membership speaks first.
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

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
    /// Left out until then.
    backoff_until: Option<Moment>,
    /// When the root wants callers to come back, for their answers.
    callers_expected_at: Option<Moment>,
}

impl RootState {
    /// Room last reported; none without a fresh report.
    pub fn reported_room(&self, now: Moment) -> Option<f64> {
        let (at, report) = self.report?;
        let lifetime = match report.room() {
            0.0 => FULL_LIFETIME,
            _ => REPORT_LIFETIME,
        };
        let is_fresh = now.since(at) < lifetime;
        is_fresh.then(|| report.room())
    }

    /// Whether a query may be sent there.
    pub fn has_room(&self, now: Moment) -> bool {
        let backs_off = self.backoff_until.is_some_and(|until| now < until);
        !backs_off && self.reported_room(now) != Some(0.0)
    }

    /// When a caller that is refused now should come back.
    fn callers_expected_at(&self, now: Moment) -> Moment {
        let wanted = self.callers_expected_at.unwrap_or(now);
        wanted.max(self.backoff_until.unwrap_or(now))
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

    /// When callers that are refused now should come back; none without any reachable root.
    pub fn callers_expected_at(&self, now: Moment) -> Option<Moment> {
        let roots = self.roots.values();
        let expected = roots.map(|root| root.callers_expected_at(now));
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

    /// Notes that a root refused for lack of room and when it wants callers to come back. This
    /// frontend itself tries again sooner: see the module.
    pub fn on_refusal(
        &mut self,
        now: Moment,
        place: &PlaceName,
        root: NodeId,
        retry_after: Duration,
    ) {
        if let Some(state) = self.root_mut(place, root) {
            state.backoff_until = Some(now + retry_after.min(FULL_LIFETIME));
            state.callers_expected_at = Some(now + retry_after);
        }
    }

    /// Notes that a root could not be reached.
    pub fn on_unreachable(&mut self, now: Moment, place: &PlaceName, root: NodeId) {
        if let Some(state) = self.root_mut(place, root) {
            state.backoff_until = Some(now + UNREACHABLE_BACKOFF);
        }
    }

    /// What is known about a place; none without any reachable root.
    pub fn place(&self, place: &PlaceName) -> Option<&PlaceState> {
        self.places.get(place)
    }

    fn root_mut(&mut self, place: &PlaceName, root: NodeId) -> Option<&mut RootState> {
        self.places.get_mut(place)?.roots.get_mut(&root)
    }
}
