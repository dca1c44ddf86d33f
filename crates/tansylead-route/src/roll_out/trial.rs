//! One roll-out as its judge sees it: reports of all daemons in, stage and grants out.

use super::evidence::RollOutEvidence;
use super::grant::{Grant, Stage};
use super::order::{OrderId, RollOut};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_types::{Moment, NodeId, ServiceName};

/// Bounds on the use of a version under trial, of all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBounds {
    /// Sends to the target version, as a share of the requests to the service from the order to its deadline.
    pub share: f64,
    /// Sends beyond that share.
    pub slack: f64,
}

/// What one daemon tells the judges of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RollOutReport {
    /// Service.
    pub service: ServiceName,
    /// Order.
    pub order: OrderId,
    /// The daemon.
    pub reporter: NodeId,
    /// Its life: a restart begins a new one, with totals that begin anew. Later lives are greater.
    pub life: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// How long the daemon has known of the order, in milliseconds.
    pub known_for_millis: u32,
    /// The judge whose grants it follows.
    pub follows: Option<NodeId>,
    /// The stage that it was granted last.
    pub stage: Option<Stage>,
    /// What it has seen.
    pub evidence: RollOutEvidence,
}

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

/// The trial of one order at one judge.
#[derive(Debug)]
pub struct RollOutTrial {
    roll_out: RollOut,
    bounds: ExposureBounds,
    began: Moment,
}

impl RollOutTrial {
    /// A trial of which nothing is known yet. `judge` is this daemon.
    pub fn new(roll_out: RollOut, bounds: ExposureBounds, judge: NodeId, now: Moment) -> Self {
        let _ = judge;
        Self {
            roll_out,
            bounds,
            began: now,
        }
    }

    /// The order under trial.
    pub fn order(&self) -> OrderId {
        self.roll_out.order
    }

    /// Takes in a report. One of an earlier life, or older than the last one, changes nothing.
    pub fn on_report(&mut self, now: Moment, report: &RollOutReport) {
        let _ = (now, report);
    }

    /// Looks at the trial; called a few times each second.
    pub fn look(&mut self, now: Moment, context: TrialContext<'_>) -> TrialVerdict {
        let _ = (now.since(self.began), context, self.bounds);
        TrialVerdict {
            stage: Stage::Trial,
            write: None,
        }
    }

    /// What a daemon that has reported may send from now on.
    pub fn grant(&mut self, now: Moment, reporter: NodeId) -> Grant {
        let _ = (now, reporter);
        Grant {
            stage: Stage::Trial,
            limit: 0,
            valid: Duration::ZERO,
        }
    }
}
