//! The leaf directory, the zones that are being emptied, the state of each leaf that this daemon sends to, and this
//! daemon's share of its connections.
//!
//! Most daemons of a large fleet send to few of its leafs, and daemons come and go all the time. So the state
//! of a service's leafs is created when the service is first used, and its shares are computed when it is used
//! after the daemons have changed: neither work nor memory grows with daemons times leafs.

use super::Gateway;
use crate::clock::Clock;
use crate::leaf::{LeafState, ServiceState, ZoneRoundTrip};
use crate::metrics::ReportDirection;
use crate::source::Topic;
use std::collections::BTreeSet;
use std::rc::Rc;
use tansylead_route::{
    ConnectionShare, DirectoryChange, DirectoryDelta, EvacuatedZones, LeafDirectory, LeafEntry,
    LeafReport, ListPosition, Service, SharedLeaf, cold_share,
};
use tansylead_types::{LeafId, Moment, PlaceName, ServiceName, ZoneName};

/// Connections that a leaf of an unconfigured service is assumed to accept.
const DEFAULT_CONNECTIONS: u32 = 16;
/// Share of a leaf's connections before it is computed.
const INITIAL_SHARE: ConnectionShare = ConnectionShare {
    connections: 1,
    is_reserve: true,
};

impl Gateway {
    /// Applies changes to the leaf directory.
    pub fn apply_directory(&self, delta: DirectoryDelta) {
        let before = self.directory.borrow().position().cloned();
        let is_restored = self.directory.borrow().is_restored_by(&delta);
        let source_was_away = is_restored || self.is_directory_stale();
        let changes = self.directory.borrow_mut().apply(delta);
        log_changes(&changes, source_was_away);
        for change in changes {
            let service = match change {
                DirectoryChange::Present(entry) => self.put_leaf(entry, is_restored),
                DirectoryChange::Gone(leaf) => self.remove_leaf(&leaf, source_was_away),
            };
            if let Some(service) = service {
                service.set_shares_version(None);
            }
        }
        self.note_versions();
        let after = self.directory.borrow().position().cloned();
        if let Some(after) = after.as_ref().filter(|_| after != before) {
            log_uniformity(before.as_ref(), after);
            self.record_era(after.era());
            self.notify();
        }
    }

    /// Notes in each service which versions its ready leafs run.
    pub(super) fn note_versions(&self) {
        let now = Clock.now();
        for service in self.services.borrow().values() {
            service.note_versions(now);
        }
    }

    /// Services of which only the version under trial runs.
    pub(crate) fn services_with_one_version(&self, now: Moment) -> BTreeSet<ServiceName> {
        let services = self.services.borrow();
        let alone = services
            .values()
            .filter(|service| service.versions().is_alone(now));
        alone.map(|service| service.name().clone()).collect()
    }

    /// Queues reports on leafs for the other daemons of the region.
    pub(crate) fn report(&self, reports: impl IntoIterator<Item = LeafReport>) {
        for report in reports {
            let direction = if self.reports.add(report) {
                ReportDirection::Sent
            } else {
                ReportDirection::Suppressed
            };
            self.metrics.on_leaf_reports(direction, 1);
        }
    }

    /// Applies reports of another daemon on leafs.
    pub fn apply_reports(&self, reports: &[LeafReport]) {
        self.metrics
            .on_leaf_reports(ReportDirection::Received, reports.len());
        let leafs = self.leafs.borrow();
        for report in reports {
            let leaf = leafs.get(&report.leaf().leaf);
            // A report on an earlier run does not apply to this one.
            if let Some(leaf) = leaf.filter(|leaf| leaf.entry().run() == *report.leaf()) {
                leaf.on_report(report);
            }
        }
    }

