//! What the daemon's state holds of leafs: the directory, the zones that are being emptied, the state
//! of each leaf that this daemon sends to, and this daemon's part of its connections.
//!
//! Most daemons of a large fleet send to few of its leafs, and daemons come and go all the time. So the state
//! of a service's leafs is made when the service is first used, and its parts are computed when it is used
//! after the daemons have changed: neither work nor memory grows with daemons times leafs.

use super::Gateway;
use crate::clock::Clock;
use crate::leaf::{LeafState, ServiceState};
use crate::metrics::ReportDirection;
use crate::source::Topic;
use std::collections::BTreeSet;
use std::rc::Rc;
use tansylead_route::{
    ConnectionShare, DirectoryChange, DirectoryDelta, EvacuatedZones, LeafDirectory, LeafEntry,
    LeafReport, Service, SharedLeaf, cold_share,
};
use tansylead_types::{LeafId, PlaceName, ServiceName};

/// Connections a leaf of an unconfigured service is taken to accept.
const DEFAULT_CONNECTIONS: u32 = 16;
/// Part of a leaf's connections before it is computed.
const NO_SHARE: ConnectionShare = ConnectionShare {
    connections: 1,
    is_reserve: true,
};

impl Gateway {
    /// Takes in changes of the leaf directory.
    pub fn apply_directory(&self, delta: DirectoryDelta) {
        let before = self.directory.borrow().revision();
        let is_restored = self.directory.borrow().is_restored_by(&delta);
        let source_was_away = is_restored || self.is_word_of_leafs_old();
        let changes = self.directory.borrow_mut().apply(delta);
        log_changes(&changes, source_was_away);
        for change in changes {
            let service = match change {
                DirectoryChange::Present(entry) => self.put_leaf(entry, is_restored),
                DirectoryChange::Gone(leaf) => self.remove_leaf(&leaf, source_was_away),
            };
            if let Some(service) = service {
                service.set_shared(None);
            }
        }
        let revision = self.directory.borrow().revision();
        if let Some(revision) = revision.filter(|_| revision != before) {
            self.note_era(revision.era);
            self.notify();
        }
    }

    /// Reports on leafs to the other daemons of the region.
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

    /// Takes in what another daemon says of leafs.
    pub fn apply_reports(&self, reports: &[LeafReport]) {
        self.metrics
            .on_leaf_reports(ReportDirection::Received, reports.len());
        let leafs = self.leafs.borrow();
        for report in reports {
            let leaf = leafs.get(&report.leaf().leaf);
            // What was said of an earlier run says nothing of this one.
            if let Some(leaf) = leaf.filter(|leaf| leaf.entry().run() == *report.leaf()) {
                leaf.on_report(report);
            }
        }
    }

    /// Takes in the zones that are being emptied: their leafs get nothing new from now on.
    pub fn apply_evacuations(&self, newer: EvacuatedZones) {
        self.note_era(newer.at.era);
        let mut held = self.evacuated.borrow_mut();
        let is_first = held.is_none();
        let zones = held.get_or_insert_default();
        if !zones.apply(Clock.now(), newer) && !is_first {
            return;
        }
        let told = zones.reported();
        log::info!(zones:? = told.zones, kept:? = zones.retained(), revision = told.at.number; "zones being emptied");
        for service in self.services.borrow().values() {
            for leaf in service.all() {
                let is_evacuated = zones.contains(&leaf.entry().zone);
                leaf.set_evacuated(is_evacuated);
            }
        }
        drop(held);
        self.share_all_connections();
        self.notify();
    }

    /// The zones that are being emptied, as the source tells; none if nothing is known of them yet.
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

