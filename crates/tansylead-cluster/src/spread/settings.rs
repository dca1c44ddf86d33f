//! Periods and limits of configuration spread.

use std::time::Duration;

/// Periods and limits of configuration spread; the defaults are for 2,000 daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct SpreadSettings {
    /// Store readers per place.
    pub readers_per_place: usize,
    /// Peers of the own place told at once of a change.
    pub local_fan_out: usize,
    /// Peers of other places told at once of a change.
    pub remote_fan_out: usize,
    /// A pull of changes that takes longer is given up and another peer asked.
    pub pull_timeout: Duration,
    /// The same for a pull of everything. Giving it up early repeats megabytes, which slows all
    /// others that start at the same time.
    pub full_pull_timeout: Duration,
    /// Pulls one daemon serves at once; the driver refuses more.
    pub pulls_served: usize,
    /// Period of pulls of everything from peers that hold other objects at the same revision.
    pub full_pull_period: Duration,
    /// Shortest time between the starts of two reads of the store.
    pub read_interval: Duration,
    /// Shortest wait after a failed read of the store; doubles with each failure.
    pub store_retry: Duration,
    /// Longest wait after a failed read of the store.
    pub store_retry_limit: Duration,
    /// A daemon that has not joined anybody reads the store after this long.
    pub join_grace: Duration,
    /// A reader reads everything this often, to notice a store restored from a backup.
    pub full_read_period: Duration,
    /// After an outage of the store, a reader reads everything within this time.
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
    /// Time allowed for a pull of everything after a revision.
    pub fn pull_limit(&self, after: u64) -> Duration {
        match after {
            0 => self.full_pull_timeout,
            _ => self.pull_timeout,
        }
    }
}
