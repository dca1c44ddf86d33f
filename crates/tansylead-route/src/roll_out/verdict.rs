//! Input and output of a judge's evaluation.

use super::grant::Stage;
use super::totals::Totals;
use tansylead_types::NodeId;

/// What the judge knows apart from the reports.
#[derive(Debug, Clone, Copy)]
pub struct TrialContext<'a> {
    /// Daemons that are running and reachable, including this one.
    pub members: &'a [NodeId],
    /// Rank of this judge among those that the members choose for the service; 0 is first.
    pub rank: usize,
    /// Whether the source has answered this daemon recently, so that a conclusion can be written.
    pub is_source_fresh: bool,
    /// Whether the version under trial is the only one that runs.
    pub is_alone: bool,
}

/// How a roll-out ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The target version was accepted: all requests go to it.
    Complete,
    /// The target version was rejected: it gets no more requests.
    RollBack,
}

/// Reason for a conclusion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConclusionReason {
    /// The answers of the target version are as good as those of the old leafs.
    AsGood,
    /// Too many answers of the target version are bad.
    Failing,
    /// Too many answers of the target version are late.
    Slow,
    /// The target version gave too few answers to judge it.
    NoEvidence,
    /// The bound on sends does not allow all requests to be moved in time.
    NoRoom,
    /// Another judge reached this conclusion and seems unable to write it.
    TakenOver,
}

impl ConclusionReason {
    /// Name in logs and metrics.
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

/// Result of a judge's evaluation of the trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialVerdict {
    /// Stage for the daemons that follow this judge.
    pub stage: Stage,
    /// Conclusion to write to the source now, if any.
    pub write: Option<(Conclusion, ConclusionReason)>,
}

/// What a shift waits for before the target version can be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftWait {
    /// Its shortest time.
    MinimumTime,
    /// Reports of all daemons that they have shifted.
    Reports,
    /// The end of attempts at old leafs.
    OldAttempts,
    /// More answers under load.
    Answers,
    /// Answers that dispel a doubt about the target version.
    Doubt,
}

impl ShiftWait {
    /// Name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::MinimumTime => "minimum_time",
            Self::Reports => "reports",
            Self::OldAttempts => "old_attempts",
            Self::Answers => "answers",
            Self::Doubt => "doubt",
        }
    }
}

/// Counts that a conclusion is based on.
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
    /// Attempts in progress at old leafs.
    pub running_on_old: u64,
}

impl TrialCounts {
    /// Sums the counts over all routes.
    pub(crate) fn of(totals: &Totals) -> Self {
        let mut counts = Self {
            requests: totals.requests,
            new_sends: totals.new_sends,
            running_on_old: totals.running_on_old,
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
