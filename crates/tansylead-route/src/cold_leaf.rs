//! Rate limit for cold leafs: for some time after a start, or at any time later, a leaf may be slow
//! and can take few requests. What all daemons together send to it is limited meanwhile.
//!
//! The limit holds without coordination: each daemon takes a whole number of requests per second,
//! by the same ordering of daemons that divides connections, and the shares add up to no more than
//! [`USED_SHARE`] of what the leaf can take.

use crate::connection_share::DaemonCounts;
use crate::sliding_count::SlidingCount;
use std::time::Duration;
use tansylead_types::{LeafId, Moment, PlaceName};

/// Share of a cold leaf's capacity that all daemons together use. The rest is headroom for daemons
/// that others do not know of yet, and for those that have not learned that the leaf is cold.
const USED_SHARE: f64 = 0.8;
/// The limit applies to every window of this length.
const WINDOW: Duration = Duration::from_secs(1);

/// Limit on this daemon's requests to one leaf while the leaf is cold.
#[derive(Debug, Clone, Copy)]
pub struct ColdLeafLimit {
    cold_until: Moment,
    /// Requests per second; none if a cold leaf can take as many as any other.
    share: Option<u32>,
    sent: SlidingCount,
}

impl Default for ColdLeafLimit {
    /// The limit of a leaf that is not cold.
    fn default() -> Self {
        Self {
            cold_until: Moment(0),
            share: None,
            sent: SlidingCount::new(WINDOW),
        }
    }
}

impl ColdLeafLimit {
    /// Sets this daemon's requests per second to the cold leaf; none if there is no limit.
    pub fn set_share(&mut self, share: Option<u32>) {
        self.share = share;
    }

    /// Records a report that the leaf stays cold for `left`. The latest report holds.
    pub fn on_reported_cold(&mut self, now: Moment, left: Duration) {
        self.cold_until = now + left;
    }

    /// Whether the leaf is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether a request may be sent now.
    pub fn has_room(&self, now: Moment) -> bool {
        match self.share {
            Some(share) if self.is_cold(now) => self.sent.sum(now) < share,
            _ => true,
        }
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Moment) {
        self.sent.add(now);
    }
}

/// Requests per second that a daemon in `own_region` may send to a cold leaf that takes `per_second`
/// from all daemons together. It is 0 for some where there are more daemons than requests.
pub fn cold_share(
    leaf: &LeafId,
    per_second: f64,
    own_region: &PlaceName,
    daemons: &DaemonCounts,
) -> u32 {
    let every_daemon = |_: &PlaceName| 1.0;
    daemons.share_of(per_second * USED_SHARE, own_region, every_daemon, leaf)
}
