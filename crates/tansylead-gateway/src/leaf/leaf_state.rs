//! What this daemon knows of one run of a leaf. Shared by all routes that use it.

use super::idle_connections::{IdleConnections, LeafConnection};
use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_http::HttpConnection;
use tansylead_route::{
    Breaker, BreakerVerdict, Candidate, ColdLeafLimit, ConnectBackoff, ConnectionShare, Distance,
    FailureRate, HomeRegions, IdlePolicy, LeafEntry, LeafLocation, LeafPhase, LeafReport, Listing,
    ReportedSilence, Slowness, Standing,
};
use tansylead_types::{Moment, PlaceName};
use tokio::sync::Semaphore;

/// The way there and back before it is measured.
const UNMEASURED_ZONE_WAY: Duration = Duration::from_millis(1);
const UNMEASURED_REGION_WAY: Duration = Duration::from_millis(4);
const UNMEASURED_REMOTE_WAY: Duration = Duration::from_millis(30);

/// Hundredths, for factors that travel between daemons.
const PERCENT: f64 = 100.0;

/// One run of a leaf.
#[derive(Debug)]
pub struct LeafState {
    entry: RefCell<LeafEntry>,
    listing: Cell<Listing>,
    location: LeafLocation,
    /// Whether the leaf's zone is being emptied.
    is_evacuated: Cell<bool>,
    cold_limit: Cell<ColdLeafLimit>,
    in_flight: Cell<u32>,
    /// Bounds requests at a time, and with them connections: a new one is opened only if none is
    /// idle.
    permits: Arc<Semaphore>,
    limit: Cell<u32>,
    is_reserve: Cell<bool>,
    idle: IdleConnections,
    breaker: RefCell<Breaker>,
    /// What other daemons say of its silence.
    reported_silence: Cell<ReportedSilence>,
    slowness: Cell<Slowness>,
    failures: Cell<FailureRate>,
    connect_backoff: Cell<ConnectBackoff>,
    idle_policy: Cell<IdlePolicy>,
    /// Shortest time that a connection took to come up: the way there and back.
    way: Cell<Option<Duration>>,
}

impl LeafState {
    /// A leaf about which nothing is known but its entry.
    pub fn new(entry: LeafEntry, location: LeafLocation, share: ConnectionShare) -> Self {
        let limit = share.connections;
        let mut cold_limit = ColdLeafLimit::default();
        cold_limit.on_told(Clock.now(), entry.warmup_left);
        Self {
            entry: RefCell::new(entry),
            listing: Cell::default(),
            location,
            is_evacuated: Cell::new(false),
            cold_limit: Cell::new(cold_limit),
            in_flight: Cell::new(0),
            permits: Arc::new(Semaphore::new(limit as usize)),
            limit: Cell::new(limit),
            is_reserve: Cell::new(share.is_reserve),
            idle: IdleConnections::default(),
            breaker: RefCell::new(Breaker::default()),
            reported_silence: Cell::default(),
            slowness: Cell::default(),
            failures: Cell::default(),
            connect_backoff: Cell::default(),
            idle_policy: Cell::default(),
            way: Cell::new(None),
        }
    }

