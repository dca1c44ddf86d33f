//! The spread state machine.

use super::event::{SpreadAction, SpreadEvent};
use super::replica::ConfigReplica;
use super::state::{Readiness, StoreState};
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Periods and limits of configuration spread.
#[derive(Debug, Clone, PartialEq)]
pub struct SpreadSettings {
    /// Store readers per place.
    pub readers_per_place: usize,
    /// Peers of the own place told at once of a change.
    pub local_fan_out: usize,
    /// Peers of other places told at once of a change.
    pub remote_fan_out: usize,
    /// A pull that takes longer is given up and another peer asked.
    pub pull_timeout: Duration,
    /// Pulls served at once; the daemon refuses more.
    pub pulls_served: usize,
    /// Shortest wait after a failed read of the store; doubles with each failure.
    pub store_retry: Duration,
    /// Longest wait after a failed read of the store.
    pub store_retry_limit: Duration,
    /// A daemon that has joined nobody reads the store after this long.
    pub join_grace: Duration,
    /// A reader reads everything this often, to notice a store restored from a backup.
    pub full_read_period: Duration,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            readers_per_place: 2,
            local_fan_out: 5,
            remote_fan_out: 1,
            pull_timeout: Duration::from_millis(500),
            pulls_served: 16,
            store_retry: Duration::from_millis(500),
            store_retry_limit: Duration::from_secs(15),
            join_grace: Duration::from_secs(5),
            full_read_period: Duration::from_secs(600),
        }
    }
}

/// Spread of configuration as one daemon performs it.
#[derive(Debug)]
pub struct SpreadMachine {
    replica: ConfigReplica,
}

impl SpreadMachine {
    /// A daemon without configuration.
    pub fn new(_now: Moment, _local: NodeId, _settings: SpreadSettings, _seed: u64) -> Self {
        Self {
            replica: ConfigReplica::new(),
        }
    }

    /// Handles one event.
    pub fn on_event(&mut self, _now: Moment, _event: SpreadEvent) -> Vec<SpreadAction> {
        Vec::new()
    }

    /// When `Wakeup` is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        None
    }

    /// The configuration held.
    pub fn replica(&self) -> &ConfigReplica {
        &self.replica
    }

    /// Whether there is a configuration, and why not.
    pub fn readiness(&self) -> Readiness {
        Readiness::Ready
    }

    /// What is known of the store.
    pub fn store_state(&self) -> &StoreState {
        &StoreState::NotReading
    }
}
