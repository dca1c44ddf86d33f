//! The connections to one leaf that nobody uses at the moment.

use std::cell::RefCell;
use std::time::Duration;
use tansylead_http::HttpConnection;
use tansylead_types::Moment;

/// A connection at rest.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    rests_since: Moment,
    usable_until: Moment,
}

/// A connection for one attempt.
#[derive(Debug)]
pub struct LeafConnection {
    /// The connection.
    pub connection: HttpConnection,
    /// How long it has rested; none if it is new.
    pub rested: Option<Duration>,
}

/// Connections at rest, the one that rested least last.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    connections: RefCell<Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Takes in a connection that may be used again for `limit`.
    pub(super) fn put(&self, connection: HttpConnection, now: Moment, limit: Duration) {
        self.connections.borrow_mut().push(IdleConnection {
            connection,
            rests_since: now,
            usable_until: now + limit,
        });
    }

    /// The connection that rested least, if that is no longer than `longest_rest` and the leaf has not
    /// closed it, as far as is known.
    pub(super) fn take(&self, now: Moment, longest_rest: Duration) -> Option<LeafConnection> {
        let mut connections = self.connections.borrow_mut();
        let is_rested = |idle: &mut IdleConnection| now.since(idle.rests_since) <= longest_rest;
        while let Some(last) = connections.pop_if(is_rested) {
            if !last.connection.is_closed() && now < last.usable_until {
                return Some(LeafConnection {
                    connection: last.connection,
                    rested: Some(now.since(last.rests_since)),
                });
            }
        }
        None
    }

    /// Closes connections past their time, and gives their memory back.
    pub(super) fn close_expired(&self, now: Moment) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|idle| !idle.connection.is_closed() && now < idle.usable_until);
        if connections.is_empty() {
            connections.shrink_to_fit();
        }
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        self.connections.borrow_mut().clear();
    }

    /// Number of connections.
    pub(super) fn count(&self) -> usize {
        self.connections.borrow().len()
    }
}
