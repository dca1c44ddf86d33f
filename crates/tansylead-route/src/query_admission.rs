//! Admission control of queries over shards: refuses some at once while leafs are overloaded.
//!
//! When the healthy leafs of several shards are overloaded, each of them refuses or delays a part of
//! the requests, and different parts are missing from every query: hardly any query has enough parts in
//! time, although the leafs are fully busy. Fewer queries with complete answers have more value. So a
//! daemon that sees queries miss their objective while full leafs refuse parts admits a smaller share
//! of them, and raises the share as queries succeed or time passes.
//!
//! Invariants: a caller that retries after a refusal is never refused again; the share never falls below
//! [`MINIMUM_SHARE`], so that the effect of admitting fewer is always observed, and queries continue if the
//! cause is a different one.

use std::time::Duration;
use tansylead_types::Moment;

/// Factor of the share after a query that missed its objective while leafs refused its parts. A
/// decrease by a fifth and an equal increase keep the full share while half of the queries are in time;
/// faster decreases and slower increases refused too many (docs/POLICY.md).
const DECREASE: f64 = 0.8;
/// Added to the share after a query in time.
const INCREASE: f64 = 0.2;
/// Added to the share in each second, also without any queries: the share is back at 1 at most 14 s
/// after the last query.
const RECOVERY_PER_SECOND: f64 = 0.05;
/// Minimum share of the queries that is admitted. Trials at 0.2 and 0.4 changed other constants as well,
/// so the effect of this one alone is unknown.
const MINIMUM_SHARE: f64 = 0.3;
/// A caller whose time left is below this share of the longest one seen is retrying: callers retry after
/// up to a third of their time.
const FIRST_ATTEMPT_SHARE: f64 = 0.9;
/// Factor of the longest time seen in each second: it halves in 140 s, since the callers' timeouts may
/// become shorter.
const LONGEST_DECAY_PER_SECOND: f64 = 0.995;

/// A change of the admission that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionChange {
    /// Some queries are refused from now on.
    Lowered,
    /// All queries are admitted from now on.
    Restored,
}

impl AdmissionChange {
    /// Name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Lowered => "lowered",
            Self::Restored => "restored",
        }
    }
}

/// Admission of the queries of one route.
#[derive(Debug, Clone, Copy)]
pub struct QueryAdmission {
    share: f64,
    /// Whether lowering the share was reported, and restoring it was not yet.
    is_lowered: bool,
    /// When the share was last updated.
    updated_at: Moment,
    /// Longest time left of a caller seen recently; it decays.
    longest_time_left: Duration,
}

impl Default for QueryAdmission {
    fn default() -> Self {
        Self {
            share: 1.0,
            is_lowered: false,
            updated_at: Moment::default(),
            longest_time_left: Duration::ZERO,
        }
    }
}

impl QueryAdmission {
    /// Whether to admit a query whose caller waits for `time_left`. `random` is in 0 to 1.
    pub fn admits(&mut self, now: Moment, time_left: Duration, random: f64) -> bool {
        self.recover(now);
        self.longest_time_left = self.longest_time_left.max(time_left);
        let is_retry = time_left < self.longest_time_left.mul_f64(FIRST_ATTEMPT_SHARE);
        is_retry || random < self.share
    }

    /// Records a query that had enough parts within its objective.
    pub fn on_timely(&mut self, now: Moment) -> Option<AdmissionChange> {
        self.recover(now);
        self.share = (self.share + INCREASE).min(1.0);
        let is_restored = self.is_lowered && self.share >= 1.0;
        self.is_lowered &= !is_restored;
        is_restored.then_some(AdmissionChange::Restored)
    }

    /// Records a query that missed its objective while full leafs refused parts of it.
    pub fn on_overload(&mut self, now: Moment) -> Option<AdmissionChange> {
        self.recover(now);
        self.share = (self.share * DECREASE).max(MINIMUM_SHARE);
        let is_newly_lowered = !std::mem::replace(&mut self.is_lowered, true);
        is_newly_lowered.then_some(AdmissionChange::Lowered)
    }

    fn recover(&mut self, now: Moment) {
        let seconds = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.share = (self.share + seconds * RECOVERY_PER_SECOND).min(1.0);
        let decay = LONGEST_DECAY_PER_SECOND.powf(seconds);
        self.longest_time_left = self.longest_time_left.mul_f64(decay);
    }
}
