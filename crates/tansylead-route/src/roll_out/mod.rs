//! Roll-outs, which move a service to leafs of another software version after a trial.
//!
//! The leafs of the target version run beside the old ones. In the trial they get a bounded share of the service's
//! requests, and their answers are compared with those of the old leafs. Then either all requests move to the target
//! version, or it is rolled back and gets no more requests. This module does no I/O and reads no clock.

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
pub use verdict::{
    Conclusion, ConclusionReason, ShiftWait, TrialContext, TrialCounts, TrialVerdict,
};
pub use version_gate::{VersionGate, VersionUse};
