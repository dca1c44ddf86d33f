//! Sans-I/O decisions on routed requests.
//!
//! A routed request is opaque: method, path, headers and body go to a leaf unchanged, and its
//! answer comes back unchanged; or it goes to one leaf of each shard of a set, and the greatest
//! records of all parts come back. This crate decides where a request goes, when another attempt
//! is worth its cost, and when to answer. It opens no socket and reads no clock.

mod breaker;
mod budget;
mod cold_leaf;
mod configuration;
mod connect_backoff;
mod connection_share;
mod connection_silence;
mod departed_leafs;
mod directory;
mod evacuated_zones;
mod failure_rate;
mod first_read_pace;
mod home_regions;
mod idle_policy;
mod latency;
mod leaf;
mod leaf_choice;
mod leaf_report;
mod listing;
mod patience;
mod quarantine;
mod query_admission;
mod query_roots;
mod records;
mod retry_after;
mod revision;
mod roll_out;
mod route_table;
mod sliding_count;
mod slowness;
mod weights;

pub use breaker::{Breaker, BreakerVerdict};
pub use budget::{BudgetSettings, ExtraAttempt, RetryBudget};
pub use cold_leaf::{ColdLeafLimit, cold_part};
pub use configuration::{
    CallerLimits, Configuration, Policy, Route, Service, ShardSet, Target, WeightedService,
};
pub use connect_backoff::ConnectBackoff;
pub use connection_share::{ConnectionShare, DaemonCounts, SharedLeaf};
pub use connection_silence::{ConnectionSilence, SilenceLimit};
pub use departed_leafs::DepartedLeafs;
pub use directory::{DirectoryChange, DirectoryDelta, LeafDirectory};
pub use evacuated_zones::{EvacuatedZones, EvacuationOrders};
pub use failure_rate::FailureRate;
pub use first_read_pace::FirstReadPace;
pub use home_regions::HomeRegions;
pub use idle_policy::{IdlePolicy, SHORTEST_FORGOTTEN_REST};
pub use latency::LatencyProfile;
pub use leaf::{Distance, LeafEntry, LeafLocation, LeafPhase, LeafRun, Locality, RunStart};
pub use leaf_choice::{Candidate, choose_leaf};
pub use leaf_report::{LeafReport, ReportedSilence};
pub use listing::{Listing, Standing};
pub use patience::Patience;
pub use quarantine::{
    FingerprintScope, MAXIMUM_RECORDS, Quarantine, QuarantineChange, QuarantineCounts,
    QuarantineRecord, RecentAnswers, RequestFingerprint, RequestFingerprints, RequestIdentity,
    Strike, Verdict,
};
pub use query_admission::{AdmissionChange, QueryAdmission};
pub use query_roots::{QueryRunners, RootCandidate, SharingKind, is_too_busy, query_roots};
pub use records::{RECORD_BYTES, Record, TopRecords};
pub use retry_after::{retry_after_outage, retry_after_refusal};
pub use revision::{Era, Revision};
pub use roll_out::{
    Conclusion, ConclusionReason, ExposureBounds, Grant, LATENCY_BUCKETS, LatencyCounts, OrderId,
    OrderMemory, RollOut, RollOutEvidence, RollOutReport, RollOutState, RollOutTrial, RollOuts,
    RollOutsMark, RouteEvidence, Stage, StateWrite, StateWriteEnd, TrialContext, TrialCounts,
    TrialVerdict, VersionCounts, VersionGate, VersionUse, WriteEnd, WriteFailure, WriteStep,
    route_hash,
};
pub use route_table::RouteTable;
pub use slowness::Slowness;
pub use weights::WeightedTurns;
