//! State shared by the tasks of one daemon. All run on one thread: interior mutability, no locks.
//!
//! Invariants: the configuration version never decreases, whatever the source says; no borrow is held across an await.

mod callers;
mod era;
mod kept_connections;
mod leafs;
mod roll_outs;

use crate::caller::CallerConnections;
use crate::clock::Clock;
use crate::cluster::QueryRoots;
use crate::headers::HeaderNames;
use crate::leaf::{LeafState, ServiceState, ZoneRoundTrip};
use crate::memory::MemoryAccount;
use crate::metrics::Metrics;
use crate::per_second::PerSecondLimit;
use crate::quarantine::QuarantineState;
use crate::report_queue::ReportQueue;
use crate::request_log::RequestLogLimits;
use crate::roll_out::RollOutContext;
use crate::settings::{GatewaySettings, ResourceSettings};
use crate::source::Topic;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{
    Configuration, ConnectionSilence, DaemonCounts, Era, EvacuationOrders, LatencyProfile,
    LeafDirectory, Locality, OrderMemory, QueryAdmission, QueryRunners, RemovedLeafs, Revision,
    RollOuts, RouteTable, WeightedRoundRobin,
};
use tansylead_types::{LeafId, Moment, PlaceName, ServiceName, ZoneName};
use tokio::sync::watch;

/// Requests that arrive this soon after startup wait for the first reads from the source.
const STARTUP_WAIT: Duration = Duration::from_millis(80);
/// Daemons assumed to share a leaf's connections until the real ones are known.
const ASSUMED_DAEMONS: usize = 8;

/// Maximum number of log lines in a second about connections that end early.
const CONNECTION_LINES_PER_SECOND: u32 = 4;

/// One version of the configuration, with indexes for lookups.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub configuration: Rc<Configuration>,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// The services that are shards of a route.
    pub shards: HashSet<ServiceName>,
}

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop is planned.
    Serving,
    /// Not ready; each answer closes its connection.
    Draining,
    /// Idle connections are closed.
    Closing,
    /// Open requests get their final answer now.
    Ending,
}

/// Daemons among which the capacity of leafs is divided.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SharingDaemons {
    counts: DaemonCounts,
    /// Daemons that run queries over shards.
    runners: QueryRunners,
    /// Whether this daemon has run long enough to have learned of the others.
    are_known: bool,
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
    /// Memory held for callers.
    pub memory: MemoryAccount,
    /// Connections of callers.
    pub caller_connections: CallerConnections,
    /// Memory and descriptors of the machine, as the settings stated them last.
    resources: RefCell<ResourceSettings>,
    /// Limits log lines about connections that end early.
    connection_log_limit: PerSecondLimit,
    /// Limits on log lines about single requests.
    pub(crate) request_log_limits: RequestLogLimits,
    /// Reports on leafs to be sent to other daemons.
    pub(crate) reports: ReportQueue,
    /// Requests that make leaf processes end.
    pub quarantine: QuarantineState,
    started: Moment,
    locality: Locality,
    active: RefCell<Option<Rc<ActiveConfiguration>>>,
    directory: RefCell<LeafDirectory>,
    source_era: Cell<Option<Era>>,
    /// Leafs that the source removed recently.
    removed: RefCell<RemovedLeafs>,
    /// Zones being emptied; none until they are known.
    evacuated: RefCell<Option<EvacuationOrders>>,
    /// Roll-out orders as the source reports them; none until they are known.
    roll_outs: RefCell<Option<RollOuts>>,
    /// Orders to act on: those of the source, with the orders and outcomes that it has lost.
    current_roll_outs: RefCell<RollOuts>,
    order_memory: RefCell<OrderMemory>,
    roll_out_context: Rc<RollOutContext>,
    /// Revision up to which the orders must be known, as required by the known leafs.
    roll_outs_needed: Cell<Revision>,
    services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    leafs: RefCell<HashMap<LeafId, Rc<LeafState>>>,
    /// Measured round trips to the zones of leafs.
    zone_round_trips: RefCell<HashMap<ZoneName, Rc<ZoneRoundTrip>>>,
    latencies: RefCell<HashMap<String, LatencyProfile>>,
    round_robins: RefCell<HashMap<String, WeightedRoundRobin>>,
    admissions: RefCell<HashMap<String, QueryAdmission>>,
    /// Moment at which each topic was last known to be current.
    confirmed: RefCell<HashMap<Topic, Moment>>,
    changed: watch::Sender<u64>,
    stop: watch::Sender<StopPhase>,
    /// Daemons that share budgets and connections.
    daemons: RefCell<SharingDaemons>,
    /// Increases whenever shares of budgets and connections change.
    shares_version: Cell<u64>,
    /// Daemons known to membership.
    known_daemons: RefCell<DaemonCounts>,
    /// Known daemons that run queries over shards.
    known_runners: RefCell<QueryRunners>,
    /// Detects that kept connections to leafs have gone silent.
    kept_silence: Cell<ConnectionSilence>,
    running_for_peers: Cell<usize>,
    processor_lag: Cell<Duration>,
    /// The daemons of the region that run queries over shards for this one.
    pub roots: QueryRoots,
}

