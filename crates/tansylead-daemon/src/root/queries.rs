//! Queries in progress at a root: who waits for the answer and which attempts are in flight.

use super::handle::RootAnswer;
use crate::leaf::attempt::QueryContext;
use std::collections::HashMap;
use std::sync::Arc;
use tansylead_types::{AttemptId, QueryId};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// One query in progress.
#[derive(Debug)]
struct ActiveQuery {
    context: Arc<QueryContext>,
    reply: oneshot::Sender<RootAnswer>,
    in_flight: Vec<InFlight>,
}

#[derive(Debug)]
struct InFlight {
    attempt: AttemptId,
    task: AbortHandle,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        // Ends the task and thereby its connection; no effect on a task that has ended.
        self.task.abort();
    }
}

/// All queries in progress at one root.
#[derive(Debug, Default)]
pub(super) struct ActiveQueries {
    queries: HashMap<QueryId, ActiveQuery>,
}

impl ActiveQueries {
    pub(super) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    pub(super) fn insert(
        &mut self,
        query: QueryId,
        context: Arc<QueryContext>,
        reply: oneshot::Sender<RootAnswer>,
    ) {
        let active = ActiveQuery {
            context,
            reply,
            in_flight: Vec::new(),
        };
        self.queries.insert(query, active);
    }

    pub(super) fn context(&self, query: QueryId) -> Option<Arc<QueryContext>> {
        self.queries
            .get(&query)
            .map(|active| Arc::clone(&active.context))
    }

    pub(super) fn add_attempt(&mut self, query: QueryId, attempt: AttemptId, task: AbortHandle) {
        match self.queries.get_mut(&query) {
            Some(active) => active.in_flight.push(InFlight { attempt, task }),
            None => task.abort(),
        }
    }

    /// Removes an attempt. If it is still in flight, its connection is closed.
    pub(super) fn remove_attempt(&mut self, query: QueryId, attempt: AttemptId) {
        if let Some(active) = self.queries.get_mut(&query) {
            active
                .in_flight
                .retain(|in_flight| in_flight.attempt != attempt);
        }
    }

    /// Ends a query; attempts still in flight are cancelled. Returns the channel for the answer.
    pub(super) fn remove(&mut self, query: QueryId) -> Option<oneshot::Sender<RootAnswer>> {
        self.queries.remove(&query).map(|active| active.reply)
    }
}
