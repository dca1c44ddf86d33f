//! Roll-outs: a service is moved to leafs of another software version, under trial first.
//!
//! The leafs of the target version run beside the old ones. They get a bounded part of the service's
//! requests while their answers are compared with those of the old leafs; then either all requests move
//! over, or the target version gets nothing any more. Nothing here opens a socket or reads a clock.

mod conclusion;
mod cumulative_sum;
mod evidence;
mod exposure;
mod grant;
mod judgement;
mod leadership;
mod order;
mod order_memory;
mod pace;
mod reference;
mod report;
mod state_write;
mod totals;
mod trial;
mod verdict;
mod version_gate;
mod version_memory;

pub use evidence::{
    LATENCY_BUCKETS, LatencyCounts, RollOutEvidence, RouteEvidence, VersionCounts, route_hash,
};
pub use exposure::ExposureBounds;
pub use grant::{Grant, Stage};
pub use order::{OrderId, RollOut, RollOutState, RollOuts, RollOutsMark};
pub use order_memory::OrderMemory;
pub use report::RollOutReport;
pub use state_write::{StateWrite, StateWriteEnd, WriteEnd, WriteFailure, WriteStep};
pub use trial::RollOutTrial;
pub use verdict::{Conclusion, ConclusionReason, TrialContext, TrialCounts, TrialVerdict};
pub use version_gate::{VersionGate, VersionUse};