    /// Applies the zones that are being emptied: their leafs get no new requests from now on.
    pub fn apply_evacuations(&self, newer: EvacuatedZones) {
        self.record_era(newer.at.era);
        let mut held = self.evacuated.borrow_mut();
        let is_first = held.is_none();
        let zones = held.get_or_insert_default();
        if !zones.apply(Clock.now(), newer) && !is_first {
            return;
        }
        let reported = zones.reported();
        log::info!(zones:? = reported.zones, kept:? = zones.retained(), revision = reported.at.number; "zones being emptied");
        for service in self.services.borrow().values() {
            for leaf in service.all() {
                let is_evacuated = zones.contains(&leaf.entry().zone);
                leaf.set_evacuated(is_evacuated);
            }
        }
        drop(held);
        self.invalidate_shares();
        self.notify();
    }

    /// The zones that are being emptied, as the source reports them; none if they are not known yet.
    pub fn evacuated(&self) -> Option<EvacuatedZones> {
        let held = self.evacuated.borrow();
        held.as_ref().map(|held| held.reported().clone())
    }

    fn is_evacuated(&self, entry: &LeafEntry) -> bool {
        let evacuated = self.evacuated.borrow();
        let evacuated = evacuated.as_ref();
        evacuated.is_some_and(|zones| zones.contains(&entry.zone))
    }

