//! Identifiers, messages, errors, settings and table schema shared by all tansylead crates.
//!
//! Nothing here performs I/O or reads a clock. Times are passed in as [`Moment`] (monotonic)
//! or [`WallTime`] (wall clock, only for table hours and request expiry).

pub mod answer;
pub mod cluster;
pub mod config;
pub mod error;
pub mod ids;
pub mod in_force;
pub mod leaf;
pub mod moment;
pub mod request;
pub mod settings;
pub mod store;
pub mod table;

pub use answer::{Coverage, MissingReason, MissingShard, Outcome, QueryAnswer, ShardResult};
pub use cluster::{InstanceId, NodeId};
pub use config::{
    ClaimView, ClaimViewMember, ConfigObject, EarlierClaimView, LeafDescriptor, ObjectKey,
    ServiceDefinition, ServicePlacement, ServicePolicy, ShardReplicas, Snapshot, StoredObject,
    WaitPolicy,
};
pub use error::{PeerAddress, StepError, text_with_sources};
pub use ids::{
    AttemptId, ChangeId, IdempotencyKey, LeafId, PlaceName, QueryId, RequestId, ServiceName,
    ShardId, SnapshotVersion, SoftwareVersion, ZoneName,
};
pub use in_force::InForceAnswer;
pub use moment::{Moment, WallTime};
pub use request::{QueryRequest, Repeatability};
pub use settings::Settings;
pub use table::{HourRange, TableChange, TableRow, TrafficTable};
