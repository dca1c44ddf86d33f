//! Software versions of leafs, and what is wrong with them.

use rand::RngExt;
use std::time::{Duration, Instant};

/// Version of the leafs that a deployment starts with.
pub const FIRST_VERSION: &str = "v1";

/// What is wrong with all leafs of a version.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum VersionTrouble {
    /// Nothing.
    #[default]
    None,
    /// They answer 500, with this probability.
    Fails(f64),
    /// The same, but only after this time.
    FailsLater(Duration, f64),
    /// The same, but only a leaf that has got more than this many requests within a second.
    FailsUnderLoad(usize, f64),
    /// The same, but only for requests whose path begins so.
    FailsOnPath(String, f64),
    /// They work this many times as long.
    Slow(f64),
}

/// A version of the leafs of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct LeafVersion {
    /// Name.
    pub name: String,
    /// What is wrong with it.
    pub trouble: VersionTrouble,
    /// When its first leafs started.
    pub since: Instant,
}

/// What a version does to one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionEffect {
    /// The answer is a failure.
    pub fails: bool,
    /// The work takes this many times as long.
    pub slow_by: f64,
}

impl VersionEffect {
    /// Whether the answer is worse than that of a good version.
    pub fn is_bad(self) -> bool {
        self.fails || self.slow_by > 1.0
    }
}

impl LeafVersion {
    /// A version that starts now.
    pub fn new(name: &str, trouble: VersionTrouble) -> Self {
        Self {
            name: name.to_owned(),
            trouble,
            since: Instant::now(),
        }
    }

    /// The version that a deployment starts with.
    pub fn first() -> Self {
        Self::new(FIRST_VERSION, VersionTrouble::None)
    }

    /// Whether anything is wrong with it.
    pub fn is_bad(&self) -> bool {
        self.trouble != VersionTrouble::None
    }

    /// What it does to a request of this path, at a leaf that has got `recent` requests within a second.
    pub fn effect(&self, path: &str, recent: usize) -> VersionEffect {
        let share = match &self.trouble {
            VersionTrouble::None | VersionTrouble::Slow(_) => 0.0,
            VersionTrouble::Fails(share) => *share,
            VersionTrouble::FailsLater(after, share) if self.since.elapsed() > *after => *share,
            VersionTrouble::FailsUnderLoad(limit, share) if recent > *limit => *share,
            VersionTrouble::FailsOnPath(prefix, share) if path.starts_with(prefix) => *share,
            VersionTrouble::FailsLater(..)
            | VersionTrouble::FailsUnderLoad(..)
            | VersionTrouble::FailsOnPath(..) => 0.0,
        };
        let slow_by = match self.trouble {
            VersionTrouble::Slow(factor) => factor,
            _ => 1.0,
        };
        VersionEffect {
            fails: rand::rng().random_bool(share.clamp(0.0, 1.0)),
            slow_by,
        }
    }
}
