//! Counters of one stand-in leaf.

use super::execution_log::ExecutionEnd;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_types::leaf::RefusalReason;

/// Counts since the leaf process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeafCounters {
    /// Requests that got a slot and began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests stopped because the caller went away.
    pub cancelled: u64,
    /// Requests stopped because their deadline passed.
    pub deadline_passed: u64,
    /// Requests refused as overloaded.
    pub refused_overloaded: u64,
    /// Requests refused as draining.
    pub refused_draining: u64,
    /// Requests refused because the snapshot or the shard is not held.
    pub refused_not_held: u64,
    /// Requests refused because deadline or expiry had passed.
    pub refused_expired: u64,
    /// Answers withheld by closing the connection.
    pub cut: u64,
    /// Answers replaced by that of an earlier request.
    pub crossed: u64,
    /// Connections accepted.
    pub connections_accepted: u64,
    /// Connections refused because the limit was reached.
    pub connections_refused: u64,
    /// Most connections open at once.
    pub connections_peak: u64,
    /// Time slots were held, in microseconds.
    pub busy_micros: u64,
    /// Part of `busy_micros` spent on requests that did not run to their end.
    pub wasted_micros: u64,
}

impl LeafCounters {
    /// Counts a refusal.
    pub fn refused(&mut self, reason: RefusalReason) {
        let counter = match reason {
            RefusalReason::Overloaded => &mut self.refused_overloaded,
            RefusalReason::Draining => &mut self.refused_draining,
            RefusalReason::SnapshotNotHeld | RefusalReason::ShardNotHeld => {
                &mut self.refused_not_held
            }
            RefusalReason::Expired => &mut self.refused_expired,
        };
        *counter += 1;
    }

    /// Counts the end of an execution that held a slot for some time.
    pub fn ended(&mut self, end: ExecutionEnd, held: Duration) {
        let micros = u64::try_from(held.as_micros()).unwrap_or(u64::MAX);
        self.busy_micros += micros;
        match end {
            ExecutionEnd::Finished => self.finished += 1,
            ExecutionEnd::Cancelled => self.cancelled += 1,
            ExecutionEnd::DeadlinePassed => self.deadline_passed += 1,
        }
        if end != ExecutionEnd::Finished {
            self.wasted_micros += micros;
        }
    }

    /// Adds the counts of another leaf.
    pub fn add(&mut self, other: &LeafCounters) {
        self.started += other.started;
        self.finished += other.finished;
        self.cancelled += other.cancelled;
        self.deadline_passed += other.deadline_passed;
        self.refused_overloaded += other.refused_overloaded;
        self.refused_draining += other.refused_draining;
        self.refused_not_held += other.refused_not_held;
        self.refused_expired += other.refused_expired;
        self.cut += other.cut;
        self.crossed += other.crossed;
        self.connections_accepted += other.connections_accepted;
        self.connections_refused += other.connections_refused;
        self.connections_peak = self.connections_peak.max(other.connections_peak);
        self.busy_micros += other.busy_micros;
        self.wasted_micros += other.wasted_micros;
    }
}
