//! Roll-outs: a service is moved to leafs of another software version, under trial first.
//!
//! The leafs of the target version run beside the old ones. They get a bounded part of the service's
//! requests while their answers are compared with those of the old leafs; then either all requests move
//! over, or the target version gets nothing any more. Nothing here opens a socket or reads a clock.

mod evidence;
mod grant;
mod order;
mod state_write;
mod trial;
mod version_gate;
mod version_memory;

pub use evidence::{
    LATENCY_BUCKETS, LatencyCounts, RollOutEvidence, RouteEvidence, VersionCounts, route_hash,
};
pub use grant::{Grant, Stage};
pub use order::{OrderId, RollOut, RollOutState, RollOuts, RollOutsMark};
pub use state_write::{StateWrite, StateWriteEnd, WriteEnd, WriteFailure, WriteStep};
pub use trial::{
    Conclusion, ConclusionReason, ExposureBounds, RollOutReport, RollOutTrial, TrialContext,
    TrialVerdict,
};
pub use version_gate::{VersionGate, VersionUse};
