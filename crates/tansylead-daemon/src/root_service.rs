//! Executes a query at this daemon's own root, for its own callers and for other frontends.

use crate::answers::not_run;
use crate::claims::{ClaimedExecution, Claims};
use crate::clock::Clock;
use crate::configuration::PlacementKey;
use crate::root::{RootAnswer, RootDirectory, RootHandle};
use crate::state::DaemonState;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tansylead_types::{Moment, QueryId, QueryRequest, Repeatability};

/// Retry time given to callers when too many queries wait for the root.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a root gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RootError {
    /// This daemon is not a root of the service in the place; nothing ran.
    #[error("not a root of the service in the place")]
    NotRoot,
    /// Too many queries wait for the root; nothing ran.
    #[error("too many queries wait for the root")]
    Busy,
    /// The root ended without an answer; the query may have run.
    #[error("the root ended without an answer")]
    Lost,
}

/// Executes queries at the roots of this daemon.
#[derive(Debug)]
pub struct RootService {
    roots: RootDirectory,
    claims: Arc<Claims>,
    state: Arc<DaemonState>,
    next_query: AtomicU64,
    clock: Clock,
}

impl RootService {
    /// A service over these roots.
    pub fn new(roots: RootDirectory, claims: Arc<Claims>, state: Arc<DaemonState>) -> Self {
        Self {
            roots,
            claims,
            state,
            next_query: AtomicU64::new(1),
            clock: Clock,
        }
    }

    /// Whether this daemon is a root of the service in the place.
    pub fn has_root(&self, key: &PlacementKey) -> bool {
        self.roots.get(key).is_some()
    }

    /// Executes a query. Dropping the future cancels a repeatable one; a non-repeatable one
    /// continues and its answer is kept for repetitions.
    pub async fn execute(
        &self,
        key: &PlacementKey,
        request: QueryRequest,
        deadline: Moment,
    ) -> Result<RootAnswer, RootError> {
        let root = self.roots.get(key).ok_or(RootError::NotRoot)?;
        let query = QueryId(self.next_query.fetch_add(1, Ordering::Relaxed));
        let request = QueryRequest {
            time_left: self.clock.time_left(deadline),
            ..request
        };
        match request.repeatability.clone() {
            Repeatability::Repeatable => run(&root, query, request, deadline).await,
            Repeatability::NonRepeatable {
                key: idempotency_key,
                expires,
            } => {
                let execution = ClaimedExecution::new(
                    Arc::clone(&self.claims),
                    request.service.clone(),
                    idempotency_key,
                    expires,
                    request.request.clone(),
                    deadline,
                );
                // The task outlives its caller, so it counts itself: a planned stop waits for it.
                let in_progress = self.state.count_query();
                let task = tokio::spawn(async move {
                    let _in_progress = in_progress;
                    run_claimed(&root, query, request, deadline, execution).await
                });
                task.await.unwrap_or(Err(RootError::Lost))
            }
        }
    }
}

async fn run(
    root: &RootHandle,
    query: QueryId,
    request: QueryRequest,
    deadline: Moment,
) -> Result<RootAnswer, RootError> {
    let ticket = root.start(query, request, deadline);
    let ticket = ticket.ok_or(RootError::Busy)?;
    ticket.answer().await.ok_or(RootError::Lost)
}

async fn run_claimed(
    root: &RootHandle,
    query: QueryId,
    request: QueryRequest,
    deadline: Moment,
    execution: ClaimedExecution,
) -> Result<RootAnswer, RootError> {
    let mut report = None;
    let request_id = request.request.clone();
    let dispatch = || async {
        match run(root, query, request, deadline).await {
            Ok(answered) => {
                report = answered.report;
                Some(answered.answer)
            }
            Err(RootError::Lost) => None,
            Err(error @ (RootError::NotRoot | RootError::Busy)) => {
                Some(not_run(request_id, error.to_string(), BUSY_RETRY_AFTER))
            }
        }
    };
    let answer = execution.run(dispatch).await;
    Ok(RootAnswer { answer, report })
}
