//! Limits how often changes of the members are evaluated.
//!
//! Each evaluation goes over all members to find who watches the source, whom to poll, who runs queries and how
//! many daemons share limited resources. When many members join or leave at once, their changes are evaluated
//! together.

use std::time::Duration;
use tansylead_types::Moment;

/// Shortest time between two evaluations, times the number of members: the work grows with it, so that it takes
/// a bounded part of the processor in a fleet of any size.
const INTERVAL_PER_MEMBER: Duration = Duration::from_micros(200);

/// Whether changes wait for evaluation, and the earliest time of the next evaluation.
#[derive(Debug, Default)]
pub struct PublishThrottle {
    has_changes: bool,
    not_before: Moment,
}

impl PublishThrottle {
    /// Records a change.
    pub fn on_change(&mut self) {
        self.has_changes = true;
    }

    /// Records that the member table is complete, which is evaluated without delay.
    pub fn on_joined(&mut self) {
        *self = Self {
            has_changes: true,
            not_before: Moment::default(),
        };
    }

    /// When the pending changes are to be evaluated; none if there are none.
    pub fn due(&self) -> Option<Moment> {
        self.has_changes.then_some(self.not_before)
    }

    /// Records an evaluation of all changes with this number of members.
    pub fn on_published(&mut self, now: Moment, members: usize) {
        self.has_changes = false;
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        self.not_before = now + INTERVAL_PER_MEMBER.saturating_mul(members);
    }
}