    /// The leaf directory.
    pub fn directory(&self) -> std::cell::Ref<'_, LeafDirectory> {
        self.directory.borrow()
    }

    /// The state of a service, with this daemon's current shares of its capacity; created on first use.
    pub fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        let used = self.services.borrow().get(name).cloned();
        let service = used.unwrap_or_else(|| self.create_service(name));
        self.update_shares(&service);
        service
    }

    /// The state of a service, if it is in use. Where roll-outs are followed, all services are: what their leafs
    /// did before an order is the baseline for what it changes.
    fn used_service(&self, name: &ServiceName) -> Option<Rc<ServiceState>> {
        let used = self.services.borrow().get(name).cloned();
        let is_needed = self.settings.bounds.follow_roll_outs;
        used.or_else(|| is_needed.then(|| self.create_empty_service(name)))
    }

    /// Creates the state of a service, with its leafs in the directory.
    fn create_service(&self, name: &ServiceName) -> Rc<ServiceState> {
        let service = self.create_empty_service(name);
        let directory = self.directory.borrow();
        let listed = directory.entries().filter(|entry| entry.service == *name);
        for entry in listed {
            self.put_leaf(entry.clone(), false);
        }
        service.note_versions(Clock.now());
        service
    }

    fn create_empty_service(&self, name: &ServiceName) -> Rc<ServiceState> {
        let bounds = &self.settings.bounds;
        let versions = Rc::clone(&self.roll_out_context);
        let service = ServiceState::new(name.clone(), bounds, self.started, versions);
        let service = Rc::new(service);
        if let Some(roll_outs) = self.current_roll_outs() {
            let order = roll_outs.get(name);
            service.versions().apply(Clock.now(), order, roll_outs.at);
        }
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Number of leafs that this daemon has state for, besides their directory entries.
    pub fn used_leafs(&self) -> usize {
        self.leafs.borrow().len()
    }

    /// Number of idle connections to leafs.
    pub fn idle_leaf_connections(&self) -> usize {
        let leafs = self.leafs.borrow();
        leafs.values().map(|leaf| leaf.idle_connections()).sum()
    }

    /// Closes idle connections to leafs that have expired.
    pub fn close_expired(&self) {
        let now = Clock.now();
        for service in self.services.borrow().values() {
            service.close_expired(now);
        }
    }

    /// Applies an entry; `is_restored` if it comes from an older copy of the source. Returns the service if its set of
    /// leafs has changed.
    fn put_leaf(&self, mut entry: LeafEntry, is_restored: bool) -> Option<Rc<ServiceState>> {
        let held = self.leafs.borrow().get(&entry.leaf).cloned();
        match held {
            Some(leaf) if leaf.entry().run() == entry.run() => {
                leaf.update(entry);
                return None;
            }
            Some(earlier) => self.end_run(&earlier),
            None => {}
        }
        let service = self.used_service(&entry.service)?;
        service.end_earlier_runs(&entry.run());
        let is_doubtful = is_restored && self.was_removed(&entry);
        if !is_restored {
            self.removed.borrow_mut().remove(&entry.run());
        }
        if let Some(leaf) = service.find_missing(&entry.run()) {
            // The run keeps the age that it had before its entry went missing.
            entry.inherit_from(&leaf.entry());
            let id = entry.leaf.clone();
            leaf.update(entry);
            if is_doubtful {
                leaf.set_doubtful(Clock.now());
            }
            self.leafs.borrow_mut().insert(id, leaf);
            return Some(service);
        }
        self.update_needed_roll_outs(&entry, &service);
        let location = self.locality.locate(&entry.zone);
        let versions = Rc::clone(service.versions());
        let leaf = LeafState::new(entry.clone(), location, INITIAL_SHARE, versions)
            .with_zone_round_trip(self.zone_round_trip(&entry.zone));
        let leaf = Rc::new(leaf);
        leaf.set_evacuated(self.is_evacuated(&entry));
        if is_doubtful {
            leaf.set_doubtful(Clock.now());
        }
        service.add(Rc::clone(&leaf));
        self.leafs.borrow_mut().insert(entry.leaf, leaf);
        Some(service)
    }

    fn zone_round_trip(&self, zone: &ZoneName) -> Rc<ZoneRoundTrip> {
        let mut round_trips = self.zone_round_trips.borrow_mut();
        Rc::clone(round_trips.entry(zone.clone()).or_default())
    }

    /// Ends a run of a leaf that was started again under the same id; the new run keeps nothing of its state.
    fn end_run(&self, leaf: &LeafState) {
        log::info!(leaf = leaf.entry().leaf.as_str(); "leaf started again under its id");
        self.metrics.on_leaf_restarted();
        leaf.set_replaced();
        self.leafs.borrow_mut().remove(&leaf.entry().leaf);
        if let Some(service) = self.services.borrow().get(&leaf.entry().service) {
            service.remove_expired();
            service.set_shares_version(None);
        }
    }

    /// Whether the source had removed the run before it was restored from a copy that lists it.
    fn was_removed(&self, entry: &LeafEntry) -> bool {
        let removed = self.removed.borrow();
        removed.contains(Clock.now(), &entry.run())
    }

    /// Removes a leaf whose entry is missing. Returns its service, if the leaf was known.
    fn remove_leaf(&self, id: &LeafId, source_was_away: bool) -> Option<Rc<ServiceState>> {
        let leaf = self.leafs.borrow_mut().remove(id)?;
        let now = Clock.now();
        leaf.set_missing(now, source_was_away);
        if !source_was_away {
            self.removed.borrow_mut().add(now, leaf.entry().run());
        }
        let service = self.services.borrow().get(&leaf.entry().service).cloned();
        if let Some(service) = &service {
            service.remove_expired();
        }
        service
    }

    /// Whether the directory was last confirmed longer ago than its entries are relied on.
    fn is_directory_stale(&self) -> bool {
        let limit = self.settings.bounds.staleness_limit();
        self.age(Topic::Leafs).is_some_and(|age| age > limit)
    }

    /// Marks this daemon's shares as outdated. They are computed anew at the next use of each service.
    pub(super) fn invalidate_shares(&self) {
        self.shares_version.set(self.shares_version.get() + 1);
    }

    fn update_shares(&self, service: &ServiceState) {
        let shares_version = Some(self.shares_version.get());
        if service.shares_version() != shares_version {
            service.set_shares_version(shares_version);
            self.compute_capacity_shares(service);
            self.compute_slack_share(service);
        }
    }

    /// Computes this daemon's share of the retry budget's slack for a service. Extra attempts at shards are
    /// nearly all made by the daemons that run queries.
    fn compute_slack_share(&self, service: &ServiceState) {
        let daemons = self.daemons.borrow();
        let equal_share = 1.0 / daemons.counts.total() as f64;
        let runner_share = match self.is_shard(service.name()) {
            true => daemons.runners.slack_share(),
            false => None,
        };
        let share = match runner_share {
            Some(share) if daemons.are_known => share,
            Some(share) => share.min(equal_share),
            None => equal_share,
        };
        service.set_slack_share(share);
    }

    fn is_shard(&self, service: &ServiceName) -> bool {
        let active = self.active.borrow();
        active
            .as_ref()
            .is_some_and(|active| active.shards.contains(service))
    }

    /// Computes this daemon's share of what each leaf of a service accepts: connections, and requests
    /// while it is cold.
    fn compute_capacity_shares(&self, service: &ServiceState) {
        let Some(own_region) = self.locality.own_region() else {
            return;
        };
        let leafs = service.regular();
        let regions = leafs.iter().map(|leaf| leaf.entry().zone.clone());
        let regions = regions.filter_map(|zone| self.locality.region(&zone).cloned());
        let service_regions: BTreeSet<PlaceName> = regions.collect();
        let daemons = self.daemons.borrow();
        // Leafs of shards accept few connections per daemon in a large fleet, and roots use nearly all of them.
        let is_shard = daemons.are_known && self.is_shard(service.name());
        let group = daemons.runners.own_group().filter(|_| is_shard);
        let configured = self.configured(service.name());
        let maximum_connections = configured
            .as_ref()
            .map_or(DEFAULT_CONNECTIONS, |service| service.maximum_connections);
        let cold_bound = configured.and_then(|service| service.cold_requests_per_second);
        for leaf in leafs {
            let entry = leaf.entry();
            // All daemons may have just started: none takes a share before it knows the others.
            let share_of = |bound| match daemons.are_known {
                true => cold_share(&entry.leaf, bound, own_region, &daemons.counts),
                false => 0,
            };
            leaf.set_cold_share(cold_bound.map(share_of));
            let shared = SharedLeaf {
                leaf: &entry.leaf,
                maximum_connections,
                region: self.locality.region(&entry.zone),
                service_regions: &service_regions,
            };
            leaf.set_share(match group {
                Some(group) => shared.share_among(own_region, group),
                None => shared.share(own_region, &daemons.counts),
            });
        }
    }

    /// The configuration of a service, if there is any.
    fn configured(&self, service: &ServiceName) -> Option<Service> {
        let active = self.active.borrow();
        let active = active.as_ref()?;
        active.configuration.services.get(service).cloned()
    }
}

