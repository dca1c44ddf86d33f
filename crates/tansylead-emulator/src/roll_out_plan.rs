//! A roll-out as the operator orders it, and the defect of its target version.

use crate::version::VersionDefect;
use std::time::Duration;

/// Whether the leafs of the target version start.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum TargetLeafs {
    /// They start.
    #[default]
    Start,
    /// None starts.
    Never,
    /// All of them crash after this time.
    Crash(Duration),
}

/// A roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct RollOutPlan {
    /// Service.
    pub service: String,
    /// Version to roll out.
    pub target: String,
    /// Defect of the version.
    pub defect: VersionDefect,
    /// Whether its leafs start.
    pub leafs: TargetLeafs,
    /// Time within which it should end.
    pub duration: Duration,
}

impl RollOutPlan {
    /// A roll-out of a version without a defect.
    pub fn good(service: &str, target: &str, duration: Duration) -> Self {
        Self {
            service: service.to_owned(),
            target: target.to_owned(),
            defect: VersionDefect::None,
            leafs: TargetLeafs::Start,
            duration,
        }
    }

    /// Whether the version must be rolled back.
    pub fn is_bad(&self) -> bool {
        self.defect != VersionDefect::None || self.leafs != TargetLeafs::Start
    }

    /// Kind of the defect with its parameters, for reports.
    pub fn kind(&self) -> String {
        match self.leafs {
            TargetLeafs::Start if !self.is_bad() => "good".to_owned(),
            TargetLeafs::Start => format!("{:?}", self.defect),
            leafs => format!("leafs: {leafs:?}"),
        }
    }
}
