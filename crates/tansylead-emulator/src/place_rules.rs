//! Where requests may run: in the home regions of their routes, and in no zone that is being emptied.

use crate::deployment::region_of;
use crate::oracle::Run;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Leafs of a zone that is being emptied get nothing this long after the order was acknowledged: the
/// daemons' default setting, with room for a busy machine.
const EVACUATION_LIMIT: Duration = Duration::from_millis(3_500);

/// The zones that are being emptied, and since when.
#[derive(Debug, Default)]
pub(crate) struct PlaceRules {
    evacuated: HashMap<String, Instant>,
}

impl PlaceRules {
    /// Notes an order that was acknowledged.
    pub(crate) fn evacuate(&mut self, zone: &str) {
        self.evacuated.insert(zone.to_owned(), Instant::now());
    }

    /// Notes that an order is taken back.
    pub(crate) fn end_evacuation(&mut self, zone: &str) {
        self.evacuated.remove(zone);
    }

    /// What a run that has just begun breaks. `homes` are the regions its route is confined to.
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
