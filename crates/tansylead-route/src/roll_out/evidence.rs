//! One daemon's counts for a roll-out. They are running totals since its start, so that lost, late and duplicate
//! messages do no harm.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = 20;
/// Upper end of the first bucket, in milliseconds.
const FIRST_BUCKET_MILLIS: f64 = 1.0;
/// Ratio of the upper ends of successive buckets. Fine enough to detect a version that is twice as slow; the last
/// bucket begins above two seconds.
const BUCKET_FACTOR: f64 = 1.5;

/// Histogram of latencies, with buckets that grow by a factor of 1.5 from one millisecond on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LatencyCounts {
    /// Number of answers in each bucket.
    pub counts: [u32; LATENCY_BUCKETS],
}

/// Hash of a route's name, which identifies the route in evidence.
pub fn route_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Upper end of a bucket, in milliseconds.
pub(crate) fn bucket_end_millis(bucket: usize) -> f64 {
    FIRST_BUCKET_MILLIS * BUCKET_FACTOR.powi(bucket as i32)
}

impl LatencyCounts {
    /// Counts a latency.
    pub fn add(&mut self, latency: Duration) {
        let millis = latency.as_secs_f64() * 1_000.0;
        let steps = (millis / FIRST_BUCKET_MILLIS).log(BUCKET_FACTOR).ceil();
        let bucket = steps.clamp(0.0, (LATENCY_BUCKETS - 1) as f64) as usize;
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Number of answers in all buckets.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }
}

/// Outcomes of attempts on one route, at leafs either of the target version or of other versions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Good answers.
    pub good: u32,
    /// Failed attempts: errors of the leaf, truncated or malformed answers, and missing ones. Refusals of a leaf that
    /// did not run the request are not counted.
    pub failed: u32,
    /// Time from sending to a good answer, less the network round trip; leafs in their cold start are left out.
    pub latencies: LatencyCounts,
}

/// Outcomes on one route, by version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Hash of the route's name.
    pub route: u32,
    /// Outcomes at leafs of other versions.
    pub old: VersionCounts,
    /// Outcomes at leafs of the target version.
    pub new: VersionCounts,
}

/// One daemon's counts since it has known of an order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RollOutEvidence {
    /// Requests to the service of which at least one attempt was sent.
    pub requests: u64,
    /// Sends to the target version, including refused ones.
    pub new_sends: u64,
    /// Attempts in progress at leafs of other versions.
    pub running_on_old: u32,
    /// Attempts in progress at leafs of the target version.
    pub running_on_new: u32,
    /// Outcomes of attempts, by route.
    pub routes: Vec<RouteEvidence>,
}
