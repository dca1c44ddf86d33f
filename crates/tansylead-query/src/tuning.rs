//! Tuning of one engine: which mechanisms are enabled, and their parameters.
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

/// Enabled mechanisms and their parameters for one engine.
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
    /// Whether a repeatable query may restart on another snapshot.
    pub restarts: bool,
    /// Capacity of the retry budget, and the extra attempts it allows before any first attempt.
    pub retry_budget_burst: u32,
    /// Maximum number of attempts for one shard on one pinned snapshot.
    pub maximum_attempts_per_shard: u32,
    /// Maximum number of times a query restarts on another snapshot.
    pub maximum_restarts: u32,
    /// Bound on the shards that wait for a slot, per slot of the leafs.
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
    /// The baseline that experiments compare against: random replica choice and a deadline, nothing
    /// else. Everything that correct answers depend on stays enabled.
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
