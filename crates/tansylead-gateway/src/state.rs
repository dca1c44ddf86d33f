//! What the tasks of one daemon share. One thread: interior mutability, no locks.
//!
//! Invariants: the configuration's version never goes down, whatever the source says; no borrow is held over a wait.

mod era;
mod kept_connections;
mod leafs;
mod roll_outs;

use crate::clock::Clock;
use crate::cluster::QueryRoots;
use crate::headers::HeaderNames;
use crate::leaf::{LeafState, ServiceState};
use crate::metrics::Metrics;
use crate::quarantine::QuarantineState;
use crate::report_queue::ReportQueue;
use crate::request_log::RequestLogLimits;
use crate::roll_out::RollOutContext;
use crate::settings::GatewaySettings;
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
use tansylead_types::{LeafId, Moment, PlaceName, ServiceName};
use tokio::sync::watch;

/// Requests that arrive in this first time of a daemon's life wait for what is being read.
const STARTUP_WAIT: Duration = Duration::from_millis(80);
/// Daemons that share a leaf's connections as long as they are not known.
const ASSUMED_DAEMONS: usize = 8;

/// One version of the configuration with its index.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub configuration: Rc<Configuration>,
    /// Its routes by host and prefix.
    pub routes: RouteTable,
    /// The services that are shards of a route.
    pub shards: HashSet<ServiceName>,
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

/// Daemons that share what leafs bear.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SharingDaemons {
    counts: DaemonCounts,
    /// Those that run queries over shards.
    runners: QueryRunners,
    /// Whether this daemon has had the time to learn of the others.
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
    /// Limits of the lines of single requests.
    pub(crate) request_log_limits: RequestLogLimits,
    /// Reports on leafs that wait to be sent to other daemons.
    pub(crate) reports: ReportQueue,
    /// Requests under which leafs end.
    pub quarantine: QuarantineState,
    started: Moment,
    locality: Locality,
    active: RefCell<Option<Rc<ActiveConfiguration>>>,
    directory: RefCell<LeafDirectory>,
    source_era: Cell<Option<Era>>,
    /// Leafs that the source took out lately.
    departed: RefCell<RemovedLeafs>,
    /// None until it is known which zones are being emptied.
    evacuated: RefCell<Option<EvacuationOrders>>,
    /// What is ordered, as the source tells it; none until it is known.
    roll_outs: RefCell<Option<RollOuts>>,
    /// The same with what the source has lost: what is acted on.
    current_roll_outs: RefCell<RollOuts>,
    order_memory: RefCell<OrderMemory>,
    roll_out_context: Rc<RollOutContext>,
    /// Revision up to which the orders must be known for the leafs that are held.
    roll_outs_needed: Cell<Revision>,
    services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    leafs: RefCell<HashMap<LeafId, Rc<LeafState>>>,
    latencies: RefCell<HashMap<String, LatencyProfile>>,
    turns: RefCell<HashMap<String, WeightedRoundRobin>>,
    admissions: RefCell<HashMap<String, QueryAdmission>>,
    /// Until when each topic was known to be current.
    confirmed: RefCell<HashMap<Topic, Moment>>,
    changed: watch::Sender<u64>,
    stop: watch::Sender<StopPhase>,
    /// Daemons that share budgets and connections.
    daemons: RefCell<SharingDaemons>,
    /// Rises whenever parts of budgets and connections are others than before.
    sharing: Cell<u64>,
    /// Daemons that membership knows of.
    known_daemons: RefCell<DaemonCounts>,
    /// Those of them that run queries over shards.
    known_runners: RefCell<QueryRunners>,
    /// Whether anything comes on connections to leafs that were kept.
    kept_silence: Cell<ConnectionSilence>,
    connections: Cell<usize>,
    running_for_peers: Cell<usize>,
    processor_lag: Cell<Duration>,
    /// The daemons of the region that run queries over shards for this one.
    pub roots: QueryRoots,
}

