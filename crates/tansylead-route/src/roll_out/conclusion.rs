//! The conclusion reached by this judge, or by another judge as first seen in a report. Neither changes afterwards.

use super::grant::Stage;
use super::verdict::{Conclusion, ConclusionReason};
use std::time::Duration;
use tansylead_types::Moment;

/// How long each judge leaves the one ranked before it to write the conclusion. Longer than a write to a slow source
/// takes.
const WRITE_TIME_PER_RANK: Duration = Duration::from_millis(1_500);

/// Another judge's conclusion, as seen in a report.
#[derive(Debug, Clone, Copy)]
struct ReportedConclusion {
    is_complete: bool,
    since: Moment,
}

impl ReportedConclusion {
    /// The conclusion that a reported stage implies, if any.
    fn of(now: Moment, stage: Stage) -> Option<Self> {
        let is_complete = match stage {
            Stage::Commit => true,
            Stage::RollBack => false,
            Stage::Trial | Stage::Shift => return None,
        };
        Some(Self {
            is_complete,
            since: now,
        })
    }

    /// Whether the judges ranked before this one have had time to write the conclusion.
    fn is_due(self, now: Moment, rank: usize) -> bool {
        let wait = WRITE_TIME_PER_RANK.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        now.since(self.since) >= wait
    }

    /// The stage that follows from the conclusion.
    fn stage(self) -> Stage {
        if self.is_complete {
            Stage::Commit
        } else {
            Stage::RollBack
        }
    }

    /// The conclusion to write to the source.
    fn conclusion(self) -> Conclusion {
        if self.is_complete {
            Conclusion::Complete
        } else {
            Conclusion::RollBack
        }
    }
}

/// This judge's conclusion, its own or another judge's, if there is one.
#[derive(Debug, Default)]
pub(crate) struct ConclusionState {
    own: Option<(Conclusion, ConclusionReason)>,
    reported: Option<ReportedConclusion>,
}

impl ConclusionState {
    /// Whether there is no conclusion yet.
    pub(crate) fn is_open(&self) -> bool {
        self.own.is_none() && self.reported.is_none()
    }

    /// Sets this judge's own conclusion.
    pub(crate) fn conclude(&mut self, conclusion: Conclusion, reason: ConclusionReason) {
        self.own = Some((conclusion, reason));
    }

    /// Adopts at once the conclusion that a reported stage implies, as a daemon that acts on one conclusion must not be
    /// granted the opposite. Returns the new stage if this changed anything.
    pub(crate) fn adopt_reported(&mut self, now: Moment, stage: Option<Stage>) -> Option<Stage> {
        if !self.is_open() {
            return None;
        }
        self.reported = stage.and_then(|stage| ReportedConclusion::of(now, stage));
        self.reported.map(ReportedConclusion::stage)
    }

    /// The conclusion that a judge of this rank has to write now, if any.
    pub(crate) fn conclusion_to_write(
        &self,
        now: Moment,
        rank: usize,
    ) -> Option<(Conclusion, ConclusionReason)> {
        let due = self.reported.filter(|reported| reported.is_due(now, rank));
        let taken_over = due.map(|reported| (reported.conclusion(), ConclusionReason::TakenOver));
        self.own.or(taken_over)
    }
}
