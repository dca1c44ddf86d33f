//! What happened in a case, as seen from outside the daemons: the only input of the oracle.

use super::message::Process;
use super::plan::{PlannedKey, PlannedQuery};
use tansylead_types::{
    ChangeId, Moment, QueryAnswer, RequestId, ShardId, SnapshotVersion, TrafficTable,
};

/// One run of one attempt at a leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Leaf.
    pub leaf: usize,
    /// When it got a slot.
    pub started: Moment,
    /// The caller's request.
    pub request: RequestId,
    /// Shard searched.
    pub shard: ShardId,
    /// Version searched.
    pub snapshot: SnapshotVersion,
    /// Key, if the request must not be repeated.
    pub key: Option<String>,
    /// When it ran to its end; none if it was stopped or its leaf died.
    pub finished: Option<Moment>,
}

/// One attempt that arrived at a leaf, run or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Leaf.
    pub leaf: usize,
    /// The root that sent it.
    pub from: Process,
    /// When it was handed to the connection.
    pub sent: Moment,
}

/// How a query ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerResult {
    /// With an answer.
    Answered(Box<QueryAnswer>),
    /// No connection to the daemon could be opened.
    NoConnection,
    /// The connection to the daemon broke.
    Broken,
}

/// One query as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRecord {
    /// What was planned.
    pub planned: PlannedQuery,
    /// Daemon asked.
    pub daemon: usize,
    /// Request id.
    pub request: RequestId,
    /// Body, unique for each query and equal when a key is sent again.
    pub body: String,
    /// When it was sent.
    pub sent: Moment,
    /// When the caller went away.
    pub cancelled: Option<Moment>,
    /// All that came back.
    pub results: Vec<(Moment, CallerResult)>,
}

impl CallerRecord {
    /// When the caller must have its answer.
    pub fn deadline(&self) -> Moment {
        self.sent + self.planned.time_limit
    }
}

/// A time in which a daemon could not do its work: dead, suspended, or cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Daemon.
    pub daemon: usize,
    /// Kind.
    pub kind: OutageKind,
    /// Beginning.
    pub from: Moment,
    /// End.
    pub until: Moment,
}

/// Why a daemon could not do its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageKind {
    /// The process did not run.
    Dead,
    /// The process was suspended.
    Frozen,
    /// Other processes could not reach it, its callers could.
    Partitioned,
    /// Neither callers nor other processes could reach it.
    Unreachable,
}

/// A time in which a leaf was leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingPeriod {
    /// Leaf.
    pub leaf: usize,
    /// Beginning.
    pub from: Moment,
    /// When the process was gone.
    pub until: Moment,
}

/// A sign that a leaf is leaving reached a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingSign {
    /// Leaf.
    pub leaf: usize,
    /// The run of the daemon.
    pub to: Process,
    /// When.
    pub at: Moment,
}

/// A table that the store accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedTable {
    /// When.
    pub at: Moment,
    /// Generation.
    pub generation: u64,
    /// The write.
    pub change: ChangeId,
    /// Contents.
    pub table: TrafficTable,
}

/// A table that a daemon put into force.
#[derive(Debug, Clone, PartialEq)]
pub struct TableInForce {
    /// The run of the daemon.
    pub process: Process,
    /// When.
    pub at: Moment,
    /// Generation.
    pub generation: u64,
    /// The write.
    pub change: ChangeId,
    /// Contents.
    pub table: TrafficTable,
}

/// What an operator was told about a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteReport {
    /// It took effect.
    Accepted,
    /// It did not and will not take effect.
    Refused,
    /// It is not known.
    Unknown,
}

/// One edit of the table as its operator saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorRecord {
    /// The write.
    pub change: ChangeId,
    /// What the operator was told.
    pub report: WriteReport,
}

/// Everything that happened in a case.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Execution log of all leafs.
    pub executions: Vec<Execution>,
    /// Attempts that arrived at leafs.
    pub arrivals: Vec<Arrival>,
    /// Queries.
    pub callers: Vec<CallerRecord>,
    /// Outages of daemons.
    pub outages: Vec<Outage>,
    /// Planned stops: daemon and moment of the signal.
    pub planned_stops: Vec<(usize, Moment)>,
    /// Leafs that were leaving.
    pub leaving_periods: Vec<LeavingPeriod>,
    /// Signs that leafs are leaving.
    pub leaving_signs: Vec<LeavingSign>,
    /// Tables accepted by the store, in order.
    pub accepted_tables: Vec<AcceptedTable>,
    /// Tables put into force.
    pub tables_in_force: Vec<TableInForce>,
    /// Edits of the table.
    pub operators: Vec<OperatorRecord>,
    /// Daemons running at the end, and their tables in force.
    pub final_tables: Vec<(Process, Option<ChangeId>)>,
    /// Whether the store went back to an older state.
    pub store_restored: bool,
    /// Events performed.
    pub steps: u64,
}

/// The text by which a key goes through the system.
pub fn key_text(key: PlannedKey) -> String {
    format!("key{}", key.number)
}