impl Gateway {
    /// State of a daemon that knows nothing yet.
    pub fn new(settings: GatewaySettings, names: HeaderNames) -> Self {
        let locality = Locality::new(settings.zone.clone(), settings.regions.clone());
        let assumed = SharingDaemons {
            counts: DaemonCounts::default().at_least(ASSUMED_DAEMONS, &locality.all_regions()),
            runners: QueryRunners::default(),
            are_known: false,
        };
        let (started, metrics) = (Clock.now(), Metrics::new());
        let context = RollOutContext::new(&settings.bounds, started, metrics.roll_outs.clone());
        Self {
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
            departed: RefCell::default(),
            evacuated: RefCell::default(),
            roll_outs: RefCell::default(),
            current_roll_outs: RefCell::default(),
            order_memory: RefCell::default(),
            roll_out_context: Rc::new(context),
            roll_outs_needed: Cell::default(),
            services: RefCell::default(),
            leafs: RefCell::default(),
            latencies: RefCell::default(),
            turns: RefCell::default(),
            admissions: RefCell::default(),
            confirmed: RefCell::default(),
            changed: watch::Sender::new(0),
            stop: watch::Sender::new(StopPhase::Serving),
            daemons: RefCell::new(assumed),
            sharing: Cell::new(0),
            known_daemons: RefCell::default(),
            known_runners: RefCell::default(),
            kept_silence: Cell::default(),
            connections: Cell::new(0),
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
        let shards = configuration.shards().cloned().collect();
        self.forget_unused_routes(&configuration);
        *self.active.borrow_mut() = Some(Rc::new(ActiveConfiguration {
            configuration: Rc::new(configuration),
            routes,
            shards,
        }));
        self.share_all_connections();
        self.notify();
    }

    /// Notes that what is held of a topic was current at `moment`.
    pub fn confirm(&self, topic: Topic, moment: Moment) {
        let mut confirmed = self.confirmed.borrow_mut();
        let held = confirmed.entry(topic).or_insert(moment);
        *held = (*held).max(moment);
        if topic == Topic::RollOuts {
            self.roll_out_context.confirm(moment);
        }
    }

    /// What the versions of all services share.
    pub fn roll_out_context(&self) -> &RollOutContext {
        &self.roll_out_context
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

    /// Whether everything is known that the source tells.
    pub fn knows_enough(&self) -> bool {
        self.settings
            .bounds
            .topics()
            .iter()
            .all(|topic| self.knows(*topic))
    }

    /// Whether the word on a topic must not grow old. That on roll-outs may while none is open: a leaf of a
    /// version that nobody knows is held until the orders have been read.
    pub fn must_be_fresh(&self, topic: Topic) -> bool {
        topic != Topic::RollOuts || self.has_open_orders() || !self.knows(topic)
    }

    /// Whether a topic is known, however old the word is.
    pub fn knows(&self, topic: Topic) -> bool {
        match topic {
            Topic::Configuration => self.active.borrow().is_some(),
            Topic::Leafs => self.directory.borrow().revision().is_some(),
            Topic::Evacuations => self.evacuated.borrow().is_some(),
            Topic::RollOuts => self.roll_outs.borrow().is_some(),
        }
    }

    /// Waits until everything is known that the source tells, but not beyond the first moments of this daemon's life,
    /// in which they are being read.
    pub async fn wait_until_known(&self) {
        if self.knows_enough() {
            return;
        }
        let until = self.started + STARTUP_WAIT;
        let mut changes = self.changes();
        let known = changes.wait_for(|_| self.knows_enough());
        let _ = Clock.timeout_at(until, known).await;
    }

    /// Latencies of a route.
    pub fn with_latencies<T>(
        &self,
        route: &str,
        use_profile: impl FnOnce(&mut LatencyProfile) -> T,
    ) -> T {
        with_route_state(&self.latencies, route, LatencyProfile::default, use_profile)
    }

    /// Turns among the weighted services of a route.
    pub fn with_turns<T>(
        &self,
        route: &str,
        use_turns: impl FnOnce(&mut WeightedRoundRobin) -> T,
    ) -> T {
        let make = || WeightedRoundRobin::starting_at(rand::random());
        with_route_state(&self.turns, route, make, use_turns)
    }

    /// Admission of the queries of a route over shards.
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

    /// Sets the daemons known to run.
    pub fn set_daemons(&self, daemons: DaemonCounts) {
        *self.known_daemons.borrow_mut() = daemons;
        self.count_daemons();
    }

    /// Sets how many of the daemons run queries over shards.
    pub fn set_runners(&self, runners: QueryRunners) {
        *self.known_runners.borrow_mut() = runners;
        self.count_daemons();
    }

    /// Counts the daemons that share budgets and connections. A daemon that has just started does
    /// not know the others yet: until then it takes it that there are some.
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

    /// Region of this daemon, if its zone is known.
    pub fn own_region(&self) -> Option<&PlaceName> {
        self.locality.own_region()
    }

    /// Queries that run for other daemons.
    pub fn running_for_peers(&self) -> &Cell<usize> {
        &self.running_for_peers
    }

    /// How long tasks waited for the processor lately.
    pub fn processor_lag(&self) -> &Cell<Duration> {
        &self.processor_lag
    }

    /// Callers' connections.
    pub fn connections(&self) -> &Cell<usize> {
        &self.connections
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
