//! The wall clock, which all processes of one machine share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    u64::try_from(since_epoch().as_micros()).unwrap_or(u64::MAX)
}
