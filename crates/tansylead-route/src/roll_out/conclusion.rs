//! What this judge has concluded, or another one, as the first report of it tells. Neither changes.

use super::grant::Stage;
use super::verdict::{Conclusion, ConclusionReason};
use std::time::Duration;
use tansylead_types::Moment;

/// Time that each judge gives the one ranked before it to write. More than a write takes on a slow source.
const TIME_TO_WRITE: Duration = Duration::from_millis(1_500);

/// A conclusion heard of.
#[derive(Debug, Clone, Copy)]
struct HeardConclusion {
    is_complete: bool,
    since: Moment,
}

impl HeardConclusion {
    /// The conclusion that a stage tells of, if any.
    fn of(now: Moment, stage: Stage) -> Option<Self> {
        let is_complete = match stage {
            Stage::Commit => true,
            Stage::Back => false,
            Stage::Trial | Stage::Shift => return None,
        };
        Some(Self {
            is_complete,
            since: now,
        })
    }

    /// Whether the judges ranked before have had time to write it.
    fn is_due(self, now: Moment, rank: usize) -> bool {
        let wait = TIME_TO_WRITE.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        now.since(self.since) >= wait
    }

    /// What daemons do.
    fn stage(self) -> Stage {
        if self.is_complete {
            Stage::Commit
        } else {
            Stage::Back
        }
    }

    /// What is to be written.
    fn conclusion(self) -> Conclusion {
        if self.is_complete {
            Conclusion::Complete
        } else {
            Conclusion::RollBack
        }
    }
}

/// The conclusion that stands at this judge, if any.
#[derive(Debug, Default)]
pub(crate) struct Concluded {
    own: Option<(Conclusion, ConclusionReason)>,
    heard: Option<HeardConclusion>,
}

impl Concluded {
    /// Whether there is none yet.
    pub(crate) fn is_open(&self) -> bool {
        self.own.is_none() && self.heard.is_none()
    }

    /// This judge concludes.
    pub(crate) fn conclude(&mut self, conclusion: Conclusion, reason: ConclusionReason) {
        self.own = Some((conclusion, reason));
    }

    /// Adopts what a reported stage tells of, at once: a daemon that was told so must not be told
    /// otherwise. Returns the stage from now on, if that is news.
    pub(crate) fn take_over(&mut self, now: Moment, stage: Option<Stage>) -> Option<Stage> {
        if !self.is_open() {
            return None;
        }
        self.heard = stage.and_then(|stage| HeardConclusion::of(now, stage));
        self.heard.map(HeardConclusion::stage)
    }

    /// What a judge of this rank is to write now.
    pub(crate) fn write(&self, now: Moment, rank: usize) -> Option<(Conclusion, ConclusionReason)> {
        let due = self.heard.filter(|heard| heard.is_due(now, rank));
        let taken_over = due.map(|heard| (heard.conclusion(), ConclusionReason::TakenOver));
        self.own.or(taken_over)
    }
}
