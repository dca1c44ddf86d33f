//! Handles through which the rest of the daemon sends commands to a root.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tansylead_cluster::routing::{RootReport, ServingSet, ShareMessage};
use tansylead_query::StartQuery;
use tansylead_types::{
    LeafId, Moment, NodeId, Outcome, QueryAnswer, QueryId, QueryRequest, ServiceDefinition,
    ServicePlacement, SnapshotVersion,
};
use tokio::sync::{mpsc, oneshot};

/// The answer to a query, with the room that the root reports.
#[derive(Debug, Clone, PartialEq)]
pub struct RootAnswer {
    /// The answer.
    pub answer: QueryAnswer,
    /// Rates that show how many more queries the root could admit; `None` if the answer does not come
    /// from the root's engine.
    pub report: Option<RootReport>,
}

/// Configuration of a root.
#[derive(Debug, Clone)]
pub struct RootConfiguration {
    /// Definition of the service.
    pub definition: Arc<ServiceDefinition>,
    /// Its leafs and snapshots in this place.
    pub placement: Arc<ServicePlacement>,
    /// All roots of the service in this place.
    pub serving_set: Arc<ServingSet>,
    /// The table's limit at this hour for the whole place, queries per second; 0 without a row.
    pub limit: u32,
}

/// Command to a root.
#[derive(Debug)]
pub enum RootCommand {
    /// Begin a query; the answer goes to `reply`.
    Start {
        /// The query.
        start: Box<StartQuery>,
        /// Where its answer goes.
        reply: oneshot::Sender<RootAnswer>,
    },
    /// The caller of a query went away.
    CallerGone(QueryId),
    /// Put a configuration in force.
    Configure(RootConfiguration),
    /// Another root sent a message about shares of the limit.
    Share {
        /// The other root.
        from: NodeId,
        /// Its message.
        message: ShareMessage,
    },
    /// A leaf is reported as leaving.
    LeafLeaving(LeafId),
    /// Report the state for `status`.
    Status(oneshot::Sender<RootStatus>),
}

/// State of one root, for `status`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RootStatus {
    /// Snapshots in the placement, newest first.
    pub snapshots: Vec<SnapshotVersion>,
    /// The snapshot that a query would be pinned to now.
    pub snapshot_in_use: Option<SnapshotVersion>,
    /// Whether every shard of it has a live replica.
    pub every_shard_has_a_replica: bool,
    /// Number of leafs in the placement.
    pub leafs: usize,
    /// Leafs that reported themselves, or were reported, as leaving.
    pub draining: Vec<LeafId>,
    /// Leafs whose health polls fail.
    pub unreachable: Vec<LeafId>,
    /// Leafs ejected for being slow or failing.
    pub ejected: Vec<LeafId>,
    /// Queries in progress.
    pub queries_in_progress: usize,
    /// Number of shards that wait for a slot of a leaf.
    pub waiting_shards: usize,
    /// Open connections to the leafs.
    pub leaf_connections: usize,
    /// Maximum number of connections that this root opens to one leaf.
    pub connections_per_leaf: usize,
    /// Queries per second this root may admit now.
    pub usable_rate: f64,
    /// Queries per second it admitted recently.
    pub admitted_rate: f64,
    /// Counts of complete and partial answers since the start.
    pub coverage: CoverageCounts,
    /// Whether this root may use its whole share of the limit.
    pub share_in_force: bool,
}

/// Answers since the start, by coverage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CoverageCounts {
    /// Complete answers.
    pub complete: u64,
    /// Partial answers.
    pub partial: u64,
    /// Shards addressed by complete and partial answers.
    pub shards_total: u64,
    /// Shards answered in complete and partial answers.
    pub shards_answered: u64,
}

impl CoverageCounts {
    pub(super) fn count(&mut self, answer: &QueryAnswer) {
        match answer.outcome {
            Outcome::Complete => self.complete += 1,
            Outcome::Partial => self.partial += 1,
            Outcome::NotRun | Outcome::Unknown => return,
        }
        self.shards_total += u64::from(answer.coverage.total);
        self.shards_answered += u64::from(answer.coverage.answered);
    }
}

/// A handle to a root. Cheap to clone; the root ends when all handles are gone.
#[derive(Debug, Clone)]
pub struct RootHandle {
    commands: mpsc::UnboundedSender<RootCommand>,
    waiting: Arc<AtomicU64>,
    maximum_waiting: u64,
}

impl RootHandle {
    pub(super) fn new(
        commands: mpsc::UnboundedSender<RootCommand>,
        waiting: Arc<AtomicU64>,
        maximum_waiting: u64,
    ) -> Self {
        Self {
            commands,
            waiting,
            maximum_waiting,
        }
    }

    /// Submits a query. Returns `None` if the root has ended or too many queries wait for it: then
    /// nothing was sent to any leaf.
    pub fn start(
        &self,
        query: QueryId,
        request: QueryRequest,
        deadline: Moment,
    ) -> Option<QueryTicket> {
        if self.waiting.load(Ordering::Relaxed) >= self.maximum_waiting {
            return None;
        }
        let (reply, answer) = oneshot::channel();
        let start = Box::new(StartQuery {
            query,
            request,
            deadline,
        });
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.commands
            .send(RootCommand::Start { start, reply })
            .ok()?;
        Some(QueryTicket {
            query,
            answer,
            commands: self.commands.clone(),
            answered: false,
        })
    }

    /// Sends a command other than [`RootCommand::Start`]; lost if the root has ended.
    pub fn send(&self, command: RootCommand) {
        let _ = self.commands.send(command);
    }

    /// Whether the root's task has ended, which it should not while there are handles.
    pub fn has_ended(&self) -> bool {
        self.commands.is_closed()
    }

    /// The root's state; `None` if it has ended.
    pub async fn status(&self) -> Option<RootStatus> {
        let (reply, status) = oneshot::channel();
        self.commands.send(RootCommand::Status(reply)).ok()?;
        status.await.ok()
    }
}

/// A query in progress. Dropping the ticket before the answer cancels the query.
#[derive(Debug)]
pub struct QueryTicket {
    query: QueryId,
    answer: oneshot::Receiver<RootAnswer>,
    commands: mpsc::UnboundedSender<RootCommand>,
    answered: bool,
}

impl QueryTicket {
    /// Waits for the answer; `None` if the root ended without one.
    pub async fn answer(mut self) -> Option<RootAnswer> {
        let answer = (&mut self.answer).await.ok();
        self.answered = true;
        answer
    }
}

impl Drop for QueryTicket {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.commands.send(RootCommand::CallerGone(self.query));
        }
    }
}
