//! What the tasks of one daemon share. One thread: interior mutability, no locks.
//!
//! Invariants: the configuration's version never goes down; no borrow is held over a wait.

use crate::clock::Clock;
use crate::headers::HeaderNames;
use crate::leaf::{LeafState, ServiceState};
use crate::metrics::{Metrics, ReportDirection};
use crate::report_queue::ReportQueue;
use crate::request_log::RequestLogLimits;
use crate::settings::GatewaySettings;
use crate::source::Topic;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{
    Configuration, ConnectionShare, DaemonCounts, DirectoryChange, DirectoryDelta, LatencyProfile,
    LeafDirectory, LeafEntry, LeafReport, Locality, QueryAdmission, RouteTable, SharedLeaf,
    WeightedTurns,
};
use tansylead_types::{LeafId, Moment, PlaceName, ServiceName};
use tokio::sync::watch;

/// Requests that arrive in this first time of a daemon's life wait for what is being read.
const STARTUP_WAIT: Duration = Duration::from_millis(80);
/// Daemons that share a leaf's connections as long as they are not known.
const ASSUMED_DAEMONS: usize = 8;
/// Connections a leaf of an unconfigured service is taken to accept.
const DEFAULT_CONNECTIONS: u32 = 16;
/// Part of a leaf's connections before it is computed.
const NO_SHARE: ConnectionShare = ConnectionShare {
    connections: 1,
    is_reserve: true,
};

/// One version of the configuration with its index.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub configuration: Rc<Configuration>,
    /// Its routes by host and prefix.
    pub routes: RouteTable,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop is planned.
    Serving,
    /// Not ready; answers close their connections.
    Draining,
    /// Idle connections are closed.
    Closing,
    /// Everything still open gets its final answer now.
    Ending,
}

/// State shared by all tasks.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: GatewaySettings,
    /// Header names.
    pub names: Rc<HeaderNames>,
    /// Metrics.
    pub metrics: Metrics,
    /// Limits of the lines of single requests.
    pub(crate) request_log_limits: RequestLogLimits,
    /// Reports on leafs that wait to be sent to other daemons.
    pub(crate) reports: ReportQueue,
    started: Moment,
    locality: Locality,
    active: RefCell<Option<Rc<ActiveConfiguration>>>,
    directory: RefCell<LeafDirectory>,
    services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    leafs: RefCell<HashMap<LeafId, Rc<LeafState>>>,
    latencies: RefCell<HashMap<String, LatencyProfile>>,
    turns: RefCell<HashMap<String, WeightedTurns>>,
    admissions: RefCell<HashMap<String, QueryAdmission>>,
    /// Until when each topic was known to be current.
    confirmed: RefCell<HashMap<Topic, Moment>>,
    changed: watch::Sender<u64>,
    stop: watch::Sender<StopPhase>,
    /// Daemons that share budgets and connections.
    daemons: RefCell<DaemonCounts>,
    /// Daemons that membership knows of.
    known_daemons: RefCell<DaemonCounts>,
    connections: Cell<usize>,
}

impl Gateway {
    /// State of a daemon that knows nothing yet.
    pub fn new(settings: GatewaySettings, names: HeaderNames) -> Self {
        let locality = Locality::new(settings.zone.clone(), settings.regions.clone());
        let assumed = DaemonCounts::default().at_least(ASSUMED_DAEMONS, &locality.all_regions());
        Self {
            settings,
            names: Rc::new(names),
            metrics: Metrics::new(),
            request_log_limits: RequestLogLimits::default(),
            reports: ReportQueue::default(),
            started: Clock.now(),
            locality,
            active: RefCell::default(),
            directory: RefCell::default(),
            services: RefCell::default(),
            leafs: RefCell::default(),
            latencies: RefCell::default(),
            turns: RefCell::default(),
            admissions: RefCell::default(),
            confirmed: RefCell::default(),
            changed: watch::Sender::new(0),
            stop: watch::Sender::new(StopPhase::Serving),
            daemons: RefCell::new(assumed),
            known_daemons: RefCell::default(),
            connections: Cell::new(0),
        }
    }

    /// The configuration in force here.
    pub fn active(&self) -> Option<Rc<ActiveConfiguration>> {
        self.active.borrow().clone()
    }

    /// Version of the configuration in force here.
    pub fn version(&self) -> Option<u64> {
        let active = self.active.borrow();
        active.as_ref().map(|active| active.configuration.version)
    }

