//! Takes a checked query to a root and brings back its answer.

use crate::clock::Clock;
use crate::configuration::{ConfigurationView, PlacementKey};
use crate::root::RootDirectory;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tansylead_types::{
    Coverage, Moment, Outcome, PlaceName, QueryAnswer, QueryId, QueryRequest, RequestId,
    ServiceDefinition, ServiceName,
};
use tokio::sync::watch;

/// Serves the callers of one daemon.
#[derive(Debug)]
pub struct Frontend {
    place: PlaceName,
    view: watch::Receiver<Arc<ConfigurationView>>,
    roots: RootDirectory,
    next_query: AtomicU64,
    retry_after: Duration,
    clock: Clock,
}

/// Why a query got no answer from any root.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrontendError {
    /// No root can be reached; nothing was sent to any leaf.
    #[error("no root for the service")]
    NoRoot {
        /// When to come back.
        retry_after: Duration,
    },
    /// The root ended without an answer; the query may have run.
    #[error("the root ended without an answer")]
    RootLost,
}

impl Frontend {
    /// A frontend for callers of a place.
    pub fn new(
        place: PlaceName,
        view: watch::Receiver<Arc<ConfigurationView>>,
        roots: RootDirectory,
        retry_after: Duration,
    ) -> Self {
        Self {
            place,
            view,
            roots,
            next_query: AtomicU64::new(1),
            retry_after,
            clock: Clock,
        }
    }

    /// Where this daemon runs.
    pub fn place(&self) -> &PlaceName {
        &self.place
    }

    /// When callers refused for lack of configuration or roots should come back.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }

    /// The configuration in force.
    pub fn view(&self) -> Arc<ConfigurationView> {
        Arc::clone(&self.view.borrow())
    }

    /// Definition of a service.
    pub fn service(&self, service: &ServiceName) -> Option<Arc<ServiceDefinition>> {
        self.view.borrow().service(service).cloned()
    }

    /// Runs a query. Dropping the future cancels it.
    pub async fn execute(
        &self,
        request: QueryRequest,
        deadline: Moment,
    ) -> Result<QueryAnswer, FrontendError> {
        let no_root = FrontendError::NoRoot {
            retry_after: self.retry_after,
        };
        let key = PlacementKey {
            service: request.service.clone(),
            place: self.place.clone(),
        };
        let root = self.roots.get(&key).ok_or(no_root)?;
        let request_id = request.request.clone();
        let query = QueryId(self.next_query.fetch_add(1, Ordering::Relaxed));
        let request = QueryRequest {
            time_left: self.clock.time_left(deadline),
            ..request
        };
        match root.start(query, request, deadline) {
            Some(ticket) => ticket.answer().await.ok_or(FrontendError::RootLost),
            None => Ok(self.refused(request_id, "too many queries wait for the root")),
        }
    }

    fn refused(&self, request: RequestId, reason: &str) -> QueryAnswer {
        QueryAnswer {
            request,
            outcome: Outcome::NotRun,
            snapshot: None,
            coverage: Coverage::default(),
            results: Vec::new(),
            retry_after: Some(self.retry_after),
            reason: Some(reason.to_owned()),
            attempts: 0,
        }
    }
}
