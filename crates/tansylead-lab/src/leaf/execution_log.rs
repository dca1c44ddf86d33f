//! What the leafs of one process have run: the oracle by which runs are checked from outside.
//!
//! Invariants: entries are only appended and numbered from 1 without gaps; a request that got a
//! slot has exactly one `started` entry and at most one end. A refused request has none.

use crate::wall_clock::unix_micros;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tansylead_types::{
    AttemptId, IdempotencyKey, LeafId, QueryId, RequestId, ServiceName, ShardId, SnapshotVersion,
};

/// What was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionStart {
    /// Leaf that runs it.
    pub leaf: LeafId,
    /// Service asked.
    pub service: ServiceName,
    /// The caller's request id.
    pub request: RequestId,
    /// Root and query number as in the leaf request.
    pub root: String,
    /// Query number inside the root.
    pub query: QueryId,
    /// Attempt number inside the query.
    pub attempt: AttemptId,
    /// Shard searched.
    pub shard: ShardId,
    /// Snapshot searched.
    pub snapshot: SnapshotVersion,
    /// Key of a non-repeatable request.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// It ran to its end.
    Finished,
    /// The caller went away; the work was stopped.
    Cancelled,
    /// The deadline passed; the work was stopped.
    DeadlinePassed,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEvent {
    /// A request got a slot and began to run.
    Started(ExecutionStart),
    /// An execution ended.
    Ended {
        /// Sequence number of its `started` entry.
        started: u64,
        /// How.
        end: ExecutionEnd,
    },
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionEntry {
    /// Position in the log, from 1.
    pub sequence: u64,
    /// When, in microseconds since the Unix epoch.
    pub at_unix_micros: u64,
    /// What happened.
    pub event: ExecutionEvent,
}

/// A page of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ExecutionPage {
    /// Entries after the cursor, oldest first.
    pub entries: Vec<ExecutionEntry>,
    /// Cursor for the next page: sequence number of the last entry shown.
    pub next: u64,
}

/// Append-only log in memory.
#[derive(Debug)]
pub struct ExecutionLog {
    enabled: bool,
    entries: Mutex<Vec<ExecutionEntry>>,
}

impl ExecutionLog {
    /// An empty log; a log that is not enabled stays empty.
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            entries: Mutex::new(Vec::new()),
        }
    }

    /// Appends the start of an execution; returns its sequence number, 0 if the log is off.
    pub fn started(&self, start: ExecutionStart) -> u64 {
        self.append(ExecutionEvent::Started(start))
    }

    /// Appends the end of an execution.
    pub fn ended(&self, started: u64, end: ExecutionEnd) {
        self.append(ExecutionEvent::Ended { started, end });
    }

    /// Entries after a cursor, at most `limit` of them.
    pub fn page(&self, after: u64, limit: usize) -> ExecutionPage {
        let entries = self.entries.lock();
        let first = usize::try_from(after).unwrap_or(usize::MAX);
        let shown: Vec<ExecutionEntry> = entries.iter().skip(first).take(limit).cloned().collect();
        let next = shown.last().map_or(after, |entry| entry.sequence);
        ExecutionPage {
            entries: shown,
            next,
        }
    }

    fn append(&self, event: ExecutionEvent) -> u64 {
        if !self.enabled {
            return 0;
        }
        let mut entries = self.entries.lock();
        let sequence = u64::try_from(entries.len()).unwrap_or(u64::MAX) + 1;
        let at_unix_micros = unix_micros();
        entries.push(ExecutionEntry {
            sequence,
            at_unix_micros,
            event,
        });
        sequence
    }
}
