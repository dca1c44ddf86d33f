//! Counts events over a sliding window that is divided into buckets.

use std::time::Duration;
use tansylead_types::Moment;

/// Number of buckets in a window.
const BUCKETS: u64 = 10;
/// One bucket more than in a window, so that the whole window is always covered.
const SLOTS: usize = BUCKETS as usize + 1;

/// Number of events in the last window and up to one bucket before it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlidingCount {
    /// Length of a bucket.
    bucket: Duration,
    /// Number of the newest bucket with events.
    newest: u64,
    counts: [u32; SLOTS],
}

impl SlidingCount {
    /// Creates an empty count over a window of this length.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            bucket: (window / BUCKETS as u32).max(Duration::from_millis(1)),
            newest: 0,
            counts: [0; SLOTS],
        }
    }

    /// Counts an event.
    pub(crate) fn add(&mut self, now: Moment) {
        let number = self.bucket_number(now);
        // Slots of the buckets after the newest one still hold counts of an earlier window.
        let new_buckets = number.saturating_sub(self.newest).min(SLOTS as u64);
        for offset in 0..new_buckets {
            self.counts[slot(number - offset)] = 0;
        }
        self.newest = self.newest.max(number);
        self.counts[slot(number)] += 1;
    }

    /// Number of events in the window that ends now.
    pub(crate) fn sum(&self, now: Moment) -> u32 {
        let number = self.bucket_number(now);
        let oldest = number.saturating_sub(BUCKETS);
        let stored = self.newest.saturating_sub(BUCKETS)..=self.newest;
        let in_window = stored.filter(|bucket| *bucket >= oldest);
        in_window.map(|bucket| self.counts[slot(bucket)]).sum()
    }

    /// Number of the bucket that contains `now`. Numbers start above the number of buckets, so that
    /// empty buckets never count as recent.
    fn bucket_number(&self, now: Moment) -> u64 {
        now.0 / self.bucket.as_micros() as u64 + SLOTS as u64
    }
}

fn slot(number: u64) -> usize {
    (number % SLOTS as u64) as usize
}
