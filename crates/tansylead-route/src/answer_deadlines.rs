//! When a query over shards stops waiting for missing parts.
//!
//! The value of an answer falls with the square of its coverage, and loses most of it once the
//! objective has passed. So waiting within the objective costs nothing, but shortly before its end
//! an answer with enough parts has more value than a complete one after it.

use crate::configuration::Policy;
use std::time::Duration;

/// Share of the objective reserved for the round trip to the caller and for opening its connection.
const ROUND_TRIP_SHARE: f64 = 0.08;
/// Minimum time reserved for that round trip.
const SHORTEST_ROUND_TRIP: Duration = Duration::from_millis(15);
/// An answer with enough parts is sent at the latest after this share of the time left.
const LATEST_SHARE: f64 = 0.9;

/// Deadlines of one query, measured from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerDeadlines {
    /// From here on a partial answer with enough parts is sent at once.
    pub partial_from: Duration,
    /// Here the query ends with the parts that have arrived.
    pub end: Duration,
}

impl AnswerDeadlines {
    /// Computes the deadlines of a query with this policy whose caller waits for `time_left`.
    pub fn new(policy: &Policy, time_left: Duration) -> Self {
        let end = policy.timeout.min(time_left);
        let round_trip = policy
            .objective
            .mul_f64(ROUND_TRIP_SHARE)
            .max(SHORTEST_ROUND_TRIP);
        let objective = policy.objective.saturating_sub(round_trip);
        Self {
            partial_from: objective.min(end.mul_f64(LATEST_SHARE)),
            end,
        }
    }
}
