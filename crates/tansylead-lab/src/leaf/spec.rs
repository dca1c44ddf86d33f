//! Description of stand-in leafs: what one process runs, and how each leaf behaves when nothing is
//! broken.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tansylead_types::{LeafId, PlaceName, ServiceName, ShardId, SnapshotVersion, ZoneName};

/// Shards that a leaf holds at one snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Snapshot.
    pub snapshot: SnapshotVersion,
    /// Shards.
    pub shards: Vec<ShardId>,
}

/// How long a leaf runs one request: log-normal, with a share of stragglers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LatencySpec {
    /// Median, in milliseconds.
    pub median_millis: f64,
    /// Standard deviation of the logarithm; 0 makes every request take the median.
    pub sigma: f64,
    /// Share (0 to 1) of requests that are stragglers.
    pub straggler_share: f64,
    /// How many times longer a straggler takes.
    pub straggler_factor: f64,
}

impl Default for LatencySpec {
    fn default() -> Self {
        Self {
            median_millis: 4.0,
            sigma: 0.3,
            straggler_share: 0.01,
            straggler_factor: 10.0,
        }
    }
}

/// A leaf that has just started is slower; the extra time fades away.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStartSpec {
    /// How many times longer requests take right after the start.
    pub factor: f64,
    /// Milliseconds until a request takes its usual time.
    pub fade_millis: u64,
}

impl Default for ColdStartSpec {
    fn default() -> Self {
        Self {
            factor: 1.0,
            fade_millis: 0,
        }
    }
}

/// Behaviour of a leaf when nothing is broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafBehaviour {
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Latency of one request.
    pub latency: LatencySpec,
    /// Cold start.
    pub cold_start: ColdStartSpec,
    /// One-way delay between the leaf and its callers, in milliseconds.
    pub one_way_delay_millis: f64,
    /// Time a new connection costs, in milliseconds.
    pub connection_setup_millis: f64,
    /// Records in the result of one shard.
    pub records_per_shard: u32,
}

impl Default for LeafBehaviour {
    fn default() -> Self {
        Self {
            queue: 5,
            latency: LatencySpec::default(),
            cold_start: ColdStartSpec::default(),
            one_way_delay_millis: 1.0,
            connection_setup_millis: 1.0,
            records_per_shard: 2,
        }
    }
}

/// One stand-in leaf.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafSpec {
    /// Name.
    pub leaf: LeafId,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Place it runs in.
    pub place: PlaceName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub maximum_connections: u32,
    /// Behaviour when nothing is broken.
    #[serde(default)]
    pub behaviour: LeafBehaviour,
    /// What it holds.
    pub holdings: Vec<Holding>,
}

/// All leafs of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafProcessSpec {
    /// Seed of all random choices of the process.
    pub seed: u64,
    /// Whether executions are logged entry by entry; counters are always kept.
    pub execution_log: bool,
    /// Leafs.
    pub leafs: Vec<LeafSpec>,
}
