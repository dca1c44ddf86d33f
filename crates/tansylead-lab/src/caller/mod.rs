//! A caller of the system: sends queries over HTTP, tries another daemon where that is safe, and
//! checks every answer against what a correct one must be.
//!
//! This is the only module of the lab that knows the callers' HTTP interface. It shares no code
//! with the daemon, so that a mistake there cannot hide here.

pub mod answer;
pub mod check;
pub mod client;
pub mod shards;
pub mod statistics;
pub mod traffic;
pub mod verify;

pub use answer::{CallerAnswer, CallerRefusal, CallerReply, CallerResult};
pub use check::{AnswerFault, check_reply};
pub use client::{Asked, CallerClient, CallerRequest, ExchangeFailure, NonRepeatableKey, Sending};
pub use shards::ShardLists;
pub use statistics::{FigureCollector, Figures};
pub use traffic::{DaemonAddress, QueryRecord, Traffic, TrafficPlan};
pub use verify::{ExecutionCounts, Violation, violations};
