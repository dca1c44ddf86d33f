//! How a judge comes to a conclusion, and which.

use super::grant::Stage;
use super::totals::Totals;
use tansylead_types::NodeId;

/// What the judge knows beside the reports.
#[derive(Debug, Clone, Copy)]
pub struct TrialContext<'a> {
    /// Daemons that run and can be reached, this one included.
    pub members: &'a [NodeId],
    /// Place of this judge among those that the members rank for the service; 0 is first.
    pub rank: usize,
    /// Whether the source has answered this daemon lately, so that a conclusion can be written.
    pub is_source_fresh: bool,
}

/// How a roll-out ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// All requests go to the target version.
    Complete,
    /// The target version gets nothing any more.
    RollBack,
}

/// Why a judge concluded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConclusionReason {
    /// Answers of the target version are as good as the old ones.
    AsGood,
    /// Too many of its answers are bad.
    Failing,
    /// Its answers come too slowly.
    Slow,
    /// No leaf of the target version answered enough to judge it.
    NoEvidence,
    /// The bound on sends leaves no room to move all requests over in time.
    NoRoom,
    /// Another judge concluded so and seems unable to write it.
    TakenOver,
}

impl ConclusionReason {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::AsGood => "as_good",
            Self::Failing => "failing",
            Self::Slow => "slow",
            Self::NoEvidence => "no_evidence",
            Self::NoRoom => "no_room",
            Self::TakenOver => "taken_over",
        }
    }
}

/// What the judge wants after a look at the trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialVerdict {
    /// What daemons that follow this judge do.
    pub stage: Stage,
    /// What this judge is to write to the source now, if anything.
    pub write: Option<(Conclusion, ConclusionReason)>,
}

/// Counts behind a judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrialCounts {
    /// Requests to the service.
    pub requests: u64,
    /// Sends to the target version.
    pub new_sends: u64,
    /// Good answers of old leafs.
    pub old_good: u64,
    /// Bad answers of old leafs.
    pub old_failed: u64,
    /// Good answers of the target version.
    pub new_good: u64,
    /// Bad answers of the target version.
    pub new_failed: u64,
}

impl TrialCounts {
    /// Over all routes.
    pub(crate) fn of(totals: &Totals) -> Self {
        let mut counts = Self {
            requests: totals.requests,
            new_sends: totals.new_sends,
            ..Self::default()
        };
        for route in totals.routes.values() {
            counts.old_good += route.old.good;
            counts.old_failed += route.old.failed;
            counts.new_good += route.new.good;
            counts.new_failed += route.new.failed;
        }
        counts
    }
}
