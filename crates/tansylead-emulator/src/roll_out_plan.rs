//! A roll-out as the operator orders it, and what is wrong with its target version.

use crate::version::VersionTrouble;
use std::time::Duration;

/// Whether the leafs of the target version come.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum TargetLeafs {
    /// They do.
    #[default]
    Come,
    /// None comes.
    Never,
    /// All of them crash after this time.
    Crash(Duration),
}

/// A roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct RollOutPlan {
    /// Service.
    pub service: String,
    /// Version that it moves to.
    pub target: String,
    /// What is wrong with the version.
    pub trouble: VersionTrouble,
    /// Whether its leafs come.
    pub leafs: TargetLeafs,
    /// Time until it should have ended.
    pub duration: Duration,
}

impl RollOutPlan {
    /// A good version.
    pub fn good(service: &str, target: &str, duration: Duration) -> Self {
        Self {
            service: service.to_owned(),
            target: target.to_owned(),
            trouble: VersionTrouble::None,
            leafs: TargetLeafs::Come,
            duration,
        }
    }

    /// Whether the version must not be taken.
    pub fn is_bad(&self) -> bool {
        self.trouble != VersionTrouble::None || self.leafs != TargetLeafs::Come
    }

    /// What is wrong, in a word, with its figures.
    pub fn kind(&self) -> String {
        match self.leafs {
            TargetLeafs::Come if !self.is_bad() => "good".to_owned(),
            TargetLeafs::Come => format!("{:?}", self.trouble),
            leafs => format!("leafs: {leafs:?}"),
        }
    }
}
