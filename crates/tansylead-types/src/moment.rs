//! Time as plain values, so that daemon, simulation and fuzzers can run the same code.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// A reading of a monotonic clock that counts suspended time, in microseconds since an origin
/// that is fixed for the life of one process (or of one simulation).
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment `millis` milliseconds after the origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;
    fn add(self, duration: Duration) -> Moment {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;
    fn sub(self, duration: Duration) -> Moment {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_sub(micros))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);
