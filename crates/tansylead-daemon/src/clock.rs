//! The daemon's clocks: a monotonic clock that counts suspended time, and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tansylead_types::table::HOURS_PER_DAY;
use tansylead_types::{Moment, WallTime};
use tokio::time::Instant;

const NANOS_PER_MICRO: i64 = 1_000;
const MILLIS_PER_HOUR: u64 = 3_600_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Reads the clocks. Moments count from the boot of the machine, so all readers in a process agree.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Now, on a clock that goes on while the machine is suspended or the process is stopped.
    pub fn now(self) -> Moment {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec / NANOS_PER_MICRO).unwrap_or(0);
        Moment(seconds * MICROS_PER_SECOND + micros)
    }

    /// Now, on the wall clock. Only for hours of the table and expiry of requests.
    pub fn wall(self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.unwrap_or(Duration::ZERO).as_millis();
        WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Hour of the day, UTC.
    pub fn hour_of_day(self) -> u8 {
        let hour = (self.wall().0 / MILLIS_PER_HOUR) % u64::from(HOURS_PER_DAY);
        u8::try_from(hour).unwrap_or(0)
    }

    /// Wall-clock microseconds, for the boot number of an instance.
    pub fn wall_micros(self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.unwrap_or(Duration::ZERO).as_micros();
        u64::try_from(micros).unwrap_or(u64::MAX)
    }

    /// The timer instant that corresponds to a moment.
    pub fn instant_at(self, moment: Moment) -> Instant {
        Instant::now() + moment.since(self.now())
    }

    /// Time left until a moment; zero once it has passed.
    pub fn time_left(self, deadline: Moment) -> Duration {
        deadline.since(self.now())
    }
}
