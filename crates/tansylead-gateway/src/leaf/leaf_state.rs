//! State of one run of a leaf, shared by all routes that use it.

use super::leaf_availability::LeafAvailability;
use super::leaf_connections::LeafConnections;
use super::leaf_health::{LeafHealth, ratio};
use super::lost_requests::LostRequests;
use super::open_attempt::OpenAttempt;
use super::zone_round_trip::ZoneRoundTrip;
use crate::clock::Clock;
use crate::roll_out::{SendTarget, SendTerms, ServiceVersions, VersionSend};
use std::cell::{Cell, Ref};
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::HttpConnection;
use tansylead_route::{
    BreakerVerdict, Candidate, ConnectionShare, Distance, Eligibility, HomeRegions, LeafEntry,
    LeafLocation, LeafReport, Stage, VersionUse,
};
use tansylead_types::{Moment, PlaceName};

/// Round-trip times assumed until one to the leaf's zone is measured.
const UNMEASURED_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);
const UNMEASURED_REGION_ROUND_TRIP: Duration = Duration::from_millis(4);
const UNMEASURED_REMOTE_ROUND_TRIP: Duration = Duration::from_millis(30);

/// One run of a leaf.
#[derive(Debug)]
pub struct LeafState {
    availability: LeafAvailability,
    /// Software versions of the leaf's service, with its roll-out order.
    versions: Rc<ServiceVersions>,
    location: LeafLocation,
    /// Shared with the other leafs of its zone.
    zone_round_trip: Rc<ZoneRoundTrip>,
    in_flight: Cell<u32>,
    connections: LeafConnections,
    health: LeafHealth,
    lost_requests: LostRequests,
}

impl LeafState {
    /// A leaf of which only the entry is known.
    pub fn new(
        entry: LeafEntry,
        location: LeafLocation,
        share: ConnectionShare,
        versions: Rc<ServiceVersions>,
    ) -> Self {
        versions.on_entry(&entry);
        Self {
            availability: LeafAvailability::new(entry),
            versions,
            location,
            zone_round_trip: Rc::default(),
            in_flight: Cell::new(0),
            connections: LeafConnections::new(share),
            health: LeafHealth::default(),
            lost_requests: LostRequests::default(),
        }
    }

    /// Shares the measured round trip with the other leafs of its zone.
    pub fn with_zone_round_trip(self, zone_round_trip: Rc<ZoneRoundTrip>) -> Self {
        Self {
            zone_round_trip,
            ..self
        }
    }

