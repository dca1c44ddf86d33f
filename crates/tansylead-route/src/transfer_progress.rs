//! How a transfer gets on, compared with the slowest rate that does not count as stalled.

use std::time::Duration;
use tansylead_types::Moment;

/// A transfer may pause for so long, at its start or after it was fast.
pub const TRANSFER_GRACE: Duration = Duration::from_secs(2);

/// Progress of one transfer.
///
/// Each byte puts off the moment from which the transfer counts as stalled by the time that it takes at the slowest
/// rate. So one moment tells both whether a transfer has stalled, and which of several is furthest behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferProgress {
    stalled_from: Moment,
}

impl TransferProgress {
    /// A transfer that starts now.
    pub fn start(now: Moment) -> Self {
        Self {
            stalled_from: now + TRANSFER_GRACE,
        }
    }

    /// Records bytes that were transferred; `bytes_per_second` is the slowest rate.
    pub fn on_bytes(&mut self, now: Moment, bytes: usize, bytes_per_second: f64) {
        // Rates below one byte a second cannot be told from none.
        let seconds = bytes as f64 / bytes_per_second.max(1.0);
        let gained = Duration::from_secs_f64(seconds).min(TRANSFER_GRACE);
        self.stalled_from = (self.stalled_from + gained).min(now + TRANSFER_GRACE);
    }

    /// From when on it counts as stalled.
    pub fn stalled_from(self) -> Moment {
        self.stalled_from
    }
}
