//! Backoff between the reads of a daemon that has no data from the source yet.
//!
//! Nothing can be served before the source has answered, so the wait stays short relative to the
//! length of the outage. It grows so that many daemons do not overload a source that is down for long.

use std::time::Duration;

/// Wait after the first read.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// Growth of the wait from one read to the next.
const GROWTH: f64 = 1.15;
/// Longest wait.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Share by which waits vary in either direction, so that daemons that start together spread out.
const JITTER: f64 = 0.3;

/// Backoff between a daemon's first reads of one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstReadBackoff {
    wait: Duration,
}

impl Default for FirstReadBackoff {
    fn default() -> Self {
        Self { wait: FIRST_WAIT }
    }
}

impl FirstReadBackoff {
    /// Returns the wait until the next read and lengthens the one after it; `random` is in 0 to 1.
    pub fn next_wait(&mut self, random: f64) -> Duration {
        let factor = 1.0 + JITTER * (2.0 * random - 1.0);
        let wait = self.wait.mul_f64(factor);
        self.wait = self.wait.mul_f64(GROWTH).min(LONGEST_WAIT);
        wait
    }
}
