//! Reachability of the other places.
//!
//! Members are declared failed only by members of their own place. To this daemon another place is
//! reachable or not as a whole, so a network partition between regions changes no member's state
//! and causes no burst of updates when it heals.

use super::settings::MembershipSettings;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, PlaceName};

/// One other place.
#[derive(Debug)]
pub(super) struct RemotePlace {
    failures: u32,
    reachable: bool,
    last_answer: Moment,
    backoff: Duration,
    next_probe: Option<Moment>,
}

/// All other places that have, or had, members.
#[derive(Debug, Default)]
pub(super) struct RemotePlaces {
    places: BTreeMap<PlaceName, RemotePlace>,
}

impl RemotePlaces {
    /// Starts to monitor a place; false if it is monitored already.
    pub(super) fn add(&mut self, now: Moment, place: &PlaceName) -> bool {
        if self.places.contains_key(place) {
            return false;
        }
        let state = RemotePlace {
            failures: 0,
            reachable: true,
            last_answer: now,
            backoff: Duration::ZERO,
            next_probe: None,
        };
        self.places.insert(place.clone(), state);
        true
    }

    pub(super) fn remove(&mut self, place: &PlaceName) {
        self.places.remove(place);
    }

    /// Schedules a probe; false if one is already scheduled for no later than `due`.
    pub(super) fn schedule_probe(&mut self, place: &PlaceName, due: Moment) -> bool {
        let Some(state) = self.places.get_mut(place) else {
            return false;
        };
        let is_earlier = state.next_probe.is_none_or(|scheduled| due < scheduled);
        if is_earlier {
            state.next_probe = Some(due);
        }
        is_earlier
    }

    /// Whether the scheduled probe is due; if so, clears it.
    pub(super) fn take_due_probe(&mut self, now: Moment, place: &PlaceName) -> bool {
        let Some(state) = self.places.get_mut(place) else {
            return false;
        };
        let due = state.next_probe.is_some_and(|scheduled| scheduled <= now);
        if due {
            state.next_probe = None;
        }
        due
    }

    pub(super) fn is_reachable(&self, place: &PlaceName) -> bool {
        self.places.get(place).is_none_or(|state| state.reachable)
    }

    /// Records an answer; true if the place becomes reachable by it.
    pub(super) fn record_answer(&mut self, now: Moment, place: &PlaceName) -> bool {
        let Some(state) = self.places.get_mut(place) else {
            return false;
        };
        state.failures = 0;
        state.last_answer = now;
        state.backoff = Duration::ZERO;
        !std::mem::replace(&mut state.reachable, true)
    }

    /// Records a missing answer; true if the place becomes unreachable by it.
    pub(super) fn record_failure(
        &mut self,
        place: &PlaceName,
        settings: &MembershipSettings,
    ) -> bool {
        let Some(state) = self.places.get_mut(place) else {
            return false;
        };
        state.failures = state.failures.saturating_add(1);
        if state.failures < settings.remote_failures {
            return false;
        }
        let doubled = (state.backoff * 2).max(settings.probe_period);
        state.backoff = doubled.min(settings.unreachable_probe_limit);
        std::mem::replace(&mut state.reachable, false)
    }

    /// Time until the next probe of a place.
    pub(super) fn probe_delay(&self, place: &PlaceName, settings: &MembershipSettings) -> Duration {
        match self.places.get(place) {
            Some(state) if !state.reachable => state.backoff,
            Some(state) if state.failures > 0 => settings.probe_period,
            _ => settings.remote_probe_period,
        }
    }

    /// Whether a place has been unreachable for so long that its members are to be removed.
    pub(super) fn is_expired(
        &self,
        now: Moment,
        place: &PlaceName,
        settings: &MembershipSettings,
    ) -> bool {
        self.places.get(place).is_some_and(|state| {
            !state.reachable && now.since(state.last_answer) > settings.unreachable_retention
        })
    }
}
