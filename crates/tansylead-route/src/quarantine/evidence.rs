//! The strikes behind a verdict, for the log.

use super::record::Record;
use super::strike::{Strike, count_events, count_successive};

/// Strikes against one request, and what they count for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QuarantineEvidence {
    /// Runs that followed one another.
    pub successive_runs: usize,
    /// Independent events that the strikes belong to.
    pub events: usize,
    /// The strikes that are kept.
    pub strikes: Vec<Strike>,
}

impl QuarantineEvidence {
    pub(super) fn of(record: &Record) -> Self {
        Self {
            successive_runs: count_successive(&record.strikes),
            events: count_events(&record.strikes),
            strikes: record.strikes.clone(),
        }
    }
}
