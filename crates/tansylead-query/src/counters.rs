//! Counters of one engine. They only grow; the daemon turns them into metrics.

/// Counters since the engine was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineCounters {
    /// Queries started.
    pub queries_started: u64,
    /// Queries that ended complete.
    pub queries_complete: u64,
    /// Queries that ended partial.
    pub queries_partial: u64,
    /// Queries refused or given up that certainly ran on no leaf.
    pub queries_not_run: u64,
    /// Queries that may have run but whose result is unknown.
    pub queries_unknown: u64,
    /// Queries whose caller disconnected.
    pub queries_abandoned: u64,
    /// Queries refused by the rate limit (part of `queries_not_run`).
    pub refused_rate: u64,
    /// Queries refused because they could not get slots in time (part of `queries_not_run`).
    pub refused_capacity: u64,
    /// First attempts of a shard.
    pub attempts_first: u64,
    /// Hedged attempts.
    pub attempts_hedge: u64,
    /// Attempts that follow one without an answer, redirects aside; charged to the retry budget.
    pub attempts_retry: u64,
    /// Attempts on another replica after one that was not sent, or that a leaf refused because it
    /// is leaving or does not hold the data.
    pub attempts_redirect: u64,
    /// First attempts of a shard after the query restarted on another snapshot.
    pub attempts_restart: u64,
    /// Attempts cancelled.
    pub attempts_cancelled: u64,
    /// Queries that restarted on another snapshot.
    pub restarts: u64,
    /// Times that the retry budget had no token for an extra attempt.
    pub budget_exhausted: u64,
    /// Answers whose echoes did not match the attempt.
    pub answers_mismatched: u64,
    /// Answers to attempts that had been cancelled or whose query was over.
    pub answers_late: u64,
    /// Second answers to an attempt that had already ended.
    pub answers_duplicate: u64,
    /// Refusals for lack of capacity.
    pub refused_overloaded: u64,
    /// Refusals because the leaf is leaving.
    pub refused_draining: u64,
    /// Refusals because the leaf does not hold the snapshot or the shard.
    pub refused_not_held: u64,
    /// Refusals because the deadline or the expiry had passed.
    pub refused_expired: u64,
    /// Attempts that failed after bytes may have been sent.
    pub attempts_failed: u64,
    /// Attempts of which nothing was sent.
    pub attempts_not_sent: u64,
    /// Ejections of leafs.
    pub ejections: u64,
    /// Times a leaf was found to be leaving.
    pub leafs_leaving: u64,
    /// Queries ignored because their id was already in use.
    pub duplicate_query_ids: u64,
}
