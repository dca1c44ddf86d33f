//! Settings of one gateway daemon.

use crate::checked_file::{self, FileError};
use crate::source::Topic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tansylead_cluster::membership::Capacity;
use tansylead_route::{BudgetSettings, ExposureBounds};
use tansylead_types::{PlaceName, ZoneName};

/// Least memory of a machine, in megabytes: with less, the process itself does not fit.
const MINIMUM_MEMORY_MEGABYTES: f64 = 16.0;
/// Fewest descriptors of a machine: some are kept for files.
const MINIMUM_DESCRIPTORS: u32 = 256;

/// Settings of one gateway daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the deployment; daemons of different clusters never exchange state.
    pub cluster: String,
    /// Zone of this daemon.
    pub zone: ZoneName,
    /// Region of each zone of the deployment.
    pub regions: BTreeMap<ZoneName, PlaceName>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where load balancers check whether the daemon accepts callers.
    pub ready_address: SocketAddr,
    /// UDP and TCP address for other daemons.
    pub peer_address: SocketAddr,
    /// Where the store of configuration and leafs is; not needed with a routes file.
    #[serde(default)]
    pub store_address: Option<SocketAddr>,
    /// Peer addresses of some daemons to join through.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Time limits and budgets.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// What this machine has, and the callers' share of it.
    #[serde(default)]
    pub resources: ResourceSettings,
    /// Processor capacity of this machine, in cores.
    #[serde(default = "one_core")]
    pub processor_cores: f64,
    /// Whether the larger machines of a region run queries over shards for the others. All daemons of
    /// a deployment must have the same value.
    #[serde(default = "yes")]
    pub queries_at_roots: bool,
}

fn one_core() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// Memory and descriptors of the machine, and how much of them may be used for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceSettings {
    /// Memory that the process may use, in megabytes.
    pub memory_megabytes: f64,
    /// File descriptors that the process may open.
    pub descriptors: u32,
    /// Share of the memory that may be held for callers.
    pub caller_memory_share: f64,
    /// Share of the descriptors, apart from those kept for files, that callers' connections may use.
    pub caller_descriptor_share: f64,
    /// When memory is short, a caller that transfers fewer bytes a second than this counts as stalled.
    pub stalled_bytes_per_second: f64,
}

impl Default for ResourceSettings {
    fn default() -> Self {
        Self {
            memory_megabytes: 256.0,
            descriptors: 4_096,
            caller_memory_share: 0.3,
            caller_descriptor_share: 0.6,
            stalled_bytes_per_second: 1_000.0,
        }
    }
}

impl ResourceSettings {
    /// Descriptors kept for files.
    const FILE_DESCRIPTORS: u32 = 200;

    /// Bytes that may be held for callers.
    pub fn caller_memory_bytes(&self) -> usize {
        (self.memory_bytes() * self.caller_memory_share) as usize
    }

    /// Connections of callers that may be open.
    pub fn caller_connections(&self) -> usize {
        let sockets = self.descriptors.saturating_sub(Self::FILE_DESCRIPTORS);
        (f64::from(sockets) * self.caller_descriptor_share) as usize
    }

    /// Bytes that the system may receive for callers before this process reads them.
    pub fn receive_bytes(&self) -> usize {
        /// Share of the memory, beside what is held for callers.
        const SHARE: f64 = 0.2;
        (self.memory_bytes() * SHARE) as usize
    }

    fn memory_bytes(&self) -> f64 {
        const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;
        self.memory_megabytes * BYTES_PER_MEGABYTE
    }
}

