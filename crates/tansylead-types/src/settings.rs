//! Settings of one daemon: a TOML file plus flags that override it. Unknown keys are rejected.
//! Loading and flags live in `tansylead-daemon` and `tansylead-cli`; this is the schema.

use crate::{PlaceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the deployment; daemons of different clusters never exchange state.
    pub cluster: String,
    /// Place (region) this daemon runs in.
    pub place: PlaceName,
    /// Zone this daemon runs in.
    pub zone: ZoneName,
    /// HTTP address for callers, health and metrics.
    pub caller_address: SocketAddr,
    /// UDP and TCP address for other daemons; must be reachable from them.
    pub peer_address: SocketAddr,
    /// Peer addresses of some daemons to join through; may be empty if a machine list is set.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub store_address: SocketAddr,
    /// Address of the platform's machine list.
    #[serde(default)]
    pub machine_list_address: Option<SocketAddr>,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Log file; standard error if absent.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Tokio worker threads.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Time limits.
    #[serde(default)]
    pub timing: TimingSettings,
}

/// Time limits, all in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Longest time that a planned stop waits for requests in progress.
    pub drain_limit_millis: u64,
    /// Time after which a leaf that is known to be leaving gets no new work.
    pub leaving_grace_millis: u64,
    /// Period of polling leaf health.
    pub health_period_millis: u64,
    /// Period of membership probes.
    pub probe_period_millis: u64,
    /// Longest expiry a caller may give a non-repeatable request.
    pub longest_expiry_millis: u64,
    /// Allowance for differences between the wall clocks of daemons and leafs.
    pub clock_skew_millis: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            drain_limit_millis: 30_000,
            leaving_grace_millis: 3_000,
            health_period_millis: 1_000,
            probe_period_millis: 1_000,
            longest_expiry_millis: 600_000,
            clock_skew_millis: 500,
        }
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

fn default_worker_threads() -> usize {
    2
}
