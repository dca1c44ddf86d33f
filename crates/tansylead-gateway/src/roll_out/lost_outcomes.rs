//! When this daemon writes outcomes again that the source has lost.
//!
//! The judge ranked first may have started since and know of no outcome, or stand still. So the next ranks write it too,
//! each some time later. The writes are conditional, so two of them do no harm.

use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_route::{OrderId, RollOut, RollOutState};
use tansylead_types::{Moment, ServiceName};

/// How long each judge leaves the one ranked before it to write an outcome. Longer than a write to a slow source takes.
const WRITE_TIME_PER_RANK: Duration = Duration::from_millis(1_500);

/// Lost outcomes, with the time at which this daemon noticed each loss.
#[derive(Debug, Default)]
pub(super) struct LostOutcomes {
    noticed: BTreeMap<(ServiceName, OrderId), Moment>,
}

impl LostOutcomes {
    /// The outcomes that this daemon writes now. `lost` are all that are lost, `rank_of` gives its rank among the judges of
    /// a service.
    pub(super) fn due(
        &mut self,
        now: Moment,
        lost: Vec<(RollOut, RollOutState)>,
        mut rank_of: impl FnMut(&ServiceName) -> Option<usize>,
    ) -> Vec<(RollOut, RollOutState)> {
        let key = |order: &RollOut| (order.service.clone(), order.order);
        let noticed: BTreeMap<_, _> = lost
            .iter()
            .map(|(order, _)| (key(order), self.noticed.get(&key(order)).copied()))
            .map(|(key, earlier)| (key, earlier.unwrap_or(now)))
            .collect();
        self.noticed = noticed;
        let is_due = |order: &RollOut, rank: usize| {
            let wait = WRITE_TIME_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX);
            let noticed = self.noticed.get(&key(order)).copied();
            noticed.is_some_and(|noticed| now.since(noticed) >= wait)
        };
        lost.into_iter()
            .filter(|(order, _)| rank_of(&order.service).is_some_and(|rank| is_due(order, rank)))
            .collect()
    }

    /// Whether any outcome is lost, so that it must be checked again whether it is due.
    pub(super) fn is_empty(&self) -> bool {
        self.noticed.is_empty()
    }
}
