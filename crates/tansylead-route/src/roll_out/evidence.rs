//! What one daemon has seen of a roll-out: running totals of its life, so that a message that is lost,
//! late or doubled does no harm.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets of latencies.
pub const LATENCY_BUCKETS: usize = 20;
/// Upper end of the first bucket, in milliseconds.
const FIRST_BUCKET_MILLIS: f64 = 1.0;
/// How much wider each bucket reaches than the one before: fine enough to tell twice as slow, and the last
/// bucket begins above two seconds.
const BUCKET_FACTOR: f64 = 1.5;

/// Latencies counted in buckets that grow by a factor of 1.5 from one millisecond on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LatencyCounts {
    /// Answers in each bucket.
    pub counts: [u32; LATENCY_BUCKETS],
}

/// Hash of a route's name, for evidence.
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

    /// Answers in all buckets.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }
}

/// What became of attempts on one route at the leafs of one side.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Good answers.
    pub good: u32,
    /// Bad answers: errors of the leaf, answers that were cut off or cannot be understood, and none at all.
    /// Not refusals of a leaf that did not run the request.
    pub failed: u32,
    /// Time from sending to a good answer, without the way there and back; not of leafs that were cold.
    pub latencies: LatencyCounts,
}

/// The two sides on one route.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Hash of the route's name.
    pub route: u32,
    /// At leafs of other versions.
    pub old: VersionCounts,
    /// At leafs of the target version.
    pub new: VersionCounts,
}

/// What one daemon has seen since it knows of an order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RollOutEvidence {
    /// Requests to the service of which at least one attempt was sent.
    pub requests: u64,
    /// Sends to the target version, refused ones too.
    pub new_sends: u64,
    /// Attempts that run at leafs of other versions now.
    pub running_on_old: u32,
    /// Attempts that run at leafs of the target version now.
    pub running_on_new: u32,
    /// By route.
    pub routes: Vec<RouteEvidence>,
}
