//! Measures the recent average rate of an event.

use std::time::Duration;
use tansylead_types::Moment;

/// Minimum time over which a rate is measured.
const MINIMUM_WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest window in the average.
const NEWEST_WEIGHT: f64 = 0.5;

/// An average rate, in events per second.
#[derive(Debug, Clone)]
pub(super) struct RateMeter {
    window_start: Moment,
    events: u32,
    average: f64,
}

impl RateMeter {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            window_start: now,
            events: 0,
            average: 0.0,
        }
    }

    /// Counts one event.
    pub(super) fn count(&mut self) {
        self.events += 1;
    }

    /// The average, up to the last complete window.
    pub(super) fn per_second(&mut self, now: Moment) -> f64 {
        let elapsed = now.since(self.window_start);
        if elapsed >= MINIMUM_WINDOW {
            let newest = f64::from(self.events) / elapsed.as_secs_f64();
            self.average += NEWEST_WEIGHT * (newest - self.average);
            self.events = 0;
            self.window_start = now;
        }
        self.average
    }
}
