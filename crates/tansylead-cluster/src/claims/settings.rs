//! Time limits and sizes of the claim state machines. The design note gives the reasons for the
//! defaults.

use std::time::Duration;
use tansylead_types::settings::TimingSettings;

/// Largest rate error of a monotonic clock that is tolerated, in parts per thousand.
const MAXIMUM_CLOCK_DRIFT_PER_MILLE: u32 = 2;

/// Time limits and sizes of the claim state machines. All daemons of a cluster must use the same
/// values.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimSettings {
    /// Longest time from a claim to its expiry.
    pub longest_expiry: Duration,
    /// Largest difference between the wall clocks of any two daemons or leafs.
    pub clock_skew: Duration,
    /// A member grants only if a majority of its view acknowledged a heartbeat sent within this
    /// time.
    pub lease: Duration,
    /// Period of a member's heartbeats to the other members.
    pub heartbeat_period: Duration,
    /// A request to copy claims is retried after this time without an answer.
    pub copy_retry: Duration,
    /// A requester counts a member as unresponsive after this time.
    pub vote_timeout: Duration,
    /// Attempts of one requester when the vote splits.
    pub maximum_attempts: u32,
    /// Backoff of the requester with the lowest instance before its second attempt; others back
    /// off longer. It doubles with each further attempt.
    pub split_backoff: Duration,
    /// Maximum number of claims a member holds; above this it refuses new ones.
    pub maximum_claims: usize,
    /// Maximum number of claims in one page of copied claims.
    pub copy_page_claims: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self::from_timing(&TimingSettings::default())
    }
}

impl ClaimSettings {
    /// Settings derived from the daemon's time limits.
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
    /// twice (once when the member accepted the expiry, once when the leaf checks it), extended
    /// by the drift of both clocks.
    pub fn wait_for_earlier_claims(&self) -> Duration {
        let without_drift = self.lease + self.longest_expiry + self.clock_skew * 2;
        without_drift + without_drift * (2 * MAXIMUM_CLOCK_DRIFT_PER_MILLE) / 1_000
    }
}
