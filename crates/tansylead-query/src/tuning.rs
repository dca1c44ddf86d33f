//! Tuning of one engine: which mechanisms are on, and the sizes they work with.
//!
//! Operators set the policy of a service in its definition; these values are the same for every
//! service and are varied only by experiments, which compare variants.

use std::time::Duration;

/// How a replica is picked among those that may serve a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReplicaChoice {
    /// Two replicas at random, then the one with the smaller product of load and latency.
    PowerOfTwoChoices,
    /// One replica at random.
    Random,
}

/// Mechanisms and sizes of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTuning {
    /// How a replica is picked.
    pub replica_choice: ReplicaChoice,
    /// Whether a slow attempt of a repeatable query is hedged on another replica.
    pub hedging: bool,
    /// Whether an attempt that was refused, not sent or failed is followed by another.
    pub retries: bool,
    /// Whether stragglers and failing leafs are ejected for a while.
    pub ejection: bool,
    /// Whether cold leafs get their full share of work only gradually.
    pub slow_start: bool,
    /// Whether the concurrency of a leaf that sheds load is lowered below its slots.
    pub adaptive_limit: bool,
    /// Whether a repeatable query may start over on another snapshot.
    pub restarts: bool,
    /// Extra attempts that may be made before any first attempt has paid for them.
    pub retry_budget_burst: u32,
    /// Most attempts for one shard on one pinned snapshot.
    pub maximum_attempts_per_shard: u32,
    /// Most times a query starts over on another snapshot.
    pub maximum_restarts: u32,
    /// Bound of the waiting queue: shards that wait for a slot, for each slot of the leafs.
    pub waiting_shards_per_slot: u32,
    /// A cancelled attempt counts as running on its leaf until its end is reported, but no
    /// longer than this.
    pub cancelled_slot_hold: Duration,
}

impl Default for EngineTuning {
    fn default() -> Self {
        Self {
            replica_choice: ReplicaChoice::PowerOfTwoChoices,
            hedging: true,
            retries: true,
            ejection: true,
            slow_start: true,
            adaptive_limit: true,
            restarts: true,
            retry_budget_burst: 10,
            maximum_attempts_per_shard: 8,
            maximum_restarts: 2,
            waiting_shards_per_slot: 64,
            cancelled_slot_hold: Duration::from_millis(100),
        }
    }
}

impl EngineTuning {
    /// The plain engine that experiments compare against: random choice and a deadline, nothing
    /// else. Everything that makes answers true stays on.
    pub fn baseline() -> Self {
        Self {
            replica_choice: ReplicaChoice::Random,
            hedging: false,
            retries: false,
            ejection: false,
            slow_start: false,
            adaptive_limit: false,
            restarts: false,
            ..Self::default()
        }
    }
}
