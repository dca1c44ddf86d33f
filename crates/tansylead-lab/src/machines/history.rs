//! The machine list over time, so that an older one can be shown.

use std::time::Duration;
use tansylead_types::Moment;
use tansylead_types::store::MachineList;

/// The list and the moments at which it changed. Moments are passed in and never go back.
#[derive(Debug, Default)]
pub struct MachineHistory {
    changes: Vec<(Moment, MachineList)>,
}

impl MachineHistory {
    /// Replaces the list from now on.
    pub fn set(&mut self, now: Moment, list: MachineList) {
        self.changes.push((now, list));
    }

    /// The list as it was `lag` ago; the first one if there is none as old as that.
    pub fn seen(&self, now: Moment, lag: Duration) -> MachineList {
        let oldest_shown = now - lag;
        self.changes
            .iter()
            .rev()
            .find(|(at, _)| *at <= oldest_shown)
            .or_else(|| self.changes.first())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
