//! Executes a query at this daemon's own root, for its own callers and for other frontends.

use crate::clock::Clock;
use crate::configuration::PlacementKey;
use crate::root::{RootAnswer, RootDirectory};
use std::sync::atomic::{AtomicU64, Ordering};
use tansylead_types::{Moment, QueryId, QueryRequest};

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

/// The own roots, as something that executes queries.
#[derive(Debug)]
pub struct RootService {
    roots: RootDirectory,
    next_query: AtomicU64,
    clock: Clock,
}

impl RootService {
    /// A service over these roots.
    pub fn new(roots: RootDirectory) -> Self {
        Self {
            roots,
            next_query: AtomicU64::new(1),
            clock: Clock,
        }
    }

    /// Whether this daemon has the root.
    pub fn has(&self, key: &PlacementKey) -> bool {
        self.roots.get(key).is_some()
    }

    /// Executes a query. Dropping the future cancels it.
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
        let ticket = root
            .start(query, request, deadline)
            .ok_or(RootError::Busy)?;
        ticket.answer().await.ok_or(RootError::Lost)
    }
}
