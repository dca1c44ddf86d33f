//! When changes of the members are evaluated.
//!
//! Who watches the source, whom to poll, who runs queries and how many daemons share what is scarce is found anew
//! from all members. When many come or go at once, that is done for many changes together.

use std::time::Duration;
use tansylead_types::Moment;

/// Shortest time between two evaluations, for each member: the work grows with them, so it takes a bounded part
/// of the processor however many there are.
const PAUSE_PER_MEMBER: Duration = Duration::from_micros(200);

/// Changes that wait for evaluation.
#[derive(Debug, Default)]
pub struct PublishPace {
    has_changes: bool,
    not_before: Moment,
}

impl PublishPace {
    /// Notes a change.
    pub fn on_change(&mut self) {
        self.has_changes = true;
    }

    /// Notes that the members are whole now, which is not kept waiting.
    pub fn on_joined(&mut self) {
        *self = Self {
            has_changes: true,
            not_before: Moment::default(),
        };
    }

    /// When the changes are to be evaluated; none if there are none.
    pub fn due(&self) -> Option<Moment> {
        self.has_changes.then_some(self.not_before)
    }

    /// Notes that all changes are evaluated, among so many members.
    pub fn on_published(&mut self, now: Moment, members: usize) {
        self.has_changes = false;
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        self.not_before = now + PAUSE_PER_MEMBER.saturating_mul(members);
    }
}
