//! Internal limits of the daemon that operators do not set. Tests shorten some of them.

use crate::peers::{PeerClientLimits, PeerServerLimits};
use std::time::Duration;
use tansylead_cluster::membership::MembershipSettings;
use tansylead_cluster::routing::ShareTiming;
use tansylead_cluster::spread::SpreadSettings;
use tansylead_query::EngineTuning;

/// Internal limits with defaults for production.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Mechanisms and sizes of the query engines; only experiments change them.
    pub engine: EngineTuning,
    /// Connections to each leaf, in use or idle, that a root tries to keep open ahead of need.
    pub warm_connections_per_leaf: usize,
    /// Time allowed for connecting to a leaf.
    pub leaf_connect_limit: Duration,
    /// Largest answer accepted from a leaf.
    pub maximum_leaf_answer_bytes: usize,
    /// How long the store may hold a watch request open.
    pub store_watch_wait: Duration,
    /// Membership, except for the periods that operators set.
    pub membership: MembershipSettings,
    /// Configuration spread.
    pub spread: SpreadSettings,
    /// Sharing of a limit among the roots of a place.
    pub share_timing: ShareTiming,
    /// Connections to peers.
    pub peer_client: PeerClientLimits,
    /// Connections from peers.
    pub peer_server: PeerServerLimits,
    /// Time subtracted from a query's deadline for the round trip to a root in the same place.
    pub forward_allowance_same_place: Duration,
    /// The same for a root in another place.
    pub forward_allowance_other_place: Duration,
    /// Maximum number of roots tried for one query.
    pub maximum_roots_tried: usize,
    /// Burst that admission allows, as a duration at the rate that the root may admit.
    pub admission_burst: Duration,
    /// Maximum number of queries waiting for one root; more are refused as not run.
    pub maximum_waiting_commands: usize,
    /// During a planned stop, idle connections are closed once no query has arrived for this long.
    pub drain_idle: Duration,
    /// Minimum duration of a planned stop, so that all frontends learn of it; longer than
    /// [`Tuning::drain_root_hold`].
    pub drain_minimum: Duration,
    /// Time into a planned stop after which new queries of callers are refused.
    pub drain_accept: Duration,
    /// During a planned stop, this daemon stays root for this long while peers learn of it; less
    /// than [`ShareTiming::longest_view_lag`].
    pub drain_root_hold: Duration,
    /// During a planned stop, how long this daemon waits for others to take over its claims.
    pub claim_handover_limit: Duration,
    /// Retry time used where no other is stated, for example without a configuration.
    pub default_retry_after: Duration,
    /// Time a caller may take to send its headers; idle connections are closed after it.
    pub header_read_limit: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            engine: EngineTuning::default(),
            warm_connections_per_leaf: 2,
            leaf_connect_limit: Duration::from_millis(250),
            maximum_leaf_answer_bytes: 4 * 1024 * 1024,
            store_watch_wait: Duration::from_secs(20),
            membership: MembershipSettings::default(),
            spread: SpreadSettings::default(),
            share_timing: ShareTiming::default(),
            peer_client: PeerClientLimits::default(),
            peer_server: PeerServerLimits::default(),
            forward_allowance_same_place: Duration::from_millis(8),
            forward_allowance_other_place: Duration::from_millis(40),
            maximum_roots_tried: 3,
            admission_burst: Duration::from_millis(100),
            maximum_waiting_commands: 4_096,
            drain_idle: Duration::from_secs(2),
            drain_minimum: Duration::from_secs(4),
            drain_accept: Duration::from_secs(10),
            drain_root_hold: Duration::from_secs(3),
            claim_handover_limit: Duration::from_secs(15),
            default_retry_after: Duration::from_millis(500),
            header_read_limit: Duration::from_secs(300),
        }
    }
}
