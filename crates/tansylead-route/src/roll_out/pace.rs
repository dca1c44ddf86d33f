//! Pacing: how much of the allowance a roll-out may have spent at a given time.
//!
//! The trial spends evenly and leaves what the shift of all requests needs. A service with few requests needs little
//! for its shift, so more of the slack goes into its trial.

use super::exposure::Exposure;
use super::grant::Stage;
use std::time::Duration;

/// How long before the deadline the shift begins. Leaves time for a slow source, the loss of a judge or an
/// evaluation that finds too few answers.
const SHIFT_LEAD: Duration = Duration::from_millis(2_500);
/// In a short roll-out, the shift takes at most the duration divided by this.
const SHIFT_LEAD_DIVISOR: u32 = 4;
/// The trial leaves enough of the allowance to send all requests to the target version for this time: a report period
/// for the stage to arrive, the attempts in progress on old leafs, the report of their end and an evaluation, all
/// times two.
const SHIFT_SECONDS: f64 = 1.0;
/// Fewest sends that the trial leaves for the shift, so that there are answers under load to judge by.
const MINIMUM_SHIFT_SENDS: f64 = 28.0;
/// Shortest time that a shift can take.
const MINIMUM_SHIFT_SECONDS: f64 = 0.6;
/// How long before the deadline the judge must conclude: three evaluations, as attempts may still be in
/// progress on old leafs at the first, and a write.
const CONCLUSION_LEAD: Duration = Duration::from_millis(1_100);
/// How long before the deadline a shift stops collecting answers: one evaluation less, as the daemons have been without
/// attempts on old leafs already.
const SHIFT_END_LEAD: Duration = Duration::from_millis(850);
/// In a short roll-out, these leads are at most the duration divided by this.
const CONCLUSION_LEAD_DIVISOR: u32 = 10;
/// Time for which the allowance must still pay for all requests if a shift is to go on: an evaluation and the
/// reports before it.
const OBSERVATION_SECONDS: f64 = 0.3;
/// Part of the allowance that the trial may use at the expense of the shift, as long as a shift of the shortest time
/// remains possible.
const MINIMUM_TRIAL_PART: f64 = 0.25;

/// What may be spent at a given time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Stage in which tokens are handed out.
    pub(crate) stage: Stage,
    /// Most sends in all by now, including those that unused tokens allow.
    pub(crate) allowance: f64,
    /// Sends that should have been made by now.
    pub(crate) target: f64,
}

/// Progress of a roll-out towards its deadline.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Time since the order.
    pub(crate) elapsed: Duration,
    /// Time from the order to the deadline.
    pub(crate) duration: Duration,
    /// Requests so far, up to the deadline.
    pub(crate) requests: u64,
    /// Requests a second.
    pub(crate) rate: f64,
}

/// Time from the order to the start of the shift in a roll-out of this duration.
pub(crate) fn shift_start(duration: Duration) -> Duration {
    duration - SHIFT_LEAD.min(duration / SHIFT_LEAD_DIVISOR)
}

impl Progress {
    /// Time from the order to the start of the shift.
    pub(crate) fn shift_start(&self) -> Duration {
        shift_start(self.duration)
    }

    /// Whether it is time to conclude, so that the conclusion is written by the deadline.
    pub(crate) fn must_conclude(&self) -> bool {
        self.is_within_lead(CONCLUSION_LEAD)
    }

    fn is_within_lead(&self, lead: Duration) -> bool {
        let lead = lead.min(self.duration / CONCLUSION_LEAD_DIVISOR);
        self.elapsed >= self.duration.saturating_sub(lead)
    }

    /// Whether the remaining allowance is enough for a shift.
    pub(crate) fn has_allowance_for_shift(&self, exposure: &Exposure, used: f64) -> bool {
        self.remaining(exposure, used) >= self.rate * MINIMUM_SHIFT_SECONDS
    }

    /// Whether a shift that is done early can go on for a while, to collect more answers under load.
    pub(crate) fn can_extend_shift(&self, exposure: &Exposure, used: f64) -> bool {
        let must_end = self.is_within_lead(SHIFT_END_LEAD);
        !must_end && self.remaining(exposure, used) >= self.rate * OBSERVATION_SECONDS
    }

    fn remaining(&self, exposure: &Exposure, used: f64) -> f64 {
        exposure.allowance(self.requests as f64) - used
    }

    /// What may be spent now.
    pub(crate) fn pace(&self, stage: Stage, exposure: &Exposure) -> Pace {
        let allowance = exposure.allowance(self.requests as f64);
        let target = match stage {
            Stage::Shift => allowance,
            _ => self.trial_target(exposure),
        };
        Pace {
            stage,
            allowance,
            target,
        }
    }

    fn trial_target(&self, exposure: &Exposure) -> f64 {
        let shift_start = self.shift_start();
        let seconds_left = shift_start.saturating_sub(self.elapsed).as_secs_f64();
        let is_due = self.elapsed >= shift_start;
        let ahead = if is_due {
            0.0
        } else {
            seconds_left + MINIMUM_SHIFT_SECONDS
        };
        let allowance = exposure.allowance(self.requests as f64 + self.rate * ahead);
        let after_shift = allowance - (self.rate * SHIFT_SECONDS).max(MINIMUM_SHIFT_SENDS);
        let after_short = allowance - self.rate * MINIMUM_SHIFT_SECONDS;
        let budget = after_shift.max(after_short.min(allowance * MINIMUM_TRIAL_PART));
        let part = self.elapsed.as_secs_f64() / shift_start.as_secs_f64().max(f64::MIN_POSITIVE);
        budget.max(0.0) * part.min(1.0)
    }
}
