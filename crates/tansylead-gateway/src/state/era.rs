//! Notices that the source has come back from an older copy of itself: what this daemon's word comes from is a
//! new history.

use super::Gateway;
use tansylead_route::Era;

impl Gateway {
    /// The newest history of the source that this daemon has heard of; none before the first word.
    pub fn source_era(&self) -> Option<Era> {
        self.source_era.get()
    }

    /// Whether a word is from before the source came back from a copy: it arrives late, and says nothing of now.
    pub fn is_from_earlier_era(&self, era: Era) -> bool {
        self.source_era().is_some_and(|known| era < known)
    }

    /// Notes which history a word is from. When a new one begins, what the daemons themselves had written in the
    /// lost seconds is brought to the source again.
    pub(super) fn note_era(&self, era: Era) {
        let known = self.source_era.replace(self.source_era().max(Some(era)));
        let Some(known) = known.filter(|known| *known < era) else {
            return;
        };
        self.metrics.on_source_restored();
        let quarantined = self.quarantine.rewrite_to_source();
        log::warn!(era_before = known.0, era = era.0, quarantined = quarantined; "source came back from an older copy; what it lost is written again");
    }
}