    /// Takes in a configuration, unless it is older than the one in force.
    pub fn apply_configuration(&self, configuration: Configuration) {
        if self
            .version()
            .is_some_and(|version| configuration.version <= version)
        {
            return;
        }
        log::info!(version = configuration.version, routes = configuration.routes.len(); "configuration in force");
        let routes = RouteTable::new(&configuration);
        self.forget_unused_routes(&configuration);
        *self.active.borrow_mut() = Some(Rc::new(ActiveConfiguration {
            configuration: Rc::new(configuration),
            routes,
        }));
        self.share_all_connections();
        self.notify();
    }

    /// Takes in changes of the leaf directory.
    pub fn apply_directory(&self, delta: DirectoryDelta) {
        let before = self.directory.borrow().revision();
        let source_was_away = self.is_word_of_leafs_old();
        let changes = self.directory.borrow_mut().apply(delta);
        let mut changed_services: HashMap<ServiceName, Rc<ServiceState>> = HashMap::new();
        for change in changes {
            let service = match change {
                DirectoryChange::Present(entry) => {
                    log::info!(leaf = entry.leaf.as_str(), service = entry.service.as_str(), phase:? = entry.phase; "leaf changed");
                    self.put_leaf(entry)
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
        if self.directory.borrow().revision() != before {
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
            if let Some(leaf) = leafs.get(report.leaf()) {
                leaf.on_report(report);
            }
        }
    }

    /// The leaf directory.
    pub fn directory(&self) -> std::cell::Ref<'_, LeafDirectory> {
        self.directory.borrow()
    }

    /// Notes that what is held of a topic was current at `moment`.
    pub fn confirm(&self, topic: Topic, moment: Moment) {
        let mut confirmed = self.confirmed.borrow_mut();
        let held = confirmed.entry(topic).or_insert(moment);
        *held = (*held).max(moment);
    }

    /// Tells daemons that poll this one that its word is fresh.
    pub fn announce_confirmation(&self) {
        self.notify();
    }

    /// Time since what is held of a topic was known to be current; none if it never was.
    pub fn age(&self, topic: Topic) -> Option<Duration> {
        let confirmed = self.confirmed.borrow();
        let moment = confirmed.get(&topic)?;
        Some(Clock.now().since(*moment))
    }

    /// Time since this daemon started.
    pub fn uptime(&self) -> Duration {
        Clock.now().since(self.started)
    }

    /// Whether configuration and leafs are known.
    pub fn knows_enough(&self) -> bool {
        self.active.borrow().is_some() && self.directory.borrow().revision().is_some()
    }

    /// Waits for configuration and leafs, but not beyond the first moments of this daemon's life,
    /// in which they are being read.
    pub async fn wait_until_known(&self) {
        if self.knows_enough() {
            return;
        }
        let until = self.started + STARTUP_WAIT;
        let mut changes = self.changes();
        let known = changes.wait_for(|_| self.knows_enough());
        let _ = tokio::time::timeout(Clock.time_left(until), known).await;
    }

    /// The state of a service; made if it is not known yet.
    pub fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let bounds = &self.settings.bounds;
        let service = Rc::new(ServiceState::new(name.clone(), bounds, self.started));
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Latencies of a route.
    pub fn with_latencies<T>(
        &self,
        route: &str,
        use_profile: impl FnOnce(&mut LatencyProfile) -> T,
    ) -> T {
        with_route_state(&self.latencies, route, use_profile)
    }

    /// Turns among the weighted services of a route.
    pub fn with_turns<T>(&self, route: &str, use_turns: impl FnOnce(&mut WeightedTurns) -> T) -> T {
        with_route_state(&self.turns, route, use_turns)
    }

    /// Admission of the queries of a route over shards.
    pub fn with_admission<T>(
        &self,
        route: &str,
        use_admission: impl FnOnce(&mut QueryAdmission) -> T,
    ) -> T {
        with_route_state(&self.admissions, route, use_admission)
    }

    /// Daemons that share budgets and connections, this one included.
    pub fn daemons(&self) -> usize {
        self.daemons.borrow().total()
    }

    /// Sets the daemons known to run.
    pub fn set_daemons(&self, daemons: DaemonCounts) {
        *self.known_daemons.borrow_mut() = daemons;
        self.count_daemons();
    }

    /// Counts the daemons that share budgets and connections. A daemon that has just started does
    /// not know the others yet: until then it takes it that there are some.
    pub fn count_daemons(&self) {
        let young = self.uptime() < self.settings.bounds.word_limit();
        let known = self.known_daemons.borrow();
        let daemons = if young {
            known.at_least(ASSUMED_DAEMONS, &self.locality.all_regions())
        } else {
            known.clone()
        };
        if *self.daemons.borrow() != daemons {
            *self.daemons.borrow_mut() = daemons;
            self.share_all_connections();
        }
    }

    /// Signals each change of configuration or leafs, and each confirmation by the source.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Phase of a planned stop.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Signals the phases of a planned stop.
    pub fn stop_phases(&self) -> watch::Receiver<StopPhase> {
        self.stop.subscribe()
    }

    /// Goes on to a phase of a planned stop.
    pub fn set_stop_phase(&self, phase: StopPhase) {
        log::info!(phase:? = phase; "stop phase");
        self.stop.send_replace(phase);
    }

    /// Callers' connections.
    pub fn connections(&self) -> &Cell<usize> {
        &self.connections
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

    /// Takes in an entry. Returns the service if its leafs are others than before.
    fn put_leaf(&self, entry: LeafEntry) -> Option<Rc<ServiceState>> {
        if let Some(leaf) = self.leafs.borrow().get(&entry.leaf) {
            leaf.update(entry);
            return None;
        }
        let service = self.service(&entry.service);
        if let Some(leaf) = service.missing(&entry.leaf) {
            let id = entry.leaf.clone();
            leaf.update(entry);
            self.leafs.borrow_mut().insert(id, leaf);
            return Some(service);
        }
        let distance = self.locality.distance(&entry.zone);
        let leaf = Rc::new(LeafState::new(entry.clone(), distance, NO_SHARE));
        service.add(Rc::clone(&leaf));
        self.leafs.borrow_mut().insert(entry.leaf, leaf);
        Some(service)
    }

    /// Takes a leaf out whose entry is missing. Returns its service, if the leaf was known.
    fn remove_leaf(&self, id: &LeafId, source_was_away: bool) -> Option<Rc<ServiceState>> {
        let leaf = self.leafs.borrow_mut().remove(id)?;
        leaf.set_missing(Clock.now(), source_was_away);
        let service = self.service(&leaf.entry().service);
        service.forget_gone();
        Some(service)
    }

    /// Whether nothing has been heard of the leafs for longer than their entries are relied on.
    fn is_word_of_leafs_old(&self) -> bool {
        let limit = self.settings.bounds.word_limit();
        self.age(Topic::Leafs).is_some_and(|age| age > limit)
    }

    fn share_all_connections(&self) {
        for service in self.services.borrow().values() {
            self.share_connections(service);
        }
    }

    /// Computes this daemon's part of the connections of each leaf of a service.
    fn share_connections(&self, service: &ServiceState) {
        let Some(own_region) = self.locality.own_region() else {
            return;
        };
        let leafs = service.regular();
        let regions = leafs.iter().map(|leaf| leaf.entry().zone.clone());
        let regions = regions.filter_map(|zone| self.locality.region(&zone).cloned());
        let service_regions: BTreeSet<PlaceName> = regions.collect();
        let daemons = self.daemons.borrow();
        for leaf in leafs {
            let entry = leaf.entry();
            let shared = SharedLeaf {
                leaf: &entry.leaf,
                maximum_connections: self.maximum_connections(service.name()),
                region: self.locality.region(&entry.zone),
                service_regions: &service_regions,
            };
            leaf.set_share(shared.share(own_region, &daemons));
        }
    }

    fn maximum_connections(&self, service: &ServiceName) -> u32 {
        let active = self.active.borrow();
        let configured = active
            .as_ref()
            .and_then(|active| active.configuration.services.get(service));
        configured.map_or(DEFAULT_CONNECTIONS, |service| service.maximum_connections)
    }

    fn forget_unused_routes(&self, configuration: &Configuration) {
        let is_used = |name: &String| configuration.routes.iter().any(|route| route.name == *name);
        self.latencies.borrow_mut().retain(|name, _| is_used(name));
        self.turns.borrow_mut().retain(|name, _| is_used(name));
        self.admissions.borrow_mut().retain(|name, _| is_used(name));
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Uses what is known of a route; made if nothing is known yet. The name is copied only then.
fn with_route_state<S: Default, T>(
    states: &RefCell<HashMap<String, S>>,
    route: &str,
    use_state: impl FnOnce(&mut S) -> T,
) -> T {
    let mut states = states.borrow_mut();
    if let Some(state) = states.get_mut(route) {
        return use_state(state);
    }
    use_state(states.entry(route.to_owned()).or_default())
}