impl Gateway {
    /// State of a daemon that has received nothing from the source yet.
    pub fn new(settings: GatewaySettings, names: HeaderNames) -> Self {
        let locality = Locality::new(settings.zone.clone(), settings.regions.clone());
        let assumed = SharingDaemons {
            counts: DaemonCounts::default().at_least(ASSUMED_DAEMONS, &locality.all_regions()),
            runners: QueryRunners::default(),
            are_known: false,
        };
        let (started, metrics) = (Clock.now(), Metrics::new());
        let context = RollOutContext::new(&settings.bounds, started, metrics.roll_outs.clone());
        let resources = settings.resources.clone();
        Self {
            memory: MemoryAccount::new(&resources),
            caller_connections: CallerConnections::default(),
            resources: RefCell::new(resources),
            connection_log_limit: PerSecondLimit::new(CONNECTION_LINES_PER_SECOND),
            settings,
            names: Rc::new(names),
            metrics,
            request_log_limits: RequestLogLimits::default(),
            reports: ReportQueue::default(),
            quarantine: QuarantineState::default(),
            started,
            locality,
            active: RefCell::default(),
            directory: RefCell::default(),
            source_era: Cell::default(),
            removed: RefCell::default(),
            evacuated: RefCell::default(),
            roll_outs: RefCell::default(),
            current_roll_outs: RefCell::default(),
            order_memory: RefCell::default(),
            roll_out_context: Rc::new(context),
            roll_outs_needed: Cell::default(),
            services: RefCell::default(),
            leafs: RefCell::default(),
            zone_round_trips: RefCell::default(),
            latencies: RefCell::default(),
            round_robins: RefCell::default(),
            admissions: RefCell::default(),
            confirmed: RefCell::default(),
            changed: watch::Sender::new(0),
            stop: watch::Sender::new(StopPhase::Serving),
            daemons: RefCell::new(assumed),
            shares_version: Cell::new(0),
            known_daemons: RefCell::default(),
            known_runners: RefCell::default(),
            kept_silence: Cell::default(),
            running_for_peers: Cell::new(0),
            processor_lag: Cell::default(),
            roots: QueryRoots::default(),
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

    /// Applies a configuration, unless it is not newer than the one in force.
    pub fn apply_configuration(&self, configuration: Configuration) {
        if self
            .version()
            .is_some_and(|version| configuration.version <= version)
        {
            return;
        }
        log::info!(version = configuration.version, routes = configuration.routes.len(); "configuration in force");
        let routes = RouteTable::new(&configuration);
        let shards = configuration.shards().cloned().collect();
        self.remove_unused_routes(&configuration);
        *self.active.borrow_mut() = Some(Rc::new(ActiveConfiguration {
            configuration: Rc::new(configuration),
            routes,
            shards,
        }));
        self.invalidate_shares();
        self.notify();
    }

    /// Records that the data of a topic was current at `moment`.
    pub fn confirm(&self, topic: Topic, moment: Moment) {
        let mut confirmed = self.confirmed.borrow_mut();
        let held = confirmed.entry(topic).or_insert(moment);
        *held = (*held).max(moment);
        if topic == Topic::RollOuts {
            self.roll_out_context.confirm(moment);
        }
    }

    /// Roll-out state shared by all services.
    pub fn roll_out_context(&self) -> &RollOutContext {
        &self.roll_out_context
    }

    /// Notifies daemons that poll this one that its data has been confirmed.
    pub fn announce_confirmation(&self) {
        self.notify();
    }

    /// Time since the data of a topic was last known to be current; none if it never was.
    pub fn age(&self, topic: Topic) -> Option<Duration> {
        let confirmed = self.confirmed.borrow();
        let moment = confirmed.get(&topic)?;
        Some(Clock.now().since(*moment))
    }

    /// Time since this daemon started.
    pub fn uptime(&self) -> Duration {
        Clock.now().since(self.started)
    }

    /// Whether data of every topic has been received.
    pub fn knows_all_topics(&self) -> bool {
        self.settings
            .bounds
            .topics()
            .iter()
            .all(|topic| self.knows(*topic))
    }

    /// Whether the data of a topic must not become stale. Roll-out orders may while none is open: a leaf of an
    /// unknown version is only a last resort until the orders have been read.
    pub fn must_be_fresh(&self, topic: Topic) -> bool {
        topic != Topic::RollOuts || self.has_open_orders() || !self.knows(topic)
    }

    /// Whether data of a topic has been received, however old it is.
    pub fn knows(&self, topic: Topic) -> bool {
        match topic {
            Topic::Configuration => self.active.borrow().is_some(),
            Topic::Leafs => self.directory.borrow().revision().is_some(),
            Topic::Evacuations => self.evacuated.borrow().is_some(),
            Topic::RollOuts => self.roll_outs.borrow().is_some(),
        }
    }

    /// Waits until data of every topic has been received, but no longer than `STARTUP_WAIT` after startup.
    pub async fn wait_for_initial_data(&self) {
        if self.knows_all_topics() {
            return;
        }
        let until = self.started + STARTUP_WAIT;
        let mut changes = self.changes();
        let known = changes.wait_for(|_| self.knows_all_topics());
        let _ = Clock.timeout_at(until, known).await;
    }

    /// Runs a closure on the latency profile of a route.
    pub fn with_latencies<T>(
        &self,
        route: &str,
        use_profile: impl FnOnce(&mut LatencyProfile) -> T,
    ) -> T {
        with_route_state(&self.latencies, route, LatencyProfile::default, use_profile)
    }

    /// Runs a closure on the weighted round robin over the services of a route.
    pub fn with_round_robin<T>(
        &self,
        route: &str,
        use_round_robin: impl FnOnce(&mut WeightedRoundRobin) -> T,
    ) -> T {
        let make = || WeightedRoundRobin::starting_at(rand::random());
        with_route_state(&self.round_robins, route, make, use_round_robin)
    }

    /// Runs a closure on the admission control of a route over shards.
    pub fn with_admission<T>(
        &self,
        route: &str,
        use_admission: impl FnOnce(&mut QueryAdmission) -> T,
    ) -> T {
        with_route_state(
            &self.admissions,
            route,
            QueryAdmission::default,
            use_admission,
        )
    }

    /// Daemons that share budgets and connections, this one included.
    pub fn daemons(&self) -> usize {
        self.daemons.borrow().counts.total()
    }

    /// Sets the daemons known to be running.
    pub fn set_daemons(&self, daemons: DaemonCounts) {
        *self.known_daemons.borrow_mut() = daemons;
        self.count_daemons();
    }

    /// Sets how many of the daemons run queries over shards.
    pub fn set_runners(&self, runners: QueryRunners) {
        *self.known_runners.borrow_mut() = runners;
        self.count_daemons();
    }

    /// Updates the daemons that share budgets and connections. A daemon that has just started does
    /// not know the others yet: until it does, it assumes `ASSUMED_DAEMONS`.
    pub fn count_daemons(&self) {
        let are_known = self.uptime() >= self.settings.bounds.staleness_limit();
        let known = self.known_daemons.borrow();
        let counts = if are_known {
            known.clone()
        } else {
            known.at_least(ASSUMED_DAEMONS, &self.locality.all_regions())
        };
        let runners = self.known_runners.borrow().clone();
        let daemons = SharingDaemons {
            counts,
            runners,
            are_known,
        };
        if *self.daemons.borrow() != daemons {
            *self.daemons.borrow_mut() = daemons;
            self.invalidate_shares();
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

    /// Enters a phase of a planned stop.
    pub fn set_stop_phase(&self, phase: StopPhase) {
        log::info!(phase:? = phase; "stop phase");
        self.stop.send_replace(phase);
    }

    /// Region of this daemon, if its zone is known.
    pub fn own_region(&self) -> Option<&PlaceName> {
        self.locality.own_region()
    }

    /// Number of queries running for other daemons.
    pub fn running_for_peers(&self) -> &Cell<usize> {
        &self.running_for_peers
    }

    /// Recent scheduling delay of tasks.
    pub fn processor_lag(&self) -> &Cell<Duration> {
        &self.processor_lag
    }

    fn remove_unused_routes(&self, configuration: &Configuration) {
        let is_used = |name: &String| configuration.routes.iter().any(|route| route.name == *name);
        self.latencies.borrow_mut().retain(|name, _| is_used(name));
        self.round_robins
            .borrow_mut()
            .retain(|name, _| is_used(name));
        self.admissions.borrow_mut().retain(|name, _| is_used(name));
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Runs a closure on the state of a route, creating it if needed. The name is copied only on creation.
fn with_route_state<S, T>(
    states: &RefCell<HashMap<String, S>>,
    route: &str,
    make: impl FnOnce() -> S,
    use_state: impl FnOnce(&mut S) -> T,
) -> T {
    let mut states = states.borrow_mut();
    if let Some(state) = states.get_mut(route) {
        return use_state(state);
    }
    use_state(states.entry(route.to_owned()).or_insert_with(make))
}
