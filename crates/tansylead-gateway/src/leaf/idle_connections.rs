//! Idle connections to one leaf.

use std::cell::RefCell;
use std::time::Duration;
use tansylead_http::HttpConnection;
use tansylead_types::Moment;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: Moment,
    usable_until: Moment,
}

/// A connection for one attempt.
#[derive(Debug)]
pub struct LeafConnection {
    /// The connection.
    pub connection: HttpConnection,
    /// How long it was idle; none if it is new.
    pub idle_time: Option<Duration>,
}

/// Idle connections, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    connections: RefCell<Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Adds a connection that may be reused within `limit`.
    pub(super) fn put(&self, connection: HttpConnection, now: Moment, limit: Duration) {
        self.connections.borrow_mut().push(IdleConnection {
            connection,
            idle_since: now,
            usable_until: now + limit,
        });
    }

    /// The most recently used connection that has not expired and is not known to be closed by the leaf, if it
    /// has been idle for at most `max_idle`.
    pub(super) fn take(&self, now: Moment, max_idle: Duration) -> Option<LeafConnection> {
        let mut connections = self.connections.borrow_mut();
        let is_recent = |idle: &mut IdleConnection| now.since(idle.idle_since) <= max_idle;
        while let Some(last) = connections.pop_if(is_recent) {
            if !last.connection.is_closed() && now < last.usable_until {
                return Some(LeafConnection {
                    connection: last.connection,
                    idle_time: Some(now.since(last.idle_since)),
                });
            }
        }
        None
    }

    /// Closes connections that have expired, and frees their memory.
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
