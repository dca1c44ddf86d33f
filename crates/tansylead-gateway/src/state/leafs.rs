//! What the daemon's state holds of leafs: the directory, the zones that are being emptied, the state
//! of each leaf, and this daemon's part of its connections.

use super::Gateway;
use crate::clock::Clock;
use crate::leaf::{LeafState, ServiceState};
use crate::metrics::ReportDirection;
use crate::source::Topic;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tansylead_route::{
    ConnectionShare, DirectoryChange, DirectoryDelta, EvacuatedZones, LeafDirectory, LeafEntry,
    LeafReport, Service, SharedLeaf, cold_part,
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
        let mut changed_services: HashMap<ServiceName, Rc<ServiceState>> = HashMap::new();
        for change in changes {
            let service = match change {
                DirectoryChange::Present(entry) => {
                    log::info!(leaf = entry.leaf.as_str(), service = entry.service.as_str(), phase:? = entry.phase; "leaf changed");
                    self.put_leaf(entry, is_restored)
                }
                DirectoryChange::Gone(leaf) => {
                    log::info!(leaf = leaf.as_str(), source_was_away = source_was_away; "leaf gone");
                    self.remove_leaf(&leaf, source_was_away)
                }
            };
            changed_services.extend(service.map(|service| (service.name().clone(), service)));
        }
        for service in changed_services.values() {
            self.share_connections(service);
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
        let told = zones.told();
        log::info!(zones:? = told.zones, kept:? = zones.kept(), revision = told.at.number; "zones being emptied");
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
        held.as_ref().map(|held| held.told().clone())
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

    /// The state of a service; made if it is not known yet.
    pub fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let bounds = &self.settings.bounds;
        let versions = Rc::clone(&self.roll_out_context);
        let service = ServiceState::new(name.clone(), bounds, self.started, versions);
        let service = Rc::new(service);
        self.share_budget(&service);
        if let Some(roll_outs) = self.roll_outs.borrow().as_ref() {
            let order = roll_outs.get(name);
            service.versions().apply(Clock.now(), order, roll_outs.at);
        }
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
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
        let service = self.service(&entry.service);
        service.end_earlier_runs(&entry.run());
        let is_doubtful = is_restored && self.has_departed(&entry);
        if !is_restored {
            self.departed.borrow_mut().remove(&entry.run());
        }
        if let Some(leaf) = service.missing(&entry.run()) {
            // Its run is as old as it was before the entry went missing.
            entry.keep_from(&leaf.entry());
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
        self.service(&leaf.entry().service).forget_gone();
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
        let service = self.service(&leaf.entry().service);
        service.forget_gone();
        Some(service)
    }

    /// Whether nothing has been heard of the leafs for longer than their entries are relied on.
    fn is_word_of_leafs_old(&self) -> bool {
        let limit = self.settings.bounds.word_limit();
        self.age(Topic::Leafs).is_some_and(|age| age > limit)
    }

    pub(super) fn share_all_connections(&self) {
        for service in self.services.borrow().values() {
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
        let configured = self.configured(service.name());
        let maximum_connections = configured
            .as_ref()
            .map_or(DEFAULT_CONNECTIONS, |service| service.maximum_connections);
        let cold_bound = configured.and_then(|service| service.cold_requests_per_second);
        for leaf in leafs {
            let entry = leaf.entry();
            // All daemons may have just started: none takes a part before it knows the others.
            let part = |bound| match daemons.are_known {
                true => cold_part(&entry.leaf, bound, own_region, &daemons.counts),
                false => 0,
            };
            leaf.set_cold_part(cold_bound.map(part));
            let shared = SharedLeaf {
                leaf: &entry.leaf,
                maximum_connections,
                region: self.locality.region(&entry.zone),
                service_regions: &service_regions,
            };
            leaf.set_share(shared.share(own_region, &daemons.counts));
        }
    }

    /// What is configured of a service, if anything.
    fn configured(&self, service: &ServiceName) -> Option<Service> {
        let active = self.active.borrow();
        let active = active.as_ref()?;
        active.configuration.services.get(service).cloned()
    }
}
