//! Faults of the stand-in store, switched over HTTP.

use serde::{Deserialize, Serialize};

/// How an outage shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Connections are closed without an answer and nothing takes effect.
    Close,
    /// Requests hang until the outage ends or the reader gives up; nothing takes effect.
    Hang,
}

/// Faults in force; a request replaces them all. The default is no fault.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// The store is down.
    pub outage: Option<OutageMode>,
    /// Added to each request, in milliseconds.
    pub delay_millis: u64,
    /// That many of the next writes take effect and then lose their answer.
    pub lose_next_write_answers: u64,
    /// Reads show the state as it was at this revision.
    pub stale_revision: Option<u64>,
}

/// Puts the store back to an older state, as from a backup; later writes are forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RestoreRequest {
    /// The state at this revision is restored.
    pub revision: u64,
}