    /// The directory's entry.
    pub fn entry(&self) -> std::cell::Ref<'_, LeafEntry> {
        self.entry.borrow()
    }

    /// Distance from this daemon.
    pub fn distance(&self) -> Distance {
        self.location.distance
    }

    /// Takes in an entry that is new or has come back. A leaf that said it was leaving stays so.
    pub fn update(&self, mut entry: LeafEntry) {
        if self.entry.borrow().phase == LeafPhase::Draining {
            entry.phase = LeafPhase::Draining;
        }
        if entry.warmup_left != self.entry.borrow().warmup_left {
            let mut limit = self.cold_limit.get();
            limit.on_told(Clock.now(), entry.warmup_left);
            self.cold_limit.set(limit);
        }
        *self.entry.borrow_mut() = entry;
        self.listing.set(self.listing.get().after_present());
    }

    /// Notes that the entry is missing. Connections are kept only if it may have lapsed while the
    /// source was away.
    pub fn set_missing(&self, now: Moment, source_was_away: bool) {
        if self.listing.get() == Listing::Replaced {
            return;
        }
        self.listing.set(Listing::Missing {
            since: now,
            source_was_away,
        });
        if !source_was_away {
            self.idle.close_all();
        }
    }

    /// Notes that another run of a leaf has the address.
    pub fn set_replaced(&self) {
        self.listing.set(Listing::Replaced);
        self.idle.close_all();
    }

    /// Whether the directory lists the leaf.
    pub fn is_listed(&self) -> bool {
        self.listing.get() == Listing::Listed
    }

    /// Region of the leaf, if known.
    pub fn region(&self) -> Option<&PlaceName> {
        self.location.region.as_ref()
    }

    /// Notes whether the leaf's zone is being emptied. Its idle connections are closed then.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.set(is_evacuated);
        if is_evacuated {
            self.idle.close_all();
        }
    }

    /// How the leaf may be used for new requests that are confined to `homes`. Whatever sends
    /// requests, or counts on a leaf for them, asks here.
    pub fn standing_for(&self, homes: &HomeRegions, now: Moment, grace: Duration) -> Standing {
        let may_serve = homes.allow(self.region()) && self.cold_limit.get().has_room(now);
        if may_serve {
            self.standing(now, grace)
        } else {
            Standing::Gone
        }
    }

    /// How the leaf may be used at all, whatever a route is confined to and however little a cold leaf
    /// bears: connections are shared and kept by it. One whose entry went without a word is the last
    /// resort for `grace`.
    pub fn standing(&self, now: Moment, grace: Duration) -> Standing {
        if self.is_evacuated.get() {
            return Standing::Gone;
        }
        match self.entry.borrow().phase {
            LeafPhase::Draining => Standing::Gone,
            LeafPhase::Ready => self.listing.get().standing(now, grace),
        }
    }

    /// Sets this daemon's part of the requests of a second that the leaf bears while it is cold; none
    /// if there is no bound.
    pub fn set_cold_part(&self, part: Option<u32>) {
        let mut limit = self.cold_limit.get();
        limit.set_part(part);
        self.cold_limit.set(limit);
    }

    /// Bounds the requests at a time by this daemon's part of the leaf's connections.
    pub fn set_share(&self, share: ConnectionShare) {
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
    pub fn permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// What the choice of a leaf needs to know.
    pub fn candidate(&self, now: Moment) -> Candidate {
        let usual_gap = self.idle_policy.get().mean_gap().unwrap_or(Duration::MAX);
        Candidate {
            verdict: self.verdict(now),
            distance: self.location.distance,
            way: self.way(),
            in_flight: self.in_flight.get(),
            limit: self.limit.get(),
            is_reserve: self.is_reserve.get(),
            slowness: self.slowness.get().factor(now, usual_gap),
            failure_rate: self.failures.get().rate(now),
            resets_connections: self.connect_backoff.get().is_waiting(now),
            has_idle_connection: self.idle.count() > 0,
        }
    }

    /// Whether the leaf may get a new request, by its breaker and by what other daemons say.
    pub fn verdict(&self, now: Moment) -> BreakerVerdict {
        if self.reported_silence.get().is_silent(now) {
            return BreakerVerdict::Avoid;
        }
        self.breaker.borrow().verdict(now)
    }

    /// Takes in what another daemon says of the leaf.
    pub fn on_report(&self, report: &LeafReport) {
        let now = Clock.now();
        let mut silence = self.reported_silence.get();
        match report {
            LeafReport::Silent { for_millis, .. } => {
                let since = now - Duration::from_millis((*for_millis).into());
                silence.on_silent(now, since, self.slowness.get().answered_at());
            }
            LeafReport::Answering { .. } => silence.on_answering(),
            LeafReport::Slow { percent, .. } => {
                let mut slowness = self.slowness.get();
                slowness.on_reported(now, f64::from(*percent) / PERCENT);
                self.slowness.set(slowness);
            }
        }
        self.reported_silence.set(silence);
    }

    /// Counts an attempt as in flight until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> OpenAttempt {
        self.in_flight.set(self.in_flight.get() + 1);
        OpenAttempt {
            leaf: Rc::clone(self),
            sent: Cell::new(None),
        }
    }

    /// Time for the way there and back.
    pub fn way(&self) -> Duration {
        self.way.get().unwrap_or(match self.location.distance {
            Distance::Zone => UNMEASURED_ZONE_WAY,
            Distance::Region => UNMEASURED_REGION_WAY,
            Distance::Remote => UNMEASURED_REMOTE_WAY,
        })
    }

    /// Notes how long a connection took to come up.
    pub fn on_connected(&self, took: Duration) {
        let shortest = self.way.get().map_or(took, |way| way.min(took));
        self.way.set(Some(shortest));
    }

    /// Notes that an attempt sent at `sent` is overdue. A leaf that has answered others since is
    /// slow; one that has not has stopped answering. Returns a report for other daemons.
    pub fn on_overdue(
        &self,
        sent: Moment,
        delay: Duration,
        typical: Duration,
    ) -> Option<LeafReport> {
        let now = Clock.now();
        let mut slowness = self.slowness.get();
        if slowness.answered_at() > sent {
            slowness.on_waiting(ratio(now.since(sent), typical));
            self.slowness.set(slowness);
            return None;
        }
        if self.breaker.borrow_mut().on_overdue(now, sent, delay) {
            log::info!(leaf = self.entry().leaf.as_str(), delay_ms = delay.as_millis() as u64; "leaf overdue");
        }
        let mut silence = self.reported_silence.get();
        let should_report = silence.on_found_silent(now);
        self.reported_silence.set(silence);
        should_report.then(|| LeafReport::Silent {
            leaf: self.entry().leaf.clone(),
            for_millis: u32::try_from(now.since(sent).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Notes that the leaf could not be reached.
    pub fn on_unreachable(&self, delay: Duration) {
        if self.breaker.borrow_mut().on_unreachable(Clock.now(), delay) {
            log::info!(leaf = self.entry().leaf.as_str(); "leaf unreachable");
        }
    }

    /// Notes whether an attempt failed.
    pub fn note_end(&self, failed: bool) {
        let mut failures = self.failures.get();
        failures.record(Clock.now(), failed);
        self.failures.set(failures);
    }

    /// Notes that a connection was reset, or closed, instead of an answer to a request.
    pub fn on_connection_lost(&self, rested: Option<Duration>) {
        let now = Clock.now();
        match rested {
            Some(rested) => {
                let mut policy = self.idle_policy.get();
                policy.on_forgotten(now, rested);
                self.idle_policy.set(policy);
            }
            None => self.on_new_connection_reset(now),
        }
    }

    fn on_new_connection_reset(&self, now: Moment) {
        let mut backoff = self.connect_backoff.get();
        if backoff.on_reset(now, rand::random()) {
            log::info!(leaf = self.entry().leaf.as_str(); "leaf resets new connections");
        }
        self.connect_backoff.set(backoff);
    }

    /// Notes an answer on a connection that had rested, or was new.
    pub fn on_connection_answer(&self, rested: Option<Duration>) {
        if rested.is_none() {
            let mut backoff = self.connect_backoff.get();
            backoff.on_answer();
            self.connect_backoff.set(backoff);
        }
    }

    /// Notes an answer that took `latency`, of a kind that typically takes `typical`. Returns
    /// reports for other daemons.
    pub fn on_answer(
        &self,
        sent: Moment,
        timely: bool,
        latency: Duration,
        typical: Duration,
    ) -> Vec<LeafReport> {
        let now = Clock.now();
        let mut reports = Vec::new();
        let mut silence = self.reported_silence.get();
        if silence.on_answer() {
            let leaf = self.entry().leaf.clone();
            reports.push(LeafReport::Answering { leaf });
        }
        self.reported_silence.set(silence);
        let closed = self.breaker.borrow_mut().on_answer(now, sent, timely);
        if closed {
            log::info!(leaf = self.entry().leaf.as_str(); "leaf sound again");
        }
        let ratio = ratio(latency, typical);
        let mut slowness = self.slowness.get();
        let told_factor = match timely {
            true => slowness.on_timely(now, ratio).then_some(1.0),
            false => slowness.on_late(now, sent, ratio).then_some(ratio),
        };
        self.slowness.set(slowness);
        if let Some(factor) = told_factor {
            let leaf = self.entry().leaf.clone();
            let percent = (factor * PERCENT) as u32;
            reports.push(LeafReport::Slow { leaf, percent });
        }
        reports
    }

    /// The idle connection that rested least, if that is no longer than `longest_rest` and the leaf
    /// has not closed it, as far as is known.
    pub fn take_idle(&self, longest_rest: Duration) -> Option<LeafConnection> {
        self.idle.take(Clock.now(), longest_rest)
    }

    /// Takes back a connection whose last answer was read whole. The leaf closes it after
    /// `idle_limit`, if it says so.
    pub fn give_back(&self, connection: HttpConnection, idle_limit: Option<Duration>) {
        let now = Clock.now();
        let is_regular = self.standing(now, Duration::ZERO) == Standing::Regular;
        if connection.is_closed() || !is_regular {
            return;
        }
        let are_scarce = self.connect_backoff.get().is_scarce(now);
        let own_limit = self.idle_policy.get().limit(now, are_scarce);
        let limit = idle_limit.map_or(own_limit, |limit| limit.min(own_limit));
        self.idle.put(connection, now, limit);
    }

    /// Closes idle connections past their time.
    pub fn close_expired(&self, now: Moment) {
        self.idle.close_expired(now);
    }

    /// Number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.idle.count()
    }
}

/// One attempt in flight at a leaf; ends when dropped.
#[derive(Debug)]
pub struct OpenAttempt {
    leaf: Rc<LeafState>,
    sent: Cell<Option<Moment>>,
}

impl OpenAttempt {
    /// Notes that the request is handed to a connection now.
    pub fn set_sent(&self, now: Moment) {
        self.sent.set(Some(now));
        let mut policy = self.leaf.idle_policy.get();
        policy.on_use(now);
        self.leaf.idle_policy.set(policy);
        self.leaf.breaker.borrow_mut().on_sent(now);
        let mut limit = self.leaf.cold_limit.get();
        limit.on_sent(now);
        self.leaf.cold_limit.set(limit);
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        let in_flight = self.leaf.in_flight.get();
        self.leaf.in_flight.set(in_flight.saturating_sub(1));
        if let Some(sent) = self.sent.get() {
            self.leaf.breaker.borrow_mut().on_abandoned(sent);
        }
    }
}

/// How many times the typical latency something took; 1 if nothing is typical yet.
fn ratio(latency: Duration, typical: Duration) -> f64 {
    if typical.is_zero() {
        return 1.0;
    }
    latency.as_secs_f64() / typical.as_secs_f64()
}