/// Time limits and budgets of a gateway daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayBounds {
    /// After a stop signal the process is killed this much later.
    pub stop_limit_seconds: f64,
    /// A change of the configuration must be in force this soon after it was accepted.
    pub configuration_limit_millis: f64,
    /// A leaving leaf must get nothing new this long after it announced that it leaves.
    pub leaving_limit_millis: f64,
    /// Whether zones can be emptied in this deployment; if not, the source is not asked for it.
    pub follow_evacuations: bool,
    /// Leafs of a zone that is being emptied must get nothing new this long after the order was
    /// accepted.
    pub evacuation_limit_millis: f64,
    /// Whether services can be rolled out in this deployment; if not, the source is not asked for it, and the
    /// versions of leafs are ignored.
    pub follow_roll_outs: bool,
    /// Maximum number of sends to a version under trial, as a share of the requests to its service from the order
    /// to its deadline, over all daemons.
    pub exposure_share: f64,
    /// Sends to a version under trial that are allowed beyond that share, over all daemons.
    pub exposure_slack: f64,
    /// A bad version must get nothing this long after its answers have shown that it is bad.
    pub roll_back_limit_millis: f64,
    /// Extra attempts allowed for each request to a service.
    pub retry_ratio: f64,
    /// Extra attempts allowed beyond the ratio, over all daemons.
    pub retry_slack: f64,
    /// Window over which extra attempts are counted.
    pub retry_window_seconds: f64,
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            stop_limit_seconds: 6.0,
            configuration_limit_millis: 3_000.0,
            leaving_limit_millis: 3_000.0,
            follow_evacuations: true,
            evacuation_limit_millis: 3_000.0,
            follow_roll_outs: true,
            exposure_share: 0.1,
            exposure_slack: 20.0,
            roll_back_limit_millis: 5_000.0,
            retry_ratio: 0.2,
            retry_slack: 20.0,
            retry_window_seconds: 10.0,
        }
    }
}

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read, or is not a settings file.
    #[error(transparent)]
    File(#[from] FileError),
    /// A value is out of range.
    #[error("{path}: {field} must be {expected}, but is {value}")]
    OutOfRange {
        /// File.
        path: String,
        /// Field.
        field: &'static str,
        /// Required range.
        expected: &'static str,
        /// Its value.
        value: f64,
    },
    /// The daemon's zone is in no region.
    #[error("{path}: zone {zone} is not among the regions' zones")]
    UnknownZone {
        /// File.
        path: String,
        /// Zone.
        zone: ZoneName,
    },
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = checked_file::read(path)?;
        settings.check(&path.display().to_string())?;
        Ok(settings)
    }

    /// Capacity of this machine, as other daemons see it.
    pub fn capacity(&self) -> Capacity {
        let whole = f64::from(Capacity::CORE.0) * self.processor_cores;
        // A capacity above the largest that can be encoded counts as that one.
        Capacity(whole.clamp(1.0, f64::from(u16::MAX)) as u16)
    }

    fn check(&self, path: &str) -> Result<(), SettingsError> {
        const POSITIVE: &str = "above zero";
        const NOT_NEGATIVE: &str = "zero or more";
        const SHARE: &str = "from 0 to 1";
        const PROPER_SHARE: &str = "above 0 and below 1";
        let (bounds, resources) = (&self.bounds, &self.resources);
        let positive = [
            ("processor_cores", self.processor_cores),
            ("stop_limit_seconds", bounds.stop_limit_seconds),
            (
                "configuration_limit_millis",
                bounds.configuration_limit_millis,
            ),
            ("leaving_limit_millis", bounds.leaving_limit_millis),
            ("evacuation_limit_millis", bounds.evacuation_limit_millis),
            ("retry_window_seconds", bounds.retry_window_seconds),
            ("roll_back_limit_millis", bounds.roll_back_limit_millis),
            (
                "stalled_bytes_per_second",
                resources.stalled_bytes_per_second,
            ),
        ];
        let not_negative = [
            ("retry_ratio", bounds.retry_ratio),
            ("retry_slack", bounds.retry_slack),
            ("exposure_slack", bounds.exposure_slack),
        ];
        let out_of_range = |field, value, expected| SettingsError::OutOfRange {
            path: path.to_owned(),
            field,
            expected,
            value,
        };
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(out_of_range(field, value, POSITIVE));
            }
        }
        for (field, value) in not_negative {
            if !(value.is_finite() && value >= 0.0) {
                return Err(out_of_range(field, value, NOT_NEGATIVE));
            }
        }
        let proper_shares = [
            ("caller_memory_share", resources.caller_memory_share),
            ("caller_descriptor_share", resources.caller_descriptor_share),
        ];
        for (field, value) in proper_shares {
            if !(value > 0.0 && value < 1.0) {
                return Err(out_of_range(field, value, PROPER_SHARE));
            }
        }
        let (memory, descriptors) = (resources.memory_megabytes, resources.descriptors);
        if !(memory.is_finite() && memory >= MINIMUM_MEMORY_MEGABYTES) {
            return Err(out_of_range("memory_megabytes", memory, "16 or more"));
        }
        if descriptors < MINIMUM_DESCRIPTORS {
            let value = f64::from(descriptors);
            return Err(out_of_range("descriptors", value, "256 or more"));
        }
        let share = bounds.exposure_share;
        if !(0.0..=1.0).contains(&share) {
            return Err(out_of_range("exposure_share", share, SHARE));
        }
        if !self.regions.contains_key(&self.zone) {
            return Err(SettingsError::UnknownZone {
                path: path.to_owned(),
                zone: self.zone.clone(),
            });
        }
        Ok(())
    }
}

