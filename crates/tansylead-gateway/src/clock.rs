//! The steady clock. The time of day decides nothing here: it jumps on some machines.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;
use tansylead_types::Moment;
use tokio::time::Instant;

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Reads the steady clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Now, on the clock that timers use.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Monotonic);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec / NANOS_PER_MICRO).unwrap_or(0);
        Moment(seconds * MICROS_PER_SECOND + micros)
    }

    /// The timer instant that corresponds to a moment.
    pub fn instant_at(self, moment: Moment) -> Instant {
        Instant::now() + moment.since(self.now())
    }

    /// Time left until a moment; zero once it has passed.
    pub fn time_left(self, moment: Moment) -> Duration {
        moment.since(self.now())
    }
}
