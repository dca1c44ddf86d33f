//! When a caller whose request was refused should retry.

use std::time::Duration;

/// A caller should retry after its time left divided by this if the end of an outage is unknown.
/// Callers wait no longer than that, and retry a few times at most, so an earlier retry would be
/// spent when it is less likely to be served.
const OUTAGE_DIVISOR: u32 = 3;
/// A caller should retry after the objective divided by this if leafs are full.
const FULL_LEAFS_DIVISOR: u32 = 4;

/// Wait before a retry during an outage of unknown length: configuration or leafs are not known yet,
/// or a service has no leaf. `time_left` is how long the caller waits.
pub fn retry_after_outage(time_left: Duration) -> Duration {
    time_left / OUTAGE_DIVISOR
}

/// Wait before a retry after leafs refused a request with this objective.
pub fn retry_after_refusal(objective: Duration) -> Duration {
    objective / FULL_LEAFS_DIVISOR
}
