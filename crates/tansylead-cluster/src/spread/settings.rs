//! Periods and limits of configuration spread.

use std::time::Duration;

/// Periods and limits of configuration spread; the defaults are for 2,000 daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct SpreadSettings {
    /// Store readers per place.
    pub readers_per_place: usize,
    /// Peers of the own place notified at once of a change.
    pub local_fan_out: usize,
    /// Peers of other places notified at once of a change.
    pub remote_fan_out: usize,
    /// A pull of changes that takes longer is given up and retried at another peer.
    pub pull_timeout: Duration,
    /// The same for a full pull. A timeout that is too short repeats transfers of megabytes, which
    /// slows all daemons that start at the same time.
    pub full_pull_timeout: Duration,
    /// Pulls that one daemon serves at once; the driver refuses more.
    pub pulls_served: usize,
    /// Period of full pulls from peers that hold other objects at the same revision.
    pub full_pull_period: Duration,
    /// Shortest time between the starts of two reads of the store.
    pub read_interval: Duration,
    /// Backoff after the first failed read of the store; doubles with each further failure.
    pub store_retry: Duration,
    /// Longest backoff after a failed read of the store.
    pub store_retry_limit: Duration,
    /// A daemon that has not joined may read the store after one to two times this.
    pub join_grace: Duration,
    /// Period of full reads by a reader, which detect a store restored from a backup.
    pub full_read_period: Duration,
    /// After a store outage, each reader does a full read at a random time within this period.
    pub recovery_spread: Duration,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            readers_per_place: 2,
            local_fan_out: 5,
            remote_fan_out: 1,
            pull_timeout: Duration::from_millis(500),
            full_pull_timeout: Duration::from_secs(5),
            pulls_served: 16,
            full_pull_period: Duration::from_secs(10),
            read_interval: Duration::from_millis(100),
            store_retry: Duration::from_millis(500),
            store_retry_limit: Duration::from_secs(15),
            join_grace: Duration::from_secs(5),
            full_read_period: Duration::from_secs(600),
            recovery_spread: Duration::from_secs(30),
        }
    }
}

impl SpreadSettings {
    /// Timeout of a pull after a revision.
    pub fn pull_limit(&self, after: u64) -> Duration {
        match after {
            0 => self.full_pull_timeout,
            _ => self.pull_timeout,
        }
    }
}
