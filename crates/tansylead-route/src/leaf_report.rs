//! What daemons of a region tell one another about leafs that fall silent or are slow.
//!
//! A leaf that pauses answers nobody. The first daemon whose request is overdue tells the others, so
//! that their new requests go elsewhere at once instead of finding out one by one; when its request
//! is answered it tells that too. A report is only ever a hint: it loses against what a daemon has
//! seen itself, and it is forgotten soon, so that a lost, late or wrong one does little harm.

use crate::leaf::LeafRun;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_types::Moment;

/// A report of silence is forgotten after this time, unless it is said again: longer than ordinary
/// pauses, shorter than the time in which the entry of a dead leaf lapses.
const LIFETIME: Duration = Duration::from_millis(500);

/// One report about a leaf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafReport {
    /// It has answered nothing.
    Silent {
        /// The run of the leaf.
        leaf: LeafRun,
        /// For how long, when this was said.
        for_millis: u32,
    },
    /// It answers again.
    Answering {
        /// The run of the leaf.
        leaf: LeafRun,
    },
    /// It takes longer than others.
    Slow {
        /// The run of the leaf.
        leaf: LeafRun,
        /// How much longer than typical, in hundredths: 100 is average.
        percent: u32,
    },
}

impl LeafReport {
    /// The run of the leaf that is concerned.
    pub fn leaf(&self) -> &LeafRun {
        match self {
            Self::Silent { leaf, .. } | Self::Answering { leaf } | Self::Slow { leaf, .. } => leaf,
        }
    }
}

/// What is remembered of the reports about one leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedSilence {
    /// Others say that the leaf is silent; it counts as such until then.
    until: Moment,
    /// This daemon has told the others, and has not told them yet that the leaf answers.
    has_told: bool,
}

impl ReportedSilence {
    /// Whether others say that the leaf is silent.
    pub fn is_silent(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Takes in a report that the leaf has been silent since a moment. It counts for nothing if the
    /// leaf has answered this daemon at `answered_at`, which is later.
    pub fn on_silent(&mut self, now: Moment, since: Moment, answered_at: Moment) {
        if answered_at <= since {
            self.until = now + LIFETIME;
        }
    }

    /// Notes that this daemon has found the leaf silent; how it uses the leaf itself is its
    /// breaker's matter. Returns whether the others should be told: not if one of them has just
    /// said so.
    pub fn on_found_silent(&mut self, now: Moment) -> bool {
        let is_news = !self.is_silent(now);
        self.has_told |= is_news;
        is_news
    }

    /// Takes in a report that the leaf answers again.
    pub fn on_answering(&mut self) {
        self.until = Moment::default();
    }

    /// Notes that the leaf has answered this daemon. Returns whether the others should be told:
    /// only if this daemon had told them of the silence.
    pub fn on_answer(&mut self) -> bool {
        let had_told = self.has_told;
        *self = Self::default();
        had_told
    }
}
