//! When a caller whose request was refused should come back.

use std::time::Duration;

/// Part of the caller's time left after which it should come back if the end of an outage cannot be
/// foreseen. Callers wait no longer than this part, and repeat a request a few times at most, so an
/// earlier moment would spend a repetition where it is less likely to be served.
const OUTAGE_PART: u32 = 3;
/// Part of the objective after which a caller should come back to leafs that are full.
const FULL_LEAFS_PART: u32 = 4;

/// The moment to come back during an outage of unknown length: nothing is known yet of
/// configuration or leafs, or a service has no leaf. `time_left` is how long the caller waits.
pub fn retry_after_outage(time_left: Duration) -> Duration {
    time_left / OUTAGE_PART
}

/// The moment to come back to leafs that refused a request of this objective.
pub fn retry_after_refusal(objective: Duration) -> Duration {
    objective / FULL_LEAFS_PART
}
