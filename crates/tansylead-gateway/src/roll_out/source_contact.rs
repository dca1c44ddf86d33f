//! Time of the source's last answer to a call about roll-outs by this daemon.

use crate::source::SourceError;
use std::cell::Cell;
use std::time::Duration;
use tansylead_types::Moment;

/// An older answer does not count as fresh: calls are made once a second, and one of them may fail.
const FRESH_LIMIT: Duration = Duration::from_millis(2_200);

/// Time of the source's last answer.
#[derive(Debug, Default)]
pub struct SourceContact {
    answered: Cell<Option<Moment>>,
}

impl SourceContact {
    /// Records how a call ended. A refusal does not show that a write would succeed.
    pub fn on_call<T>(&self, now: Moment, result: &Result<T, SourceError>) {
        if result.is_ok() {
            self.answered.set(Some(now));
        }
    }

    /// Whether the source has answered within `FRESH_LIMIT`.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let answered = self.answered.get();
        answered.is_some_and(|answered| now.since(answered) <= FRESH_LIMIT)
    }
}
