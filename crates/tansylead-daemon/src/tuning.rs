//! Internal limits of the daemon that operators do not set. Tests shorten some of them.

use std::time::Duration;

/// Internal limits with defaults for production.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Idle connections to each leaf that a root tries to keep open.
    pub warm_connections_per_leaf: usize,
    /// Time allowed for connecting to a leaf.
    pub leaf_connect_limit: Duration,
    /// Largest answer accepted from a leaf.
    pub maximum_leaf_answer_bytes: usize,
    /// A store watch is held this long.
    pub store_watch_wait: Duration,
    /// First pause after a failed store read; doubles up to [`Tuning::store_longest_pause`].
    pub store_first_pause: Duration,
    /// Longest pause between failed store reads.
    pub store_longest_pause: Duration,
    /// Length of the burst allowance of admission.
    pub admission_burst: Duration,
    /// Queries waiting for one root at most; more are refused as not run.
    pub maximum_waiting_commands: usize,
    /// During a planned stop, a connection without requests for this long is closed.
    pub drain_idle: Duration,
    /// During a planned stop, new connections are accepted for at least this long.
    pub drain_minimum: Duration,
    /// When to come back, if the engine does not say.
    pub default_retry_after: Duration,
    /// Least and most time a caller may take to send its headers.
    pub header_read_limit: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            warm_connections_per_leaf: 2,
            leaf_connect_limit: Duration::from_millis(250),
            maximum_leaf_answer_bytes: 4 * 1024 * 1024,
            store_watch_wait: Duration::from_secs(20),
            store_first_pause: Duration::from_millis(100),
            store_longest_pause: Duration::from_secs(5),
            admission_burst: Duration::from_millis(100),
            maximum_waiting_commands: 4_096,
            drain_idle: Duration::from_secs(2),
            drain_minimum: Duration::from_secs(1),
            default_retry_after: Duration::from_millis(500),
            header_read_limit: Duration::from_secs(30),
        }
    }
}
