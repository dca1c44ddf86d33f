//! Periods and limits of membership.

use std::time::Duration;

/// Periods and limits of membership; the defaults are for 2,000 daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSettings {
    /// Period of probes within the place.
    pub probe_period: Duration,
    /// Time to wait for a direct acknowledgement before helpers are asked.
    pub direct_timeout: Duration,
    /// Helpers asked to probe a silent member.
    pub indirect_probes: usize,
    /// A suspicion lasts this many probe periods, times the decimal logarithm of the place's size.
    pub suspicion_multiplier: f64,
    /// A record is sent this many times as an update, times the decimal logarithm of the cluster
    /// size.
    pub retransmit_multiplier: f64,
    /// Period of probes to each other place.
    pub remote_probe_period: Duration,
    /// A place that fails this many consecutive remote probes counts as unreachable.
    pub remote_failures: u32,
    /// Longest period of probes to an unreachable place.
    pub unreachable_probe_limit: Duration,
    /// Period of probes to failed members, one at a time.
    pub failed_probe_period: Duration,
    /// Failed members are remembered and probed this long.
    pub failed_retention: Duration,
    /// Members that left are remembered this long, so that old records do not revive them.
    pub left_retention: Duration,
    /// Members of an unreachable place are remembered this long after its last answer.
    pub unreachable_retention: Duration,
    /// Member tables that differ this long are compared page by page.
    pub mismatch_tolerance: Duration,
    /// Time between page requests.
    pub page_interval: Duration,
    /// Bytes of pages, summaries and queued updates sent per second in total. Surplus page requests
    /// are dropped, and retried at the same or another peer.
    pub bulk_bytes_per_second: u64,
    /// Summaries served per second; surplus requests are dropped, and retried at the same or
    /// another peer.
    pub summaries_served_per_second: u32,
    /// Bytes of queued updates sent per second.
    pub update_bytes_per_second: u64,
    /// Whether a daemon without seeds waits for a machine list before it counts as alone.
    pub expect_machine_list: bool,
    /// Shortest period of join attempts; also the basis of the period at which seeds that are not
    /// members are contacted.
    pub join_period: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        const HOUR: Duration = Duration::from_secs(3_600);
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_multiplier: 2.0,
            retransmit_multiplier: 4.0,
            remote_probe_period: Duration::from_secs(5),
            remote_failures: 3,
            unreachable_probe_limit: Duration::from_secs(30),
            failed_probe_period: Duration::from_secs(5),
            failed_retention: 72 * HOUR,
            left_retention: HOUR,
            unreachable_retention: 72 * HOUR,
            mismatch_tolerance: Duration::from_secs(10),
            page_interval: Duration::from_millis(125),
            bulk_bytes_per_second: 9_500,
            summaries_served_per_second: 5,
            update_bytes_per_second: 3_000,
            expect_machine_list: false,
            join_period: Duration::from_millis(500),
        }
    }
}
