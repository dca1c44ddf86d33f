//! The zones that the operator is evacuating: their leafs get no new requests.
//!
//! The set is small, so it is always sent whole. Invariant: the revision never decreases, so a set that
//! arrives late never brings back a zone that was removed from the set since.
//!
//! A source that is restored from an older copy may have lost an order. The operator repeats it, and until then
//! the zone stays out of use: that costs little, while sending requests to a zone that is being evacuated costs
//! much.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{Moment, ZoneName};

/// The operator repeats an order that the source has lost within this time.
const REPEAT_TIME: Duration = Duration::from_secs(10);

/// The zones that are being evacuated at one revision of the source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Revision at which the source was read.
    pub at: Revision,
    /// Zones whose leafs get no new requests.
    pub zones: BTreeSet<ZoneName>,
}

impl EvacuatedZones {
    /// Whether leafs of a zone get no new requests.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Applies a set of the same or a later revision. Returns whether the evacuated zones changed.
    pub fn apply(&mut self, newer: Self) -> bool {
        if newer.at < self.at {
            return false;
        }
        let has_changed = newer.zones != self.zones;
        *self = newer;
        has_changed
    }

    /// Whether a replica that holds `held` lacks a change that this set has.
    pub fn is_update_for(&self, held: Option<&Self>) -> bool {
        held.is_none_or(|held| held.at < self.at && held.zones != self.zones)
    }
}

/// The evacuation orders that one daemon follows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationOrders {
    reported: EvacuatedZones,
    /// Zones whose orders the source has lost, and until when the orders still hold.
    retained: BTreeMap<ZoneName, Moment>,
}

impl EvacuationOrders {
    /// The zones that the source reports.
    pub fn reported(&self) -> &EvacuatedZones {
        &self.reported
    }

    /// Zones whose orders the source has lost but that are still followed.
    pub fn retained(&self) -> impl Iterator<Item = &ZoneName> + std::fmt::Debug {
        self.retained.keys()
    }

    /// Whether leafs of a zone get no new requests.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.reported.contains(zone) || self.retained.contains_key(zone)
    }

    /// Applies a set of the same or a later revision. Returns whether the evacuated zones changed.
    pub fn apply(&mut self, now: Moment, newer: EvacuatedZones) -> bool {
        let before = self.all();
        if newer.at.era > self.reported.at.era {
            let until = now + REPEAT_TIME;
            let lost = self.reported.zones.difference(&newer.zones);
            self.retained.extend(lost.map(|zone| (zone.clone(), until)));
        }
        self.reported.apply(newer);
        let reported = &self.reported;
        self.retained
            .retain(|zone, until| now < *until && !reported.contains(zone));
        self.all() != before
    }

    fn all(&self) -> BTreeSet<ZoneName> {
        let retained = self.retained.keys();
        retained.chain(&self.reported.zones).cloned().collect()
    }
}
