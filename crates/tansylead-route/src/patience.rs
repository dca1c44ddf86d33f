//! When a query over shards stops waiting for the parts that are missing.
//!
//! The worth of an answer falls with the square of its coverage, and by most of it once the
//! objective has passed. So within the objective waiting costs nothing, and shortly before its end
//! an answer with enough parts is worth more than a whole one after it.

use crate::configuration::Policy;
use std::time::Duration;

/// Share of the objective kept for the way to the caller and back, and for opening its connection.
const WAY_SHARE: f64 = 0.08;
/// Least time kept for that way.
const SHORTEST_WAY: Duration = Duration::from_millis(15);
/// Share of the time left that an answer with enough parts is never held beyond.
const LATEST_SHARE: f64 = 0.9;

/// The moments that matter for one query, counted from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// From here on an answer with enough parts is sent at once.
    pub enough: Duration,
    /// Here the query ends with whatever there is.
    pub end: Duration,
}

impl Patience {
    /// For a query with this policy whose caller waits for `time_left`.
    pub fn new(policy: &Policy, time_left: Duration) -> Self {
        let end = policy.timeout.min(time_left);
        let way = policy.objective.mul_f64(WAY_SHARE).max(SHORTEST_WAY);
        let objective = policy.objective.saturating_sub(way);
        Self {
            enough: objective.min(end.mul_f64(LATEST_SHARE)),
            end,
        }
    }
}
