//! Leafs that are cold: for some time after a start, or at any time later, a leaf works slowly and
//! bears few requests. What all daemons together send to it is bounded meanwhile.
//!
//! The bound holds without coordination: each daemon takes its whole part of the requests of a
//! second, by the same line of daemons that shares connections, and the parts add up to no more than
//! [`USED_SHARE`] of what the leaf bears.

use crate::connection_share::DaemonCounts;
use crate::sliding_count::SlidingCount;
use std::time::Duration;
use tansylead_types::{LeafId, Moment, PlaceName};

/// Share of what a cold leaf bears that all daemons together send. The rest is for daemons that
/// others do not know of yet, and for those that have not learned that the leaf is cold.
const USED_SHARE: f64 = 0.8;
/// The bound is one on each second.
const WINDOW: Duration = Duration::from_secs(1);

/// Bound on this daemon's requests to one leaf while the leaf is cold.
#[derive(Debug, Clone, Copy)]
pub struct ColdLeafLimit {
    cold_until: Moment,
    /// Requests in any second; none if a cold leaf bears as much as any other.
    part: Option<u32>,
    sent: SlidingCount,
}

impl Default for ColdLeafLimit {
    /// A leaf that is not cold.
    fn default() -> Self {
        Self {
            cold_until: Moment(0),
            part: None,
            sent: SlidingCount::new(WINDOW),
        }
    }
}

impl ColdLeafLimit {
    /// Sets this daemon's part of the requests of a second; none if there is no bound.
    pub fn set_part(&mut self, part: Option<u32>) {
        self.part = part;
    }

    /// Notes that the leaf said at most now that it stays cold for `left`. What it says last holds.
    pub fn on_told(&mut self, now: Moment, left: Duration) {
        self.cold_until = now + left;
    }

    /// Whether the leaf is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether a request may be sent now.
    pub fn has_room(&self, now: Moment) -> bool {
        match self.part {
            Some(part) if self.is_cold(now) => self.sent.sum(now) < part,
            _ => true,
        }
    }

    /// Notes that a request is sent.
    pub fn on_sent(&mut self, now: Moment) {
        self.sent.add(now);
    }
}

/// The part of a daemon in `own_region` of the `per_second` requests that a cold leaf bears from all
/// daemons together; 0 where there are more daemons than requests.
pub fn cold_part(
    leaf: &LeafId,
    per_second: f64,
    own_region: &PlaceName,
    daemons: &DaemonCounts,
) -> u32 {
    let every_daemon = |_: &PlaceName| 1.0;
    daemons.part(per_second * USED_SHARE, own_region, every_daemon, leaf)
}
