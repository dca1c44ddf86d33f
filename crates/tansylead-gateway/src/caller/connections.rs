//! All connections of callers.

use super::connection::{CallerConnection, EndCause};
use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tansylead_route::{CallerLimits, ReliefCandidate, connection_to_replace};

/// All connections of callers.
#[derive(Debug, Default)]
pub struct CallerConnections {
    open: RefCell<BTreeMap<u64, Rc<CallerConnection>>>,
    next_number: Cell<u64>,
}

impl CallerConnections {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// A number for the next connection.
    pub(super) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    pub(super) fn add(&self, connection: &Rc<CallerConnection>) {
        let number = connection.number();
        self.open.borrow_mut().insert(number, Rc::clone(connection));
    }

    pub(super) fn remove(&self, connection: &CallerConnection) {
        self.open.borrow_mut().remove(&connection.number());
    }

    /// All connections, as candidates to end.
    pub(crate) fn relief_candidates(&self) -> Vec<ReliefCandidate> {
        self.open.borrow().values().map(candidate).collect()
    }

    /// Has a connection end.
    pub(crate) fn end(&self, number: u64, cause: EndCause) {
        if let Some(connection) = self.open.borrow().get(&number) {
            connection.end(cause);
        }
    }

    /// Ends one connection to make room for a new one. Returns whether there was one that may end.
    pub(super) fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let staying = open.values().filter(|connection| !connection.is_ending());
        let number = connection_to_replace(staying.map(candidate), Clock.now());
        let connection = number.and_then(|number| open.get(&number));
        if let Some(connection) = connection {
            connection.end(EndCause::Descriptors);
        }
        connection.is_some()
    }

    /// Wakes the connections that have exceeded a time limit.
    pub(crate) fn wake_overdue(&self, limits: &CallerLimits) {
        let now = Clock.now();
        for connection in self.open.borrow().values() {
            if connection.overdue(limits, now).is_some() {
                connection.wake();
            }
        }
    }
}

fn candidate(connection: &Rc<CallerConnection>) -> ReliefCandidate {
    ReliefCandidate {
        connection: connection.number(),
        bytes: connection.held().get(),
        usage: connection.usage(),
    }
}
