//! Detects that the source was restored from an older copy: its data then belongs to a new era (history).

use super::Gateway;
use tansylead_route::Era;

impl Gateway {
    /// The newest era of the source that this daemon knows; none before the first data.
    pub fn source_era(&self) -> Option<Era> {
        self.source_era.get()
    }

    /// Whether data is from before the source was restored: it arrives late and is no longer valid.
    pub fn is_from_earlier_era(&self, era: Era) -> bool {
        self.source_era().is_some_and(|known| era < known)
    }

    /// Records the era of received data. When a new era begins, what the daemons had written to the source in the
    /// lost seconds is written again.
    pub(super) fn record_era(&self, era: Era) {
        let known = self.source_era.replace(self.source_era().max(Some(era)));
        let Some(known) = known.filter(|known| *known < era) else {
            return;
        };
        self.metrics.on_source_restored();
        let quarantined = self.quarantine.rewrite_to_source();
        log::warn!(era_before = known.0, era = era.0, quarantined = quarantined; "source came back from an older copy; what it lost is written again");
    }
}
