//! Sans-I/O decisions on routed requests.
//!
//! A routed request is opaque. Either its method, path, headers and body go to one leaf unchanged
//! and the answer comes back unchanged, or it goes to one leaf of each shard of a set and the
//! greatest records of all parts come back. This crate decides where a request goes, when another
//! attempt is worth its cost, and when to answer. It opens no socket and reads no clock.

mod answer_deadlines;
mod breaker;
mod budget;
mod caller_memory;
mod cold_leaf;
mod configuration;
mod connect_backoff;
mod connection_relief;
mod connection_share;
mod connection_silence;
mod directory;
mod directory_log;
mod entry_state;
mod evacuated_zones;
mod failure_rate;
mod first_read_backoff;
mod home_regions;
mod idle_policy;
mod latency;
mod leaf;
mod leaf_choice;
mod leaf_report;
mod list_position;
mod quarantine;
mod query_admission;
mod query_roots;
mod records;
mod removed_leafs;
mod retry_after;
mod revision;
mod roll_out;
mod route_table;
mod sliding_count;
mod slowness;
mod transfer_progress;
mod weighted_round_robin;

pub use answer_deadlines::AnswerDeadlines;
pub use breaker::{Breaker, BreakerVerdict};
pub use budget::{BudgetSettings, ExtraAttempt, RetryBudget};
pub use caller_memory::{CallerMemoryLimits, MemoryPressure, MemoryUse};
pub use cold_leaf::{ColdLeafLimit, cold_share};
pub use configuration::{
    CallerLimits, Configuration, Policy, Route, Service, ShardSet, Target, WeightedService,
};
pub use connect_backoff::ConnectBackoff;
pub use connection_relief::{
    ConnectionUse, ReliefCandidate, connection_to_replace, connections_to_end,
};
pub use connection_share::{ConnectionShare, DaemonCounts, SharedLeaf};
pub use connection_silence::{ConnectionSilence, SilenceLimit};
pub use directory::{DirectoryChange, DirectoryDelta, LeafDirectory};
pub use entry_state::{Eligibility, EntryState};
pub use evacuated_zones::{EvacuatedZones, EvacuationOrders};
pub use failure_rate::FailureRate;
pub use first_read_backoff::FirstReadBackoff;
pub use home_regions::HomeRegions;
pub use idle_policy::{IdlePolicy, SHORTEST_IDLE_RESET};
pub use latency::LatencyProfile;
pub use leaf::{Distance, LeafEntry, LeafLocation, LeafPhase, LeafRun, Locality, RunStart};
pub use leaf_choice::{Candidate, choose_leaf};
pub use leaf_report::{LeafReport, ReportedSilence};
pub use list_position::ListPosition;
pub use quarantine::{
    DecidedQuarantine, FingerprintScope, MAXIMUM_RECORDS, Quarantine, QuarantineChange,
    QuarantineCounts, QuarantineEvidence, QuarantineRecord, RecentAnswers, RequestFingerprint,
    RequestFingerprints, RequestIdentity, Strike, Verdict,
};
pub use query_admission::{AdmissionChange, QueryAdmission};
pub use query_roots::{QueryRunners, RootCandidate, SharingGroup, is_too_busy, query_roots};
pub use records::{RECORD_BYTES, Record, TopRecords};
pub use removed_leafs::RemovedLeafs;
pub use retry_after::{retry_after_outage, retry_after_refusal};
pub use revision::{Era, Revision};
pub use roll_out::{
    Conclusion, ConclusionReason, ExposureBounds, Grant, LATENCY_BUCKETS, LatencyCounts, OrderId,
    OrderMemory, RollOut, RollOutEvidence, RollOutReport, RollOutState, RollOutTrial, RollOuts,
    RollOutsMark, RouteEvidence, ShiftWait, Stage, StateWrite, StateWriteEnd, TrialContext,
    TrialCounts, TrialVerdict, VersionCounts, VersionGate, VersionUse, WriteEnd, WriteFailure,
    WriteStep, route_hash,
};
pub use route_table::RouteTable;
pub use slowness::Slowness;
pub use transfer_progress::{TRANSFER_GRACE, TransferProgress};
pub use weighted_round_robin::WeightedRoundRobin;
