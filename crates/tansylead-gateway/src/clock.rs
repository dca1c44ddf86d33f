//! The clock on which all decisions are based, and waits that follow it. Wall-clock time is not used for
//! decisions: it jumps on some machines.
//!
//! A machine may be suspended for seconds. This clock counts that time, so that stored data has the same age as
//! at other daemons. The timers of the runtime do not count it, so waits are re-evaluated after a suspension.

use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::Moment;
use tokio::sync::Notify;

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// A task that wakes up this much later than its timer shows that the process did not run: well above the delays
/// of a busy processor, well below the times for which daemons rely on the data they hold.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

thread_local! {
    /// Wakes waits after the process did not run. All tasks of a daemon run on one thread.
    static RESUMED: Rc<Notify> = Rc::default();
}

/// Reads the clock, which continues while the machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

/// The deadline has passed before the future completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeadlineElapsed;

impl Clock {
    /// The current moment.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec / NANOS_PER_MICRO).unwrap_or(0);
        Moment(seconds * MICROS_PER_SECOND + micros)
    }

    /// Time left until a moment; zero once it has passed.
    pub fn time_left(self, moment: Moment) -> Duration {
        moment.since(self.now())
    }

    /// Waits until a moment, also if the machine is suspended in between.
    pub async fn sleep_until(self, moment: Moment) {
        loop {
            let left = self.time_left(moment);
            if wait(left).await == Wait::Elapsed {
                return;
            }
        }
    }

    /// Waits for `future`, at most until a moment.
    pub async fn timeout_at<F: Future>(
        self,
        moment: Moment,
        future: F,
    ) -> Result<F::Output, DeadlineElapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(moment) => Err(DeadlineElapsed),
        }
    }

    /// Records how late a task woke up by this clock. Returns whether the process did not run meanwhile; if so,
    /// all waits are re-evaluated.
    pub fn record_lag(self, lag: Duration) -> bool {
        let is_pause = lag >= PAUSE_LIMIT;
        if is_pause {
            RESUMED.with(|resumed| resumed.notify_waiters());
        }
        is_pause
    }
}

/// How a wait on the runtime's timers ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    Elapsed,
    /// The process did not run for a while: less time may be left than on the timer.
    Resumed,
}

async fn wait(time: Duration) -> Wait {
    let resumed = RESUMED.with(Rc::clone);
    tokio::select! {
        biased;
        () = tokio::time::sleep(time) => Wait::Elapsed,
        () = resumed.notified() => Wait::Resumed,
    }
}
