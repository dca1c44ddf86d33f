//! Results of stand-in leafs. A result is a pure function of shard, snapshot and body, plus the
//! request id, so that any answer can be checked for mixed snapshots and crossed callers.

use serde::{Deserialize, Serialize};
use tansylead_types::{RequestId, ShardId, SnapshotVersion};
use xxhash_rust::xxh3::xxh3_64;

/// One record found in a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Unique over all shards of a snapshot.
    pub id: String,
    /// Depends on shard, snapshot and body.
    pub value: String,
}

/// Result of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardSearchResult {
    /// The caller's request id.
    pub request: RequestId,
    /// Shard searched.
    pub shard: ShardId,
    /// Snapshot searched.
    pub snapshot: SnapshotVersion,
    /// Records found.
    pub records: Vec<Record>,
}

/// The records that a correct leaf finds.
pub fn expected_records(
    shard: &ShardId,
    snapshot: SnapshotVersion,
    body: &str,
    count: u32,
) -> Vec<Record> {
    (0..count)
        .map(|index| {
            let id = format!("{shard}.{snapshot}.{index}");
            let value = xxh3_64(format!("{id}\n{body}").as_bytes());
            Record {
                id,
                value: format!("{value:016x}"),
            }
        })
        .collect()
}

/// The result that a correct leaf returns, as JSON text.
pub fn result_json(
    request: &RequestId,
    shard: &ShardId,
    snapshot: SnapshotVersion,
    body: &str,
    count: u32,
) -> Result<String, serde_json::Error> {
    let result = ShardSearchResult {
        request: request.clone(),
        shard: shard.clone(),
        snapshot,
        records: expected_records(shard, snapshot, body, count),
    };
    serde_json::to_string(&result)
}
