//! What another judge has concluded, as the first report of it tells.

use super::grant::Stage;
use super::verdict::Conclusion;
use std::time::Duration;
use tansylead_types::Moment;

/// Time that each judge gives the one ranked before it to write. More than a write takes on a slow source.
const TIME_TO_WRITE: Duration = Duration::from_millis(1_500);

/// A conclusion heard of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeardConclusion {
    is_complete: bool,
    since: Moment,
}

impl HeardConclusion {
    /// The conclusion that a stage tells of, if any.
    pub(crate) fn of(now: Moment, stage: Stage) -> Option<Self> {
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
    pub(crate) fn is_due(self, now: Moment, rank: usize) -> bool {
        let wait = TIME_TO_WRITE.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        now.since(self.since) >= wait
    }

    /// What daemons do.
    pub(crate) fn stage(self) -> Stage {
        if self.is_complete {
            Stage::Commit
        } else {
            Stage::Back
        }
    }

    /// What is to be written.
    pub(crate) fn conclusion(self) -> Conclusion {
        if self.is_complete {
            Conclusion::Complete
        } else {
            Conclusion::RollBack
        }
    }
}
