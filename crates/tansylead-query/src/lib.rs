//! Sans-I/O query execution at a root: one [`RootEngine`] for each (service, place).
//!
//! The engine is a deterministic state machine: events go in, actions come out, and the time and a
//! random seed are passed in. The daemon, the simulation and the fuzzers drive the same engine.

mod admission;
mod attempt_end;
mod backoff;
mod concurrency_limit;
mod context;
mod dispatch;
mod ejection;
mod finish;
mod hedge;
mod hedge_delay;
mod latency_average;
mod leaf_signals;
mod leaf_state;
mod leaf_table;
mod leaving;
mod query;
mod replica_choice;
mod restart;
mod retry_budget;
mod shard_progress;
mod snapshot_belief;
mod snapshot_choice;
mod timers;

pub mod counters;
pub mod engine;
pub mod event;
pub mod status;
pub mod tuning;

pub use counters::EngineCounters;
pub use engine::RootEngine;
pub use event::{AttemptResult, RateShare, RootAction, RootEvent, SendAttempt, StartQuery};
pub use status::{EngineStatus, LeafStatus};
pub use tuning::{EngineTuning, ReplicaChoice};
