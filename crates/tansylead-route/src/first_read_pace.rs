//! How often a daemon that knows nothing yet asks the source again.
//!
//! Nothing can be served before the source has answered, so the wait stays short beside the length
//! of the outage; it grows, so that many daemons do not burden a source that is down for long.

use std::time::Duration;

/// Wait after the first read.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// Growth of the wait from one read to the next.
const GROWTH: f64 = 1.15;
/// Longest wait.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Waits vary by this share to either side, so that daemons that start together spread out.
const JITTER: f64 = 0.3;

/// The pace of a daemon's first reads of one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstReadPace {
    wait: Duration,
}

impl Default for FirstReadPace {
    fn default() -> Self {
        Self { wait: FIRST_WAIT }
    }
}

impl FirstReadPace {
    /// Wait until the next read; `random` lies between 0 and 1.
    pub fn next_wait(&mut self, random: f64) -> Duration {
        let factor = 1.0 + JITTER * (2.0 * random - 1.0);
        let wait = self.wait.mul_f64(factor);
        self.wait = self.wait.mul_f64(GROWTH).min(LONGEST_WAIT);
        wait
    }
}