    /// The state of a service, with this daemon's parts of what it bears as they are now; made if it is not
    /// used yet.
    pub fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        let used = self.services.borrow().get(name).cloned();
        let service = used.unwrap_or_else(|| self.begin_use(name));
        self.share_if_changed(&service);
        service
    }

    /// The state of a service, if it is used. Where services are rolled out all are: what their leafs have
    /// shown before an order tells what it changes.
    fn used_service(&self, name: &ServiceName) -> Option<Rc<ServiceState>> {
        let used = self.services.borrow().get(name).cloned();
        let is_needed = self.settings.bounds.follow_roll_outs;
        used.or_else(|| is_needed.then(|| self.make_service(name)))
    }

    /// Makes the state of a service, of the leafs that the directory has.
    fn begin_use(&self, name: &ServiceName) -> Rc<ServiceState> {
        let service = self.make_service(name);
        let directory = self.directory.borrow();
        let own = directory.entries().filter(|entry| entry.service == *name);
        for entry in own {
            self.put_leaf(entry.clone(), false);
        }
        service
    }

    fn make_service(&self, name: &ServiceName) -> Rc<ServiceState> {
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

    /// Leafs of which this daemon holds more than the directory's entry.
    pub fn used_leafs(&self) -> usize {
        self.leafs.borrow().len()
    }

    /// Idle connections to leafs.
    pub fn idle_leaf_connections(&self) -> usize {
        let leafs = self.leafs.borrow();
        leafs.values().map(|leaf| leaf.idle_connections()).sum()
    }

    /// Closes leafs' idle connections past their time.
    pub fn close_expired(&self) {
        let now = Clock.now();
        for service in self.services.borrow().values() {
            service.close_expired(now);
        }
    }

    /// Takes in an entry, from an older copy of the source or not. Returns the service if its leafs are others
    /// than before.
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
        let is_doubtful = is_restored && self.has_departed(&entry);
        if !is_restored {
            self.departed.borrow_mut().remove(&entry.run());
        }
        if let Some(leaf) = service.missing(&entry.run()) {
            // Its run is as old as it was before the entry went missing.
            entry.inherit_from(&leaf.entry());
            let id = entry.leaf.clone();
            leaf.update(entry);
            if is_doubtful {
                leaf.set_doubtful(Clock.now());
            }
            self.leafs.borrow_mut().insert(id, leaf);
            return Some(service);
        }
        self.note_version(&entry, &service);
        let location = self.locality.locate(&entry.zone);
        let versions = Rc::clone(service.versions());
        let leaf = Rc::new(LeafState::new(entry.clone(), location, NO_SHARE, versions));
        leaf.set_evacuated(self.is_evacuated(&entry));
        if is_doubtful {
            leaf.set_doubtful(Clock.now());
        }
        service.add(Rc::clone(&leaf));
        self.leafs.borrow_mut().insert(entry.leaf, leaf);
        Some(service)
    }

    /// A run of a leaf is over: another one has begun under its id, which holds and knows nothing of it.
    fn end_run(&self, leaf: &LeafState) {
        log::info!(leaf = leaf.entry().leaf.as_str(); "leaf started again under its id");
        self.metrics.on_leaf_restarted();
        leaf.set_replaced();
        self.leafs.borrow_mut().remove(&leaf.entry().leaf);
        if let Some(service) = self.services.borrow().get(&leaf.entry().service) {
            service.forget_gone();
            service.set_shared(None);
        }
    }

    /// Whether the source had taken the run out before it came back from a copy that lists it.
    fn has_departed(&self, entry: &LeafEntry) -> bool {
        let departed = self.departed.borrow();
        departed.contains(Clock.now(), &entry.run())
    }

    /// Takes a leaf out whose entry is missing. Returns its service, if the leaf was known.
    fn remove_leaf(&self, id: &LeafId, source_was_away: bool) -> Option<Rc<ServiceState>> {
        let leaf = self.leafs.borrow_mut().remove(id)?;
        let now = Clock.now();
        leaf.set_missing(now, source_was_away);
        if !source_was_away {
            self.departed.borrow_mut().add(now, leaf.entry().run());
        }
        let service = self.services.borrow().get(&leaf.entry().service).cloned();
        if let Some(service) = &service {
            service.forget_gone();
        }
        service
    }

    /// Whether nothing has been heard of the leafs for longer than their entries are relied on.
    fn is_word_of_leafs_old(&self) -> bool {
        let limit = self.settings.bounds.staleness_limit();
        self.age(Topic::Leafs).is_some_and(|age| age > limit)
    }

    /// Notes that this daemon's parts are others than before. They are computed when a service is used next.
    pub(super) fn share_all_connections(&self) {
        self.sharing.set(self.sharing.get() + 1);
    }

    fn share_if_changed(&self, service: &ServiceState) {
        let sharing = Some(self.sharing.get());
        if service.shared() != sharing {
            service.set_shared(sharing);
            self.share_connections(service);
            self.share_budget(service);
        }
    }

    /// Computes this daemon's part of the slack of extra attempts at a service. Those at shards are
    /// nearly all made by the daemons that run queries.
    fn share_budget(&self, service: &ServiceState) {
        let daemons = self.daemons.borrow();
        let equal = 1.0 / daemons.counts.total() as f64;
        let of_runners = match self.is_shard(service.name()) {
            true => daemons.runners.slack_share(),
            false => None,
        };
        let share = match of_runners {
            Some(share) if daemons.are_known => share,
            Some(share) => share.min(equal),
            None => equal,
        };
        service.set_slack_share(share);
    }

    fn is_shard(&self, service: &ServiceName) -> bool {
        let active = self.active.borrow();
        active
            .as_ref()
            .is_some_and(|active| active.shards.contains(service))
    }

    /// Computes this daemon's part of what each leaf of a service bears: connections, and requests
    /// while it is cold.
    fn share_connections(&self, service: &ServiceState) {
        let Some(own_region) = self.locality.own_region() else {
            return;
        };
        let leafs = service.regular();
        let regions = leafs.iter().map(|leaf| leaf.entry().zone.clone());
        let regions = regions.filter_map(|zone| self.locality.region(&zone).cloned());
        let service_regions: BTreeSet<PlaceName> = regions.collect();
        let daemons = self.daemons.borrow();
        // Leafs of shards bear few connections of each daemon of a large fleet, and nearly all are the roots'.
        let is_shard = daemons.are_known && self.is_shard(service.name());
        let kind = daemons.runners.own_group().filter(|_| is_shard);
        let configured = self.configured(service.name());
        let maximum_connections = configured
            .as_ref()
            .map_or(DEFAULT_CONNECTIONS, |service| service.maximum_connections);
        let cold_bound = configured.and_then(|service| service.cold_requests_per_second);
        for leaf in leafs {
            let entry = leaf.entry();
            // All daemons may have just started: none takes a part before it knows the others.
            let part = |bound| match daemons.are_known {
                true => cold_share(&entry.leaf, bound, own_region, &daemons.counts),
                false => 0,
            };
            leaf.set_cold_part(cold_bound.map(part));
            let shared = SharedLeaf {
                leaf: &entry.leaf,
                maximum_connections,
                region: self.locality.region(&entry.zone),
                service_regions: &service_regions,
            };
            leaf.set_share(match kind {
                Some(kind) => shared.share_among(own_region, kind),
                None => shared.share(own_region, &daemons.counts),
            });
        }
    }

    /// What is configured of a service, if anything.
    fn configured(&self, service: &ServiceName) -> Option<Service> {
        let active = self.active.borrow();
        let active = active.as_ref()?;
        active.configuration.services.get(service).cloned()
    }
}

/// Changes of a delta that are told one by one; more come only where a whole list was read, or a zone was lost.
const MAXIMUM_TOLD: usize = 50;

/// One line for each change, or one for all if they are many.
fn log_changes(changes: &[DirectoryChange], source_was_away: bool) {
    if changes.len() > MAXIMUM_TOLD {
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
