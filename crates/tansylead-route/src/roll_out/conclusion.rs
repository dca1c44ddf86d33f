//! What another judge has concluded, as the stages in reports tell.

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
    /// The conclusion that these stages tell of, if any. If they tell of both, what more of them say.
    pub(crate) fn among(now: Moment, stages: impl Iterator<Item = Stage>) -> Option<Self> {
        let (mut commits, mut backs) = (0_usize, 0_usize);
        for stage in stages {
            match stage {
                Stage::Commit => commits += 1,
                Stage::Back => backs += 1,
                Stage::Trial | Stage::Shift => {}
            }
        }
        (commits + backs > 0).then_some(Self {
            is_complete: commits > backs,
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
