//! Roll-outs in this daemon: which leafs a request may use by their version, what is seen of both sides,
//! and the judges that conclude.

mod context;
mod evidence_log;
mod metrics;
mod running_sends;
mod service_versions;
mod version_send;

pub use context::RollOutContext;
pub use metrics::RollOutMetrics;
pub use service_versions::ServiceVersions;
pub use version_send::{SendEnd, SendTarget, SendTerms, VersionSend};
