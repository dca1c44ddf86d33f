//! The clock that decides, and waits that follow it. The time of day decides nothing here: it jumps on some
//! machines.
//!
//! A machine may be suspended for seconds. This clock counts that time, so that everything remembered is as old
//! as it is for the others; the timers of the runtime do not, so waits are looked at again once it is noticed.

use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::Moment;
use tokio::sync::Notify;

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// A task that is this much later than its timer says that the process did not run: well above what a busy
/// processor causes, well below the times for which daemons rely on what they know.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

thread_local! {
    /// Wakes waits after the process did not run. All tasks of a daemon run on one thread.
    static RESUMED: Rc<Notify> = Rc::default();
}

/// Reads the clock, which goes on while the machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

/// A wait that ended without what was waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeIsUp;

impl Clock {
    /// Now.
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

    /// Waits until a moment, also if the machine is suspended meanwhile.
    pub async fn sleep_until(self, moment: Moment) {
        loop {
            let left = self.time_left(moment);
            if wait(left).await == Wait::Whole {
                return;
            }
        }
    }

    /// Waits for `future`, at most until a moment.
    pub async fn timeout_at<F: Future>(
        self,
        moment: Moment,
        future: F,
    ) -> Result<F::Output, TimeIsUp> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(moment) => Err(TimeIsUp),
        }
    }

    /// Notes how late a task is by this clock. Returns whether the process did not run meanwhile; waits are
    /// looked at again then.
    pub fn note_lag(self, lag: Duration) -> bool {
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
    Whole,
    /// The process did not run for a while: less may be left than the timer thinks.
    Resumed,
}

async fn wait(time: Duration) -> Wait {
    let resumed = RESUMED.with(Rc::clone);
    tokio::select! {
        biased;
        () = tokio::time::sleep(time) => Wait::Whole,
        () = resumed.notified() => Wait::Resumed,
    }
}