    /// The directory's entry.
    pub fn entry(&self) -> Ref<'_, LeafEntry> {
        self.availability.entry()
    }

    /// Distance from this daemon.
    pub fn distance(&self) -> Distance {
        self.location.distance
    }

    /// Region of the leaf, if known.
    pub fn region(&self) -> Option<&PlaceName> {
        self.location.region.as_ref()
    }

    /// Applies an entry that is new or has come back. A leaf that announced it is leaving stays leaving.
    pub fn update(&self, entry: LeafEntry) {
        self.versions.on_entry(&entry);
        self.availability.update(entry);
    }

    /// Records that the entry is missing. Connections are kept only if it may have expired while the
    /// source was unavailable.
    pub fn set_missing(&self, now: Moment, source_was_away: bool) {
        let was_recorded = self.availability.set_missing(now, source_was_away);
        if was_recorded && !source_was_away {
            self.connections.close_idle();
        }
    }

    /// Records that only an older copy of the source lists the leaf, which the source had removed.
    pub fn set_doubtful(&self, now: Moment) {
        self.availability.set_doubtful(now);
    }

    /// Records that another run of a leaf has the address, or has started under its id.
    pub fn set_replaced(&self) {
        self.availability.set_replaced();
        self.connections.close_idle();
    }

    /// Whether the directory lists the leaf.
    pub fn is_listed(&self) -> bool {
        self.availability.is_listed()
    }

    /// Sets whether the leaf's zone is being emptied. If so, its idle connections are closed.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.availability.set_evacuated(is_evacuated);
        if is_evacuated {
            self.connections.close_idle();
        }
    }

    /// How the leaf may be used for new requests that are restricted to `homes`. Checked wherever a request
    /// is sent to a leaf, or a leaf is counted as available for one.
    pub fn eligibility_for(
        &self,
        homes: &HomeRegions,
        now: Moment,
        grace: Duration,
    ) -> Eligibility {
        let may_serve = homes.allow(self.region()) && self.availability.has_room(now);
        if !may_serve {
            return Eligibility::Ineligible;
        }
        let eligibility = self.availability.eligibility(now, grace);
        match self.versions.use_of(now, &self.entry()) {
            VersionUse::Unrestricted | VersionUse::Granted(_) => eligibility,
            VersionUse::LastResort => eligibility.max(Eligibility::LastResort),
            VersionUse::NotGranted | VersionUse::Excluded => Eligibility::Ineligible,
        }
    }

    /// How the leaf may be used regardless of a route's regions, the limit of a cold leaf, and the grants of
    /// its version; decides which leafs connections are shared out and kept for. A leaf whose entry disappeared
    /// unannounced is the last resort for `grace`.
    pub fn eligibility(&self, now: Moment, grace: Duration) -> Eligibility {
        match self.versions.use_of(now, &self.entry()) {
            VersionUse::Excluded => Eligibility::Ineligible,
            _ => self.availability.eligibility(now, grace),
        }
    }

    /// Software versions of the leaf's service, with its roll-out order.
    pub(super) fn versions(&self) -> &ServiceVersions {
        &self.versions
    }

    /// The stage of the trial of the leaf's version; none if it is not under trial.
    pub fn trial_stage(&self) -> Option<Stage> {
        self.versions.trial_stage(&self.entry())
    }

    /// Records that the leaf could no longer be used when a request was about to be handed over.
    pub(super) fn on_withheld(&self, now: Moment) {
        self.versions.on_withheld(now, &self.entry());
    }

    /// Counts a request that is handed to a connection, as evidence on the leaf's version.
    pub(super) fn begin_send(&self, now: Moment, terms: &SendTerms) -> Option<VersionSend> {
        let target = SendTarget {
            round_trip: self.round_trip(),
            is_cold: self.availability.is_cold(now),
        };
        let version = &self.entry().version;
        self.versions
            .begin_send(now, version.as_ref(), target, terms)
    }

    /// Sets this daemon's share of the requests per second that the leaf can take while it is cold; none
    /// if there is no limit.
    pub fn set_cold_share(&self, share: Option<u32>) {
        self.availability.set_cold_share(share);
    }

    /// Limits concurrent requests to this daemon's share of the leaf's connections.
    pub fn set_share(&self, share: ConnectionShare) {
        self.connections.set_share(share);
    }

    /// Its connections.
    pub(super) fn connections(&self) -> &LeafConnections {
        &self.connections
    }

    /// The leaf's properties that the choice among leafs depends on.
    pub fn candidate(&self, now: Moment) -> Candidate {
        let usual_gap = self.connections.usual_gap().unwrap_or(Duration::MAX);
        Candidate {
            verdict: self.verdict(now),
            distance: self.location.distance,
            round_trip: self.round_trip(),
            in_flight: self.in_flight.get(),
            limit: self.connections.limit(),
            is_reserve: self.connections.is_reserve(),
            slowness: self.health.slowness(now, usual_gap),
            failure_rate: self.health.failure_rate(now),
            resets_connections: self.connections.resets_connections(now),
            has_idle_connection: self.connections.idle_count() > 0,
        }
    }

    /// Whether the leaf may get a new request, by its circuit breaker and by reports of other daemons.
    pub fn verdict(&self, now: Moment) -> BreakerVerdict {
        self.health.verdict(now)
    }

    /// Applies a report of another daemon on the leaf.
    pub fn on_report(&self, report: &LeafReport) {
        self.health.on_report(Clock.now(), report);
    }

    /// Counts an attempt as in flight until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> OpenAttempt {
        OpenAttempt::begin(Rc::clone(self))
    }

    /// Counts an attempt that starts.
    pub(super) fn on_begin(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Records that a request is handed to a connection.
    pub(super) fn on_sent(&self, now: Moment) {
        self.connections.on_sent(now);
        self.health.on_sent(now);
        self.availability.on_sent(now);
    }

    /// Counts the end of an attempt, which was sent at `sent` if it was sent at all.
    pub(super) fn on_end(&self, sent: Option<Moment>) {
        let in_flight = self.in_flight.get();
        self.in_flight.set(in_flight.saturating_sub(1));
        if let Some(sent) = sent {
            self.health.on_abandoned(sent);
        }
    }

    /// Round-trip time to the leaf.
    pub fn round_trip(&self) -> Duration {
        let unmeasured = match self.location.distance {
            Distance::Zone => UNMEASURED_ZONE_ROUND_TRIP,
            Distance::Region => UNMEASURED_REGION_ROUND_TRIP,
            Distance::Remote => UNMEASURED_REMOTE_ROUND_TRIP,
        };
        self.zone_round_trip.shortest().unwrap_or(unmeasured)
    }

    /// Records the time in which a connection was established.
    pub fn on_connected(&self, took: Duration) {
        self.zone_round_trip.on_connected(took);
    }

    /// Records that an attempt sent at `sent` is overdue. Returns a report for other daemons.
    pub fn on_overdue(
        &self,
        sent: Moment,
        delay: Duration,
        typical: Duration,
    ) -> Option<LeafReport> {
        let leaf = &self.entry().run();
        self.health
            .on_overdue(leaf, Clock.now(), sent, delay, typical)
    }

    /// Records that the leaf could not be reached.
    pub fn on_unreachable(&self, delay: Duration) {
        let leaf = &self.entry().run();
        self.health.on_unreachable(leaf, Clock.now(), delay);
    }

    /// Records whether an attempt failed.
    pub fn record_end(&self, failed: bool) {
        self.health.record_end(Clock.now(), failed);
    }

    /// Records that a connection was reset, or closed, instead of an answer to a request.
    pub fn on_connection_lost(&self, idle_time: Option<Duration>) {
        if self.connections.on_lost(Clock.now(), idle_time) {
            log::info!(leaf = self.entry().leaf.as_str(); "leaf resets new connections");
        }
    }

    /// The requests whose connections to the leaf were lost.
    pub(crate) fn lost_requests(&self) -> &LostRequests {
        &self.lost_requests
    }

    /// Whether the leaf has answered a request since `moment`.
    pub fn has_answered_since(&self, moment: Moment) -> bool {
        self.health.answered_at() > moment
    }

    /// Whether the leaf has ever answered a request of this daemon.
    pub fn has_answered(&self) -> bool {
        self.has_answered_since(Moment::default())
    }

    /// Whether the leaf announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.availability.is_leaving()
    }

    /// Whether the leaf's entry disappeared unannounced while the source was available, or another run replaced it.
    pub fn has_vanished(&self) -> bool {
        self.availability.has_vanished()
    }

    /// Records an answer that took `latency` where `typical` is usual. Returns reports for other daemons.
    pub fn on_answer(
        &self,
        sent: Moment,
        is_timely: bool,
        latency: Duration,
        typical: Duration,
    ) -> Vec<LeafReport> {
        let leaf = &self.entry().run();
        let ratio = ratio(latency, typical);
        self.health
            .on_answer(leaf, Clock.now(), sent, is_timely, ratio)
    }

    /// Records an answer on a connection that had been kept.
    pub fn on_kept_answer(&self, now: Moment) {
        self.connections.on_kept_answer(now);
    }

    /// Records that the answer to a request sent at `sent` is overdue on a connection that had been kept.
    pub fn on_kept_overdue(&self, now: Moment, sent: Moment) {
        if self.connections.on_kept_overdue(now, sent) {
            log::info!(leaf = self.entry().leaf.as_str(); "kept connections silent, closed");
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.connections.close_idle();
    }

    /// Returns a connection whose last answer was read completely. The leaf closes it after
    /// `idle_limit`, if it states one.
    pub fn give_back(&self, connection: HttpConnection, idle_limit: Option<Duration>) {
        let now = Clock.now();
        let is_regular = self.eligibility(now, Duration::ZERO) == Eligibility::Regular;
        if !connection.is_closed() && is_regular {
            self.connections.give_back(connection, now, idle_limit);
        }
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self, now: Moment) {
        self.connections.close_expired(now);
        self.lost_requests.drop_expired_abandoned(now);
    }

    /// Number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.connections.idle_count()
    }
}