impl GatewayBounds {
    /// Bound on extra attempts.
    pub fn retry_budget(&self) -> BudgetSettings {
        BudgetSettings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_seconds),
        }
    }

    /// Bounds on the use of a version under trial.
    pub fn exposure(&self) -> ExposureBounds {
        ExposureBounds {
            share: self.exposure_share,
            slack: self.exposure_slack,
        }
    }

    /// After a stop signal the process is killed this much later.
    pub fn stop_limit(&self) -> Duration {
        Duration::from_secs_f64(self.stop_limit_seconds)
    }

    /// How long a leaf whose entry is missing may be used if no other is left. Leafs that leave unannounced
    /// continue to serve for the whole limit.
    pub fn missing_grace(&self) -> Duration {
        /// Share of the limit; the rest is for the time until the daemon learns that the entry is missing.
        const SHARE: f64 = 0.6;
        Duration::from_secs_f64(self.leaving_limit_millis * SHARE / 1_000.0)
    }

    /// How long a watch of the source may wait for news, if the data held was confirmed `age` ago: it is
    /// confirmed again well before it is too stale for the daemons that rely on it.
    pub fn watch_wait(&self, age: Option<Duration>) -> Duration {
        /// Share of the staleness limit; the rest is for the time until the other daemons are reached.
        const SHARE: f64 = 0.8;
        const SHORTEST: Duration = Duration::from_millis(200);
        let confirm_within = self.staleness_limit().mul_f64(SHARE);
        let age = age.unwrap_or(confirm_within);
        confirm_within.saturating_sub(age).max(SHORTEST)
    }

    /// Whether data that was confirmed `age` ago is too stale to rely on without asking the source. The age
    /// of what the first, cached read returned is unknown: other daemons have the whole staleness limit to
    /// confirm it, so that in a fleet that starts at once not every daemon asks the source.
    pub fn is_stale(&self, age: Option<Duration>, uptime: Duration) -> bool {
        age.unwrap_or(uptime) > self.staleness_limit()
    }

    /// What this daemon follows at the source.
    pub fn topics(&self) -> &'static [Topic] {
        const BASIC: &[Topic] = &[Topic::Configuration, Topic::Leafs];
        const EVACUATIONS: &[Topic] = &[Topic::Configuration, Topic::Leafs, Topic::Evacuations];
        const ROLL_OUTS: &[Topic] = &[Topic::Configuration, Topic::Leafs, Topic::RollOuts];
        const ALL: &[Topic] = &[
            Topic::Configuration,
            Topic::Leafs,
            Topic::Evacuations,
            Topic::RollOuts,
        ];
        match (self.follow_evacuations, self.follow_roll_outs) {
            (true, true) => ALL,
            (true, false) => EVACUATIONS,
            (false, true) => ROLL_OUTS,
            (false, false) => BASIC,
        }
    }

    /// Greatest age of confirmed data on which the daemon relies without asking the source itself.
    pub fn staleness_limit(&self) -> Duration {
        /// Share of the tightest of the bounds.
        const SHARE: f64 = 0.8;
        let mut limit = self
            .configuration_limit_millis
            .min(self.leaving_limit_millis);
        if self.follow_evacuations {
            limit = limit.min(self.evacuation_limit_millis);
        }
        if self.follow_roll_outs {
            limit = limit.min(self.roll_back_limit_millis);
        }
        Duration::from_secs_f64(limit * SHARE / 1_000.0)
    }
}
