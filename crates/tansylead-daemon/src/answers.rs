//! Answers that the daemon gives itself, without a root.

use std::time::Duration;
use tansylead_types::{Coverage, Outcome, QueryAnswer, RequestId};

/// A refusal: nothing was sent to any leaf.
pub(crate) fn not_run(request: RequestId, reason: String, retry_after: Duration) -> QueryAnswer {
    without_results(request, Outcome::NotRun, reason, Some(retry_after))
}

/// An answer without results.
pub(crate) fn without_results(
    request: RequestId,
    outcome: Outcome,
    reason: String,
    retry_after: Option<Duration>,
) -> QueryAnswer {
    QueryAnswer {
        request,
        outcome,
        snapshot: None,
        coverage: Coverage::default(),
        results: Vec::new(),
        retry_after,
        reason: Some(reason),
        attempts: 0,
    }
}
