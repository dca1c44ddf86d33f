//! How the rest of the daemon speaks to a root.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tansylead_query::{RateShare, StartQuery};
use tansylead_types::{
    LeafId, Moment, QueryAnswer, QueryId, QueryRequest, ServiceDefinition, ServicePlacement,
    SnapshotVersion,
};
use tokio::sync::{mpsc, oneshot};

/// Message to a root.
#[derive(Debug)]
pub enum RootCommand {
    /// Begin a query; the answer goes to `reply`.
    Start {
        /// The query.
        start: Box<StartQuery>,
        /// Where its answer goes.
        reply: oneshot::Sender<QueryAnswer>,
    },
    /// The caller of a query went away.
    CallerGone(QueryId),
    /// Put a definition and placement in force.
    Configure {
        /// Definition of the service.
        definition: Arc<ServiceDefinition>,
        /// Its leafs and snapshots in this place.
        placement: Arc<ServicePlacement>,
        /// Roots that may be connected to each leaf at once.
        roots: usize,
    },
    /// This root's share of the limit.
    SetRateShare(RateShare),
    /// A leaf is said to be leaving.
    LeafLeaving(LeafId),
    /// Report the state for `status`.
    Status(oneshot::Sender<RootStatus>),
}

/// State of one root, for `status`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RootStatus {
    /// Snapshots in the placement, newest first.
    pub snapshots: Vec<SnapshotVersion>,
    /// Leafs in the placement.
    pub leafs: usize,
    /// Leafs that said or are said to be leaving.
    pub draining: Vec<LeafId>,
    /// Leafs whose last health poll failed.
    pub unreachable: Vec<LeafId>,
    /// Queries in progress.
    pub queries_in_progress: usize,
    /// Open connections to the leafs.
    pub leaf_connections: usize,
}

/// A root that can be asked. Cheap to clone; the root ends when all handles are gone.
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

    /// Hands over a query. None if the root has ended or too many queries wait for it: then
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

    /// The root's state; none if it has ended.
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
    answer: oneshot::Receiver<QueryAnswer>,
    commands: mpsc::UnboundedSender<RootCommand>,
    answered: bool,
}

impl QueryTicket {
    /// Waits for the answer; none if the root ended without one.
    pub async fn answer(mut self) -> Option<QueryAnswer> {
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
