//! When the source last answered the calls about roll-outs of this daemon.

use crate::source::SourceError;
use std::cell::Cell;
use std::time::Duration;
use tansylead_types::Moment;

/// An answer older than this says nothing of now: calls are made once a second, and one of them may fail.
const FRESH_LIMIT: Duration = Duration::from_millis(2_200);

/// Contact to the source.
#[derive(Debug, Default)]
pub struct SourceContact {
    answered: Cell<Option<Moment>>,
}

impl SourceContact {
    /// Notes how a call ended. A refusal is no sign that a write would be taken.
    pub fn on_call<T>(&self, now: Moment, result: &Result<T, SourceError>) {
        if result.is_ok() {
            self.answered.set(Some(now));
        }
    }

    /// Whether the source has answered lately.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let answered = self.answered.get();
        answered.is_some_and(|answered| now.since(answered) <= FRESH_LIMIT)
    }
}
