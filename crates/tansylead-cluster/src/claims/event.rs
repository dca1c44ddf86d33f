//! Input of a claim member: clock readings, views and responses.

use super::message::ClaimResponse;
use tansylead_types::{ClaimView, InstanceId, Moment, WallTime};

/// Readings of both clocks. The wall clock must be read first: if the process is paused between
/// the two readings, accepted expiries are then bounded by a time when the lease was still valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTime {
    /// Monotonic clock that counts suspended time.
    pub now: Moment,
    /// Wall clock.
    pub wall: WallTime,
}

impl ClaimTime {
    /// Reads both clocks in the safe order.
    pub fn read(wall: impl FnOnce() -> WallTime, now: impl FnOnce() -> Moment) -> Self {
        let wall = wall();
        let now = now();
        Self { now, wall }
    }
}

/// Events that a member handles in addition to requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimMemberEvent {
    /// The configuration holds this view at this generation of its object.
    ViewLearned {
        /// The view.
        view: ClaimView,
        /// Generation of the stored object; equals the epoch unless the object was deleted, or
        /// the store was restored and the view is being written again.
        generation: u64,
    },
    /// A response to a request that this member sent to the instance `asked`.
    Response {
        /// The instance that was asked.
        asked: InstanceId,
        /// The response that came from its address.
        response: ClaimResponse,
    },
    /// The time returned by [`ClaimMember::next_wakeup`] has been reached.
    Wakeup,
}
