//! Which queries over shards are refused at once while leafs are short of capacity.
//!
//! When the sound leafs of several shards are asked for more than they bear, each of them refuses or
//! delays a part of the requests, and different parts are missing from every query: hardly any has
//! enough of them in time, although the leafs work without a pause. Fewer queries, each of them
//! whole, are worth more. So a daemon that sees queries miss their objective while leafs refuse parts
//! as full admits a smaller share of them, and raises the share as queries succeed or time passes.
//!
//! Invariants: a caller that has come back after a refusal is never refused again; the share never
//! falls below [`LEAST_SHARE`], so that the effect of admitting fewer is always measured, and queries
//! go on where the cause is another.

use std::time::Duration;
use tansylead_types::Moment;

/// Factor of the share after a query that missed its objective while leafs refused its parts. A
/// fall by a fifth and a rise by as much keep the full share while half of the queries are in time;
/// faster falls and slower rises refused too many (measured on the users' bench, docs/POLICY.md).
const DECREASE: f64 = 0.8;
/// Added to the share after a query in time.
const INCREASE: f64 = 0.2;
/// Added to the share in each second without any evidence: a whole share is back 14 s after the last
/// query, at the latest.
const RECOVERY_PER_SECOND: f64 = 0.05;
/// Least share of the queries that is admitted. Tries at 0.2 and 0.4 changed other figures too; it was
/// not measured by itself.
const LEAST_SHARE: f64 = 0.3;
/// A caller that waits for less than this share of the longest time seen has waited before: callers
/// come back after up to a third of their time.
const FIRST_TIME_SHARE: f64 = 0.9;
/// Factor of the longest time seen in each second: half of it is forgotten in 140 s, since the
/// callers' time-outs may become shorter.
const LONGEST_DECAY_PER_SECOND: f64 = 0.995;

/// A change of what is admitted that is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionChange {
    /// From now on a part of the queries is refused.
    Lowered,
    /// From now on all queries are admitted.
    Restored,
}

impl AdmissionChange {
    /// Name, for logs.
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
    /// Whether lowering the share was told, and restoring it was not yet.
    is_lowered: bool,
    /// When the share was last brought up to date.
    updated_at: Moment,
    /// The longest time that a caller has waited for an answer, lately.
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
    /// Whether a query is admitted whose caller waits for `time_left`. `random` lies in 0 to 1.
    pub fn admits(&mut self, now: Moment, time_left: Duration, random: f64) -> bool {
        self.recover(now);
        self.longest_time_left = self.longest_time_left.max(time_left);
        let has_waited = time_left < self.longest_time_left.mul_f64(FIRST_TIME_SHARE);
        has_waited || random < self.share
    }

    /// Notes a query that had enough parts within its objective.
    pub fn on_timely(&mut self, now: Moment) -> Option<AdmissionChange> {
        self.recover(now);
        self.share = (self.share + INCREASE).min(1.0);
        let is_restored = self.is_lowered && self.share >= 1.0;
        self.is_lowered &= !is_restored;
        is_restored.then_some(AdmissionChange::Restored)
    }

    /// Notes a query that missed its objective while leafs refused parts of it as full.
    pub fn on_overload(&mut self, now: Moment) -> Option<AdmissionChange> {
        self.recover(now);
        self.share = (self.share * DECREASE).max(LEAST_SHARE);
        let is_news = !std::mem::replace(&mut self.is_lowered, true);
        is_news.then_some(AdmissionChange::Lowered)
    }

    fn recover(&mut self, now: Moment) {
        let seconds = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.share = (self.share + seconds * RECOVERY_PER_SECOND).min(1.0);
        let decay = LONGEST_DECAY_PER_SECOND.powf(seconds);
        self.longest_time_left = self.longest_time_left.mul_f64(decay);
    }
}
