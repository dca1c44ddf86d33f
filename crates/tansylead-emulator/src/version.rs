//! Software versions of leafs and their defects.

use rand::RngExt;
use std::time::{Duration, Instant};

/// Version of the leafs that a deployment starts with.
pub const FIRST_VERSION: &str = "v1";

/// Defect of all leafs of a version.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum VersionDefect {
    /// No defect.
    #[default]
    None,
    /// They answer 500, with this probability.
    Fails(f64),
    /// They answer 500 with this probability, once this time has passed.
    FailsLater(Duration, f64),
    /// A leaf that has got more than this many requests within a second answers 500, with this probability.
    FailsUnderLoad(usize, f64),
    /// They answer 500 to requests whose path has this prefix, with this probability.
    FailsOnPath(String, f64),
    /// Their processing time is multiplied by this factor.
    Slow(f64),
}

/// A version of the leafs of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct LeafVersion {
    /// Name.
    pub name: String,
    /// Defect.
    pub defect: VersionDefect,
    /// When its first leafs started.
    pub started: Instant,
}

/// Effect of a version on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionEffect {
    /// Whether the answer is a failure.
    pub fails: bool,
    /// Factor on the processing time.
    pub latency_factor: f64,
}

impl VersionEffect {
    /// Whether the answer is worse than that of a good version.
    pub fn is_bad(self) -> bool {
        self.fails || self.latency_factor > 1.0
    }
}

impl LeafVersion {
    /// A version that starts now.
    pub fn new(name: &str, defect: VersionDefect) -> Self {
        Self {
            name: name.to_owned(),
            defect,
            started: Instant::now(),
        }
    }

    /// The version that a deployment starts with.
    pub fn first() -> Self {
        Self::new(FIRST_VERSION, VersionDefect::None)
    }

    /// Whether it has a defect.
    pub fn is_bad(&self) -> bool {
        self.defect != VersionDefect::None
    }

    /// Its effect on a request of this path at a leaf that has got `recent_requests` requests within a second.
    pub fn effect(&self, path: &str, recent_requests: usize) -> VersionEffect {
        let share = match &self.defect {
            VersionDefect::None | VersionDefect::Slow(_) => 0.0,
            VersionDefect::Fails(share) => *share,
            VersionDefect::FailsLater(after, share) if self.started.elapsed() > *after => *share,
            VersionDefect::FailsUnderLoad(limit, share) if recent_requests > *limit => *share,
            VersionDefect::FailsOnPath(prefix, share) if path.starts_with(prefix) => *share,
            VersionDefect::FailsLater(..)
            | VersionDefect::FailsUnderLoad(..)
            | VersionDefect::FailsOnPath(..) => 0.0,
        };
        let latency_factor = match self.defect {
            VersionDefect::Slow(factor) => factor,
            _ => 1.0,
        };
        VersionEffect {
            fails: rand::rng().random_bool(share.clamp(0.0, 1.0)),
            latency_factor,
        }
    }
}
