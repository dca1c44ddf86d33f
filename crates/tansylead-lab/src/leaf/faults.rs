//! Faults of stand-in leafs, switched over HTTP.

use serde::{Deserialize, Serialize};
use tansylead_types::{LeafId, SnapshotVersion};

/// How a leaf that is about to leave behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainMode {
    /// It is not leaving.
    #[default]
    None,
    /// Answers and health carry the draining mark; new work is still done.
    Marked,
    /// New work is refused as draining.
    Refusing,
}

/// How the health endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthMode {
    /// The truth.
    #[default]
    Truthful,
    /// The truth as it was that many milliseconds ago.
    Lagging {
        /// Age of the report, in milliseconds.
        millis: u64,
    },
    /// Healthy, idle and not draining, whatever the truth is.
    AlwaysHealthy,
    /// Not healthy, whatever the truth is.
    AlwaysUnhealthy,
    /// No answer.
    Hanging,
}

/// Faults of one leaf; a request replaces them all. The default is no fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafFaults {
    /// The leaf is gone: it accepts no connection and drops those it has.
    pub stopped: bool,
    /// Requests start but do not end until this is switched off.
    pub hanging: bool,
    /// Requests take that many times longer.
    pub slowdown_factor: f64,
    /// Share (0 to 1) of requests refused as overloaded.
    pub shed_share: f64,
    /// Share (0 to 1) of requests that run and whose connection is then closed without an answer.
    pub cut_share: f64,
    /// Share (0 to 1) of requests answered with the answer of an earlier request.
    pub crossed_share: f64,
    /// Leaving.
    pub drain: DrainMode,
    /// Health endpoint.
    pub health: HealthMode,
    /// Snapshots the health endpoint names instead of those held.
    pub claimed_snapshots: Option<Vec<SnapshotVersion>>,
}

impl Default for LeafFaults {
    fn default() -> Self {
        Self {
            stopped: false,
            hanging: false,
            slowdown_factor: 1.0,
            shed_share: 0.0,
            cut_share: 0.0,
            crossed_share: 0.0,
            drain: DrainMode::None,
            health: HealthMode::Truthful,
            claimed_snapshots: None,
        }
    }
}

/// Replaces the faults of some leafs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafFaultsRequest {
    /// Which leafs of the process; all of them if empty.
    #[serde(default)]
    pub leafs: Vec<LeafId>,
    /// Faults from now on.
    pub faults: LeafFaults,
}
