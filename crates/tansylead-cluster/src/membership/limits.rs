//! Rate limits on what a daemon sends, so that a burst of member updates or of joining daemons
//! stays within the bandwidth budget.

use tansylead_types::Moment;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Admits a bounded number of events in each second.
#[derive(Debug, Default)]
pub(super) struct EventLimit {
    second: u64,
    admitted: u32,
}

impl EventLimit {
    /// Whether one more event is admitted now.
    pub(super) fn admit(&mut self, now: Moment, per_second: u32) -> bool {
        let second = now.0 / MICROS_PER_SECOND;
        if second != self.second {
            self.second = second;
            self.admitted = 0;
        }
        let admits = self.admitted < per_second;
        self.admitted += u32::from(admits);
        admits
    }
}

/// A token bucket of bytes with a capacity of one second.
#[derive(Debug)]
pub(super) struct ByteLimit {
    bytes_per_second: u64,
    available: u64,
    refilled: Moment,
}

impl ByteLimit {
    pub(super) fn new(now: Moment, bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second,
            available: bytes_per_second,
            refilled: now,
        }
    }

    /// Bytes that may be sent now.
    pub(super) fn available(&mut self, now: Moment) -> usize {
        let elapsed = now.0.saturating_sub(self.refilled.0).min(MICROS_PER_SECOND);
        let refill = elapsed * self.bytes_per_second / MICROS_PER_SECOND;
        if refill > 0 {
            self.available = (self.available + refill).min(self.bytes_per_second);
            self.refilled = now;
        }
        usize::try_from(self.available).unwrap_or(usize::MAX)
    }

    /// Records bytes sent.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes as u64);
    }
}
