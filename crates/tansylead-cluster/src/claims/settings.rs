//! Time limits and sizes of the claim machines, with the defaults that the design note argues for.

use std::time::Duration;
use tansylead_types::settings::TimingSettings;

/// Largest rate error of a monotonic clock that is allowed for, in parts per thousand.
const MAXIMUM_CLOCK_DRIFT_PER_MILLE: u32 = 2;

/// Time limits and sizes of the claim machines. All daemons of a cluster must use the same values.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimSettings {
    /// Longest time from a claim to its expiry.
    pub longest_expiry: Duration,
    /// Largest difference between the wall clocks of any two daemons or leafs.
    pub clock_skew: Duration,
    /// A member grants only if a majority of its view acknowledged a heartbeat sent within this.
    pub lease: Duration,
    /// Period of a member's heartbeats to the other members.
    pub heartbeat_period: Duration,
    /// A request to copy claims is sent again after this time without an answer.
    pub copy_retry: Duration,
    /// A requester counts a member as silent after this time.
    pub vote_timeout: Duration,
    /// Attempts of one requester when ballots split.
    pub maximum_attempts: u32,
    /// Pause of the first in line before its second attempt; others pause longer. It doubles with
    /// each further attempt.
    pub split_backoff: Duration,
    /// Most claims a member holds; above this it refuses new ones.
    pub maximum_claims: usize,
    /// Most claims in one message that copies claims.
    pub copy_page_claims: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self::from_timing(&TimingSettings::default())
    }
}

impl ClaimSettings {
    /// Settings that follow the daemon's time limits.
    pub fn from_timing(timing: &TimingSettings) -> Self {
        Self {
            longest_expiry: Duration::from_millis(timing.longest_expiry_millis),
            clock_skew: Duration::from_millis(timing.clock_skew_millis),
            lease: Duration::from_secs(6),
            heartbeat_period: Duration::from_secs(2),
            copy_retry: Duration::from_secs(1),
            vote_timeout: Duration::from_millis(250),
            maximum_attempts: 4,
            split_backoff: Duration::from_millis(30),
            maximum_claims: 200_000,
            copy_page_claims: 1_000,
        }
    }

    /// Time after a majority of a view is known to be sealed or dead until every claim granted in
    /// that view has expired on every wall clock: the last lease, the longest expiry and the skew
    /// twice (once when the member accepted the expiry, once when the leaf checks it), stretched
    /// by the drift of both clocks.
    pub fn wait_for_earlier_claims(&self) -> Duration {
        let exact = self.lease + self.longest_expiry + self.clock_skew * 2;
        exact + exact * (2 * MAXIMUM_CLOCK_DRIFT_PER_MILLE) / 1_000
    }
}
