//! How much of the allowance a roll-out may have spent at a moment.
//!
//! The trial spends evenly, and leaves what the shift of all requests needs. A service with few requests
//! needs little for its shift, so more of the slack goes into its trial.

use super::exposure::Exposure;
use super::grant::Stage;
use std::time::Duration;

/// The shift begins so long before the deadline, so that a source that is slow, a judge that is lost or a
/// look that finds too little does not spoil it.
const SHIFT_LEAD: Duration = Duration::from_millis(2_500);
/// Of a short roll-out the shift takes no more than this part.
const SHIFT_LEAD_PART: u32 = 4;
/// Time of all requests that the trial leaves for the shift: a report period for the stage to arrive, what
/// runs on old leafs, the report of it and a look, and as much again.
const SHIFT_SECONDS: f64 = 1.0;
/// Sends that it leaves at least, so that there are answers under load to judge by.
const LEAST_SHIFT_SENDS: f64 = 28.0;
/// Least time that a shift can be done in.
const LEAST_SHIFT_SECONDS: f64 = 0.6;
/// The completion is concluded so long before the deadline: three looks, as some attempt may run on old
/// leafs at the first, and a write.
const TIME_TO_COMPLETE: Duration = Duration::from_millis(1_100);
/// Of a short roll-out this takes no more than this part.
const TIME_TO_COMPLETE_PART: u32 = 10;
/// Time of all requests that must be left for a shift that goes on: a look and the reports to it.
const SEE_SECONDS: f64 = 0.3;
/// Part of the allowance that the trial may use if not even a short shift leaves more.
const LEAST_TRIAL_PART: f64 = 0.25;

/// What may be spent at a moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Stage that tokens are handed out for.
    pub(crate) stage: Stage,
    /// Sends that may be made in all now, with tokens that may still be used.
    pub(crate) allowance: f64,
    /// Sends that should have been made by now.
    pub(crate) target: f64,
}

/// Where a roll-out stands.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Since the order.
    pub(crate) elapsed: Duration,
    /// From the order to the deadline.
    pub(crate) duration: Duration,
    /// Requests so far, up to the deadline.
    pub(crate) requests: u64,
    /// Requests a second.
    pub(crate) rate: f64,
}

/// When the shift of a roll-out of this duration begins, from the order on.
pub(crate) fn shift_begins(duration: Duration) -> Duration {
    duration - SHIFT_LEAD.min(duration / SHIFT_LEAD_PART)
}

impl Progress {
    /// When the shift begins, from the order on.
    pub(crate) fn shift_begins(&self) -> Duration {
        shift_begins(self.duration)
    }

    /// Whether it is time to conclude, so that what is concluded stands by the deadline.
    pub(crate) fn must_conclude(&self) -> bool {
        let to_complete = TIME_TO_COMPLETE.min(self.duration / TIME_TO_COMPLETE_PART);
        self.elapsed >= self.duration.saturating_sub(to_complete)
    }

    /// Whether what is left pays for a shift.
    pub(crate) fn has_room(&self, exposure: &Exposure, gone: f64) -> bool {
        self.left(exposure, gone) >= self.rate * LEAST_SHIFT_SECONDS
    }

    /// Whether a shift that is done in time can go on a little, so that more answers come under load.
    pub(crate) fn has_time_to_see(&self, exposure: &Exposure, gone: f64) -> bool {
        !self.must_conclude() && self.left(exposure, gone) >= self.rate * SEE_SECONDS
    }

    fn left(&self, exposure: &Exposure, gone: f64) -> f64 {
        exposure.allowance(self.requests as f64) - gone
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
        let begins = self.shift_begins();
        let seconds_left = begins.saturating_sub(self.elapsed).as_secs_f64();
        let is_due = self.elapsed >= begins;
        let ahead = if is_due {
            0.0
        } else {
            seconds_left + LEAST_SHIFT_SECONDS
        };
        let allowance = exposure.allowance(self.requests as f64 + self.rate * ahead);
        let after_shift = allowance - (self.rate * SHIFT_SECONDS).max(LEAST_SHIFT_SENDS);
        let after_short = allowance - self.rate * LEAST_SHIFT_SECONDS;
        let budget = after_shift.max(after_short.min(allowance * LEAST_TRIAL_PART));
        let part = self.elapsed.as_secs_f64() / begins.as_secs_f64().max(f64::MIN_POSITIVE);
        budget.max(0.0) * part.min(1.0)
    }
}
