//! Answers that the daemon gives itself, without a root.

use std::time::Duration;
use tansylead_types::{Outcome, QueryAnswer, RequestId};

/// A refusal: nothing was sent to any leaf.
pub(crate) fn not_run(request: RequestId, reason: String, retry_after: Duration) -> QueryAnswer {
    QueryAnswer::without_results(request, Outcome::NotRun, reason, Some(retry_after))
}
