//! Checks that requests run only in the home regions of their routes, and in no evacuated zone.

use crate::deployment::region_of;
use crate::oracle::Run;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the acknowledged order from which the leafs of an evacuated zone must get nothing: the
/// daemons' default setting, with slack for a busy machine.
const EVACUATION_LIMIT: Duration = Duration::from_millis(3_500);

/// Evacuated zones, and since when.
#[derive(Debug, Default)]
pub(crate) struct PlaceRules {
    evacuated: HashMap<String, Instant>,
}

impl PlaceRules {
    /// Records an acknowledged order to evacuate a zone.
    pub(crate) fn record_evacuation(&mut self, zone: &str) {
        self.evacuated.insert(zone.to_owned(), Instant::now());
    }

    /// Records that an order is withdrawn.
    pub(crate) fn record_evacuation_end(&mut self, zone: &str) {
        self.evacuated.remove(zone);
    }

    /// Returns the violation of a run that has just begun, if any. `homes` are the regions that its route is restricted
    /// to.
    pub(crate) fn check(&self, run: &Run, homes: &[String]) -> Option<String> {
        let (leaf, zone, request) = (&run.leaf, &run.zone, &run.request);
        if !homes.is_empty() && !homes.contains(&region_of(zone)) {
            return Some(format!("HOME: {leaf} in {zone} ran {request}"));
        }
        let since = self.evacuated.get(zone)?;
        let is_late = run.at.saturating_duration_since(*since) > EVACUATION_LIMIT;
        is_late.then(|| format!("EVAC: {leaf} in {zone} ran {request}"))
    }
}
