//! Reports that daemons of a region exchange about leafs that do not answer or are slow.
//!
//! A leaf that pauses answers no daemon. The first daemon whose request is overdue tells the others, so
//! that their new requests go elsewhere at once instead of each daemon detecting the pause itself; when
//! its request is answered it reports that too. A report is only a hint: a daemon's own observations
//! override it, and it expires soon, so that a lost, late or wrong one does little harm.

use crate::leaf::LeafRun;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_types::Moment;

/// A report of silence expires after this time unless it is repeated. Longer than ordinary pauses,
/// shorter than the time after which the entry of a dead leaf expires.
const LIFETIME: Duration = Duration::from_millis(500);

/// One report about a leaf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafReport {
    /// The leaf has answered nothing.
    Silent {
        /// The run of the leaf.
        leaf: LeafRun,
        /// Duration of the silence when the report was sent.
        for_millis: u32,
    },
    /// The leaf answers again.
    Answering {
        /// The run of the leaf.
        leaf: LeafRun,
    },
    /// The leaf is slower than others.
    Slow {
        /// The run of the leaf.
        leaf: LeafRun,
        /// Latency in percent of the typical one: 100 is average.
        percent: u32,
    },
}

impl LeafReport {
    /// The run of the leaf that the report is about.
    pub fn leaf(&self) -> &LeafRun {
        match self {
            Self::Silent { leaf, .. } | Self::Answering { leaf } | Self::Slow { leaf, .. } => leaf,
        }
    }
}

/// Reports of silence about one leaf, received from other daemons and sent to them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedSilence {
    /// Until when the leaf counts as silent because of another daemon's report.
    until: Moment,
    /// This daemon has reported the silence, and has not yet reported that the leaf answers.
    has_reported: bool,
}

impl ReportedSilence {
    /// Whether an unexpired report of another daemon says that the leaf is silent.
    pub fn is_silent(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Handles a report that the leaf has been silent since `since`. It is ignored if the leaf has
    /// answered this daemon later, at `answered_at`.
    pub fn on_silent(&mut self, now: Moment, since: Moment, answered_at: Moment) {
        if answered_at <= since {
            self.until = now + LIFETIME;
        }
    }

    /// Records that this daemon has found the leaf silent; its circuit breaker decides how it uses the
    /// leaf itself. Returns whether to report it: not if another daemon has just done so.
    pub fn on_found_silent(&mut self, now: Moment) -> bool {
        let is_unreported = !self.is_silent(now);
        self.has_reported |= is_unreported;
        is_unreported
    }

    /// Handles a report that the leaf answers again.
    pub fn on_answering(&mut self) {
        self.until = Moment::default();
    }

    /// Records that the leaf has answered this daemon. Returns whether to report it: only if this
    /// daemon had reported the silence.
    pub fn on_answer(&mut self) -> bool {
        let had_reported = self.has_reported;
        *self = Self::default();
        had_reported
    }
}
