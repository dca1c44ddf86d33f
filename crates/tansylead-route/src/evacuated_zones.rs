//! The zones that the operator is emptying: their leafs get nothing new.
//!
//! The set is small, so it is always passed on whole. Invariant: the revision never goes down, so a
//! set that arrives late never brings back a zone that was taken out of the set since.
//!
//! A source that comes back from an older copy may have lost an order. The operator gives it again, and until
//! then its zone stays out of use: that costs little, and to fill a zone again that is being emptied costs much.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{Moment, ZoneName};

/// An order that the source has lost is given again within this time.
const GIVEN_AGAIN: Duration = Duration::from_secs(10);

/// The zones that are being emptied, as they were at one revision of the source.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Revision at which the source was read.
    pub at: Revision,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

impl EvacuatedZones {
    /// Whether leafs of a zone get nothing new.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Takes in a set of the same or a later revision. Returns whether other zones than before are
    /// being emptied.
    pub fn apply(&mut self, newer: Self) -> bool {
        if newer.at < self.at {
            return false;
        }
        let has_changed = newer.zones != self.zones;
        *self = newer;
        has_changed
    }

    /// Whether a replica that holds `held` lacks a change that this set has.
    pub fn is_news_for(&self, held: Option<&Self>) -> bool {
        held.is_none_or(|held| held.at < self.at && held.zones != self.zones)
    }
}

/// The orders as one daemon acts on them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationOrders {
    told: EvacuatedZones,
    /// Zones whose orders the source has lost, and until when those are waited for.
    kept: BTreeMap<ZoneName, Moment>,
}

impl EvacuationOrders {
    /// The orders as the source tells them.
    pub fn told(&self) -> &EvacuatedZones {
        &self.told
    }

    /// Zones whose orders the source has lost.
    pub fn kept(&self) -> impl Iterator<Item = &ZoneName> + std::fmt::Debug {
        self.kept.keys()
    }

    /// Whether leafs of a zone get nothing new.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.told.contains(zone) || self.kept.contains_key(zone)
    }

    /// Takes in a set of the same or a later revision. Returns whether other zones than before are being
    /// emptied.
    pub fn apply(&mut self, now: Moment, newer: EvacuatedZones) -> bool {
        let before = self.all();
        if newer.at.era > self.told.at.era {
            let until = now + GIVEN_AGAIN;
            let lost = self.told.zones.difference(&newer.zones);
            self.kept.extend(lost.map(|zone| (zone.clone(), until)));
        }
        self.told.apply(newer);
        let told = &self.told;
        self.kept
            .retain(|zone, until| now < *until && !told.contains(zone));
        self.all() != before
    }

    fn all(&self) -> BTreeSet<ZoneName> {
        let kept = self.kept.keys();
        kept.chain(&self.told.zones).cloned().collect()
    }
}
