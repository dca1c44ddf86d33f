//! This daemon's connections to one leaf: how many it may have, those at rest, and what is known of
//! how the leaf treats them.

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
    /// Bounds requests at a time, and with them connections: a new one is opened only if none is
    /// idle.
    permits: Arc<Semaphore>,
    limit: Cell<u32>,
    is_reserve: Cell<bool>,
    idle: IdleConnections,
    backoff: Cell<ConnectBackoff>,
    idle_policy: Cell<IdlePolicy>,
    /// Shortest time that a connection took to come up: the way there and back.
    way: Cell<Option<Duration>>,
    /// Whether anything comes on those that were kept.
    silence: Cell<ConnectionSilence>,
}

impl LeafConnections {
    /// No connections yet, and this part of those that the leaf accepts.
    pub(super) fn new(share: ConnectionShare) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(share.connections as usize)),
            limit: Cell::new(share.connections),
            is_reserve: Cell::new(share.is_reserve),
            idle: IdleConnections::default(),
            backoff: Cell::default(),
            idle_policy: Cell::default(),
            way: Cell::new(None),
            silence: Cell::default(),
        }
    }

    /// Bounds the requests at a time by this daemon's part of the leaf's connections.
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

    /// Permits of requests at a time.
    pub(super) fn permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Requests at a time.
    pub(super) fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Whether this daemon has no part in the leaf's connections.
    pub(super) fn is_reserve(&self) -> bool {
        self.is_reserve.get()
    }

    /// Usual time between two requests; none if it is not known.
    pub(super) fn usual_gap(&self) -> Option<Duration> {
        self.idle_policy.get().mean_gap()
    }

    /// Whether new connections wait because the leaf has reset some.
    pub(super) fn resets_connections(&self, now: Moment) -> bool {
        self.backoff.get().is_waiting(now)
    }

    /// Shortest time that a connection took to come up; none before the first one.
    pub(super) fn measured_way(&self) -> Option<Duration> {
        self.way.get()
    }

    /// Notes how long a connection took to come up.
    pub(super) fn on_connected(&self, took: Duration) {
        let shortest = self.way.get().map_or(took, |way| way.min(took));
        self.way.set(Some(shortest));
    }

    /// Notes that a request is handed to a connection.
    pub(super) fn on_sent(&self, now: Moment) {
        let mut policy = self.idle_policy.get();
        policy.on_use(now);
        self.idle_policy.set(policy);
    }

    /// Notes that a connection was reset, or closed, instead of an answer to a request. Returns whether
    /// new connections wait from now on.
    pub(super) fn on_lost(&self, now: Moment, rested: Option<Duration>) -> bool {
        let Some(rested) = rested else {
            let mut backoff = self.backoff.get();
            let waits_from_now = backoff.on_reset(now, rand::random());
            self.backoff.set(backoff);
            return waits_from_now;
        };
        let mut policy = self.idle_policy.get();
        policy.on_idle_reset(now, rested);
        self.idle_policy.set(policy);
        false
    }

    /// Notes an answer on a connection that had rested, or was new.
    pub(super) fn on_answer(&self, rested: Option<Duration>) {
        if rested.is_none() {
            let mut backoff = self.backoff.get();
            backoff.on_answer();
            self.backoff.set(backoff);
        }
    }

    /// Notes an answer on a connection that had been kept.
    pub(super) fn on_kept_answer(&self, now: Moment) {
        let mut silence = self.silence.get();
        silence.on_answer(now);
        self.silence.set(silence);
    }

    /// Notes that an answer is overdue on a connection that had been kept. Closes the others that were
    /// kept, and tells so, if all of them have most likely gone silent.
    pub(super) fn on_kept_overdue(&self, now: Moment, sent: Moment) -> bool {
        let mut silence = self.silence.get();
        let is_lost = silence.on_overdue(now, sent, SilenceLimit::ONE_LEAF);
        self.silence.set(silence);
        let closes = is_lost && self.idle.count() > 0;
        if closes {
            self.idle.close_all();
        }
        closes
    }

    /// The idle connection that rested least, if that is no longer than `longest_rest`.
    pub(super) fn take_idle(&self, now: Moment, longest_rest: Duration) -> Option<LeafConnection> {
        self.idle.take(now, longest_rest)
    }

    /// Takes back a connection. The leaf closes it after `idle_limit`, if it says so.
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

    /// Closes idle connections past their time.
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
