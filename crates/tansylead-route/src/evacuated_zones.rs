//! The zones that the operator is emptying: their leafs get nothing new.
//!
//! The set is small, so it is always passed on whole. Invariant: the revision never goes down, so a
//! set that arrives late never brings back a zone that was taken out of the set since.

use crate::directory::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tansylead_types::ZoneName;

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