/// Changes of a delta that are logged one by one; there are more only after a full read or the loss of a zone.
const MAXIMUM_LOGGED: usize = 50;

/// Logs when some entries begin to be known up to a later revision than others, and when they no longer are.
fn log_uniformity(before: Option<&ListPosition>, after: &ListPosition) {
    let was_uniform = before.is_none_or(|before| before.uniform().is_some());
    match after.uniform() {
        Some(at) if !was_uniform => {
            log::info!(revision = at.number; "all leafs known up to one revision");
        }
        None if was_uniform => {
            log::info!(revision = after.lowest().number, highest = after.highest().number; "leafs known up to different revisions");
        }
        _ => {}
    }
}

/// Logs one line per change, or one for all if there are many.
fn log_changes(changes: &[DirectoryChange], source_was_away: bool) {
    if changes.len() > MAXIMUM_LOGGED {
        let is_gone = |change: &&DirectoryChange| matches!(change, DirectoryChange::Gone(_));
        let gone = changes.iter().filter(is_gone).count();
        let present = changes.len() - gone;
        log::info!(present = present, gone = gone, source_was_away = source_was_away; "many leafs changed");
        return;
    }
    for change in changes {
        match change {
            DirectoryChange::Present(entry) => {
                log::info!(leaf = entry.leaf.as_str(), service = entry.service.as_str(), phase:? = entry.phase; "leaf changed");
            }
            DirectoryChange::Gone(leaf) => {
                log::info!(leaf = leaf.as_str(), source_was_away = source_was_away; "leaf gone");
            }
        }
    }
}
