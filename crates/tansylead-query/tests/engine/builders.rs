//! Builders of names, configurations, requests and leaf replies for tests.

use std::time::Duration;
use tansylead_query::SendAttempt;
use tansylead_query::{RootEvent, StartQuery};
use tansylead_types::leaf::{LeafAnswer, LeafHealth, LeafLoad, LeafRefusal, RefusalReason};
use tansylead_types::*;

/// The root name that leafs echo.
pub const ROOT: &str = "root-1";

pub fn leaf(number: usize) -> LeafId {
    LeafId::new(format!("leaf-{number}")).unwrap()
}

pub fn service() -> ServiceName {
    ServiceName::new("screening").unwrap()
}

pub fn descriptor(number: usize, slots: u32) -> LeafDescriptor {
    LeafDescriptor {
        leaf: leaf(number),
        address: format!("127.0.0.1:{}", 9000 + number).parse().unwrap(),
        zone: ZoneName::new("zone-a").unwrap(),
        slots,
        maximum_connections: 100,
    }
}

/// A snapshot whose shard `i` is called `p{count}-{i}` and held by leafs `i` and `i + 1` (mod
/// `leafs`). Another `count` gives other shard names, as a repartition does.
pub fn snapshot(version: u64, count: usize, leafs: usize) -> Snapshot {
    let shard = |position: usize| ShardReplicas {
        shard: ShardId::new(format!("p{count}-{position}")).unwrap(),
        replicas: vec![leaf(position % leafs), leaf((position + 1) % leafs)],
    };
    Snapshot {
        version: SnapshotVersion(version),
        shards: (0..count).map(shard).collect(),
    }
}

pub fn placement(leafs: Vec<LeafDescriptor>, snapshots: Vec<Snapshot>) -> ServicePlacement {
    ServicePlacement {
        service: service(),
        place: PlaceName::new("bangkok").unwrap(),
        leafs,
        snapshots,
    }
}

pub fn definition(policy: ServicePolicy) -> ServiceDefinition {
    ServiceDefinition {
        service: service(),
        policy,
    }
}

/// Request ids are chosen by callers and not unique: different queries share one here.
pub fn request_id(query: QueryId) -> RequestId {
    RequestId::new(format!("request-{}", query.0 % 2)).unwrap()
}

pub fn start(query: u64, now: Moment, time_left: Duration) -> StartQuery {
    StartQuery {
        query: QueryId(query),
        request: QueryRequest {
            request: request_id(QueryId(query)),
            service: service(),
            body: "{}".to_owned(),
            routing_key: None,
            time_left,
            repeatability: Repeatability::Repeatable,
        },
        deadline: now + time_left,
    }
}

pub fn non_repeatable(mut start: StartQuery, routing_key: &str) -> StartQuery {
    start.request.routing_key = Some(routing_key.to_owned());
    start.request.repeatability = Repeatability::NonRepeatable {
        key: IdempotencyKey::new(format!("key-{}", start.query.0)).unwrap(),
        expires: WallTime(1_000_000),
    };
    start
}

/// Result of a leaf for an attempt; names the query, shard and snapshot, which the oracle checks.
pub fn content(query: QueryId, shard: &ShardId, snapshot: SnapshotVersion) -> String {
    format!("\"{} {shard} {snapshot}\"", query.0)
}

pub fn answer_to(attempt: &SendAttempt) -> LeafAnswer {
    LeafAnswer {
        request: request_id(attempt.query),
        root: ROOT.to_owned(),
        query: attempt.query,
        attempt: attempt.attempt,
        shard: attempt.shard.clone(),
        snapshot: attempt.snapshot,
        result: content(attempt.query, &attempt.shard, attempt.snapshot),
        load: LeafLoad::default(),
    }
}

pub fn refusal_of(attempt: &SendAttempt, reason: RefusalReason) -> LeafRefusal {
    LeafRefusal {
        root: ROOT.to_owned(),
        query: attempt.query,
        attempt: attempt.attempt,
        reason,
        retry_after_millis: None,
        load: LeafLoad::default(),
    }
}

pub fn health(number: usize, draining: bool, snapshots: &[u64]) -> RootEvent {
    let load = LeafLoad {
        draining,
        ..LeafLoad::default()
    };
    RootEvent::LeafHealth {
        leaf: leaf(number),
        report: Some(LeafHealth {
            healthy: true,
            load,
            snapshots: snapshots.iter().copied().map(SnapshotVersion).collect(),
        }),
    }
}
