//! This daemon's connections to one leaf: their limit, the idle ones, and what was learned of how the leaf
//! closes or resets them.

use super::idle_connections::{IdleConnections, LeafConnection};
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use tansylead_http::HttpConnection;
use tansylead_route::{
    ConnectBackoff, ConnectionShare, ConnectionSilence, IdlePolicy, SilenceLimit,
};
use tansylead_types::Moment;
use tokio::sync::Semaphore;

/// Connections to one leaf.
#[derive(Debug)]
pub(super) struct LeafConnections {
    /// Limits concurrent requests, and with them connections: a new one is opened only if none is
    /// idle.
    permits: Arc<Semaphore>,
    limit: Cell<u32>,
    is_reserve: Cell<bool>,
    idle: IdleConnections,
    backoff: Cell<ConnectBackoff>,
    idle_policy: Cell<IdlePolicy>,
    /// Detects that kept connections have gone silent.
    silence: Cell<ConnectionSilence>,
}

impl LeafConnections {
    /// No connections yet, limited to a share of those that the leaf accepts.
    pub(super) fn new(share: ConnectionShare) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(share.connections as usize)),
            limit: Cell::new(share.connections),
            is_reserve: Cell::new(share.is_reserve),
            idle: IdleConnections::default(),
            backoff: Cell::default(),
            idle_policy: Cell::default(),
            silence: Cell::default(),
        }
    }

    /// Limits concurrent requests to this daemon's share of the leaf's connections.
    pub(super) fn set_share(&self, share: ConnectionShare) {
        self.is_reserve.set(share.is_reserve);
        self.set_limit(share.connections);
    }

    fn set_limit(&self, limit: u32) {
        let old = self.limit.replace(limit);
        if limit > old {
            self.permits.add_permits((limit - old) as usize);
        } else {
            let forgotten = self.permits.forget_permits((old - limit) as usize);
            self.limit.set(old - forgotten as u32);
        }
    }

    /// Permits for concurrent requests.
    pub(super) fn permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Maximum number of concurrent requests.
    pub(super) fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Whether this daemon's share of the leaf's connections is less than a whole one.
    pub(super) fn is_reserve(&self) -> bool {
        self.is_reserve.get()
    }

    /// Mean time between two requests; none if it is not known.
    pub(super) fn usual_gap(&self) -> Option<Duration> {
        self.idle_policy.get().mean_gap()
    }

    /// Whether new connections are backed off because the leaf has reset some.
    pub(super) fn resets_connections(&self, now: Moment) -> bool {
        self.backoff.get().is_waiting(now)
    }

    /// Records that a request is handed to a connection.
    pub(super) fn on_sent(&self, now: Moment) {
        let mut policy = self.idle_policy.get();
        policy.on_use(now);
        self.idle_policy.set(policy);
    }

    /// Records that a connection was reset, or closed, instead of an answer to a request. Returns whether
    /// a backoff of new connections starts now.
    pub(super) fn on_lost(&self, now: Moment, idle_time: Option<Duration>) -> bool {
        let Some(idle_time) = idle_time else {
            let mut backoff = self.backoff.get();
            let starts_backoff = backoff.on_reset(now, rand::random());
            self.backoff.set(backoff);
            return starts_backoff;
        };
        let mut policy = self.idle_policy.get();
        policy.on_idle_reset(now, idle_time);
        self.idle_policy.set(policy);
        false
    }

    /// Records an answer on a connection that had been idle, or was new.
    pub(super) fn on_answer(&self, idle_time: Option<Duration>) {
        if idle_time.is_none() {
            let mut backoff = self.backoff.get();
            backoff.on_answer();
            self.backoff.set(backoff);
        }
    }

    /// Records an answer on a connection that had been kept.
    pub(super) fn on_kept_answer(&self, now: Moment) {
        let mut silence = self.silence.get();
        silence.on_answer(now);
        self.silence.set(silence);
    }

    /// Records that an answer is overdue on a connection that had been kept. Closes the other kept connections
    /// if all of them have most likely gone silent. Returns whether any was closed.
    pub(super) fn on_kept_overdue(&self, now: Moment, sent: Moment) -> bool {
        let mut silence = self.silence.get();
        let is_lost = silence.on_overdue(now, sent, SilenceLimit::ONE_LEAF);
        self.silence.set(silence);
        let has_closed = is_lost && self.idle.count() > 0;
        if has_closed {
            self.idle.close_all();
        }
        has_closed
    }

    /// The most recently used idle connection, if it has been idle for at most `max_idle`.
    pub(super) fn take_idle(&self, now: Moment, max_idle: Duration) -> Option<LeafConnection> {
        self.idle.take(now, max_idle)
    }

    /// Returns a connection to the idle ones. The leaf closes it after `idle_limit`, if it states one.
    pub(super) fn give_back(
        &self,
        connection: HttpConnection,
        now: Moment,
        idle_limit: Option<Duration>,
    ) {
        let are_scarce = self.backoff.get().is_scarce(now);
        let own_limit = self.idle_policy.get().limit(now, are_scarce);
        let limit = idle_limit.map_or(own_limit, |limit| limit.min(own_limit));
        self.idle.put(connection, now, limit);
    }

    /// Closes idle connections that have expired.
    pub(super) fn close_expired(&self, now: Moment) {
        self.idle.close_expired(now);
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&self) {
        self.idle.close_all();
    }

    /// Number of idle connections.
    pub(super) fn idle_count(&self) -> usize {
        self.idle.count()
    }
}
