//! The world of one case: all processes, the network between them, and the faults, under virtual
//! time.
//!
//! Invariant: everything that happens is an event of one queue, and every random choice comes from
//! one generator, so that a plan has exactly one history.

mod callers;
mod calls;
mod daemons;
mod fault_effects;
mod faults;
mod leafs;
mod operators;
mod platform;
mod repartition;

use super::clock::{Clocks, EventQueue, read_clocks};
use super::daemon::SimulatedDaemon;
use super::fault::FaultKind;
use super::history::{AcceptedTable, History, Outage};
use super::leaf::{ExecutionId, SimulatedLeaf};
use super::machines::SimulatedMachineList;
use super::message::{CallId, CallResult, Endpoint, Process, Request};
use super::network::Network;
use super::operator::OperatorDesk;
use super::plan::{CasePlan, END};
use super::sabotage::Sabotage;
use super::store::SimulatedStore;
use super::topology::{DAEMONS, LEAFS, first_objects, first_table};
use calls::Call;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use repartition::Repartition;
use std::collections::BTreeMap;
use tansylead_cluster::codec::GossipCodec;
use tansylead_types::{Moment, NodeId, ObjectKey};

/// Wall clocks of daemons and leafs are off by up to this much in either direction.
const MAXIMUM_SKEW_MILLIS: i64 = 240;
const CLUSTER_NAME: &str = "simulated";

/// Something that happens at a moment.
#[derive(Debug)]
enum Event {
    Datagram {
        to: Process,
        from: NodeId,
        bytes: Vec<u8>,
    },
    CallArrives {
        call: CallId,
        request: Request,
    },
    CallEnds {
        call: CallId,
        result: CallResult,
    },
    CallAbandoned {
        call: CallId,
    },
    DaemonStarts {
        daemon: usize,
    },
    DaemonWakes {
        process: Process,
    },
    LeafFinishes {
        process: Process,
        execution: ExecutionId,
    },
    LeafStarts {
        leaf: usize,
    },
    StoreHandles {
        call: CallId,
        request: Request,
    },
    StoreReleases {
        call: CallId,
    },
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
    /// A rolling restart goes on.
    RollingStep {
        wave: usize,
    },
    PlannedStop {
        daemon: usize,
    },
    /// A daemon that was stopped is started again once it has ended.
    RestartWhenEnded {
        daemon: usize,
    },
    RepartitionStep {
        number: usize,
    },
    LeafDropsVersion {
        leaf: usize,
        version: tansylead_types::SnapshotVersion,
    },
    LoadBalancersLook,
    CallerSends {
        query: usize,
    },
    CallerCancels {
        record: usize,
    },
    OperatorEdits {
        operator: usize,
    },
    OperatorLooks {
        operator: usize,
    },
    RaceGoesOn {
        fault: usize,
    },
}

/// The machine that a process runs on.
#[derive(Debug)]
struct Host {
    boot: u64,
    is_running: bool,
    /// Faults that suspend it; counted, because faults may overlap.
    frozen: u32,
    /// Events that came while it was suspended.
    inbox: Vec<Event>,
    skew_millis: i64,
    down_since: Moment,
    wakeup: Option<Moment>,
}

/// One case under way.
#[derive(Debug)]
pub struct World<'a> {
    plan: &'a CasePlan,
    sabotage: Option<Sabotage>,
    queue: EventQueue<Event>,
    random: SmallRng,
    network: Network,
    codec: GossipCodec,
    hosts: BTreeMap<Endpoint, Host>,
    daemons: Vec<Option<SimulatedDaemon>>,
    leafs: Vec<SimulatedLeaf>,
    store: SimulatedStore,
    machines: SimulatedMachineList,
    operators: OperatorDesk,
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
    crossed: Option<(CallId, super::message::Response)>,
    usable_daemons: Vec<Vec<usize>>,
    caller_calls: BTreeMap<CallId, usize>,
    repartitions: Vec<Repartition>,
    frozen_since: BTreeMap<usize, Moment>,
    history: History,
    faults_begun: BTreeMap<FaultKind, u64>,
}

/// What a case came to.
#[derive(Debug)]
pub struct CaseOutcome {
    /// What happened.
    pub history: History,
    /// Faults that really began, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
}

/// Runs a plan to its end.
pub fn run(plan: &CasePlan, sabotage: Option<Sabotage>) -> CaseOutcome {
    let mut world = World::new(plan, sabotage);
    while let Some(event) = world.queue.take_before(END) {
        world.history.steps += 1;
        world.handle(event);
    }
    world.close()
}

impl<'a> World<'a> {
    fn new(plan: &'a CasePlan, sabotage: Option<Sabotage>) -> Self {
        let mut random = SmallRng::seed_from_u64(plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let daemons = (0..DAEMONS).map(Endpoint::Daemon);
        let endpoints = daemons.chain((0..LEAFS).map(Endpoint::Leaf));
        let hosts = endpoints.map(|endpoint| (endpoint, Host::new(&mut random)));
        let mut world = Self {
            plan,
            sabotage,
            queue: EventQueue::default(),
            hosts: hosts.collect(),
            random,
            network: Network::default(),
            codec: GossipCodec::new(CLUSTER_NAME),
            daemons: (0..DAEMONS).map(|_| None).collect(),
            leafs: (0..LEAFS).map(SimulatedLeaf::new).collect(),
            store: SimulatedStore::with_objects(first_objects()),
            machines: SimulatedMachineList::default(),
            operators: OperatorDesk::new(sabotage),
            calls: BTreeMap::new(),
            next_call: 0,
            crossed: None,
            usable_daemons: Vec::new(),
            caller_calls: BTreeMap::new(),
            repartitions: Vec::new(),
            frozen_since: BTreeMap::new(),
            history: History::default(),
            faults_begun: BTreeMap::new(),
        };
        world.note_first_table();
        world.schedule_plan();
        world
    }

    fn note_first_table(&mut self) {
        if let Some(stored) = self.store.get(&ObjectKey::Table) {
            self.history.accepted_tables.push(AcceptedTable {
                at: Moment::default(),
                generation: stored.generation,
                change: stored.change.clone(),
                table: first_table(),
            });
        }
    }

    fn schedule_plan(&mut self) {
        for leaf in &mut self.leafs {
            leaf.faults.ignores_expiry = self.sabotage == Some(Sabotage::NoExpiryCheck);
        }
        for daemon in 0..DAEMONS {
            let at = Moment(self.random.random_range(0..1_000_000));
            self.queue.schedule(at, Event::DaemonStarts { daemon });
        }
        for (fault, planned) in self.plan.faults.iter().enumerate() {
            self.queue
                .schedule(planned.at, Event::FaultBegins { fault });
        }
        for (query, planned) in self.plan.queries.iter().enumerate() {
            self.queue
                .schedule(planned.at, Event::CallerSends { query });
        }
        for at in super::operator::USUAL_EDITS {
            self.queue
                .schedule(at, Event::OperatorEdits { operator: 0 });
        }
        self.queue
            .schedule(Moment::default(), Event::LoadBalancersLook);
    }

    fn handle(&mut self, event: Event) {
        let Some(event) = self.hold_if_frozen(event) else {
            return;
        };
        match event {
            Event::Datagram { to, from, bytes } => self.on_datagram(to, from, &bytes),
            Event::CallArrives { call, request } => self.on_call_arrives(call, request),
            Event::CallEnds { call, result } => self.on_call_ends(call, result),
            Event::CallAbandoned { call } => self.on_call_abandoned(call),
            Event::DaemonStarts { daemon } => self.start_daemon(daemon),
            Event::DaemonWakes { process } => self.on_daemon_wakes(process),
            Event::LeafFinishes { process, execution } => self.on_leaf_finishes(process, execution),
            Event::LeafStarts { leaf } => self.start_leaf(leaf),
            Event::StoreHandles { call, request } => self.store_performs(call, request),
            Event::StoreReleases { call } => self.store_releases(call),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::RollingStep { wave } => self.rolling_step(wave),
            Event::PlannedStop { daemon } => self.stop_daemon(daemon),
            Event::RestartWhenEnded { daemon } => self.restart_when_ended(daemon),
            Event::RepartitionStep { number } => self.repartition_step(number),
            Event::LeafDropsVersion { leaf, version } => self.leafs[leaf].drop_version(version),
            Event::LoadBalancersLook => self.load_balancers_look(),
            Event::CallerSends { query } => self.caller_sends(query),
            Event::CallerCancels { record } => self.caller_cancels(record),
            Event::OperatorEdits { operator } => self.operator_edits(operator),
            Event::OperatorLooks { operator } => self.operator_looks(operator),
            Event::RaceGoesOn { fault } => self.race_goes_on(fault),
        }
    }

    /// Keeps an event for later if the process it is for is suspended.
    fn hold_if_frozen(&mut self, event: Event) -> Option<Event> {
        let target = match &event {
            Event::Datagram { to: process, .. }
            | Event::DaemonWakes { process }
            | Event::LeafFinishes { process, .. } => Some(process.endpoint),
            Event::CallArrives { call, .. } | Event::CallAbandoned { call } => {
                self.calls.get(call).map(|call| call.to.endpoint)
            }
            Event::CallEnds { call, .. } => self.calls.get(call).map(|call| call.from.endpoint),
            _ => None,
        };
        let host = target.and_then(|endpoint| self.hosts.get_mut(&endpoint));
        match host {
            Some(host) if host.frozen > 0 => {
                host.inbox.push(event);
                None
            }
            _ => Some(event),
        }
    }

    fn now(&self) -> Moment {
        self.queue.now()
    }

    fn clocks(&self, endpoint: Endpoint) -> Clocks {
        let skew = self.hosts.get(&endpoint).map_or(0, |host| host.skew_millis);
        read_clocks(self.now(), skew)
    }

    /// The present run of a process.
    fn process(&self, endpoint: Endpoint) -> Process {
        let boot = self.hosts.get(&endpoint).map_or(0, |host| host.boot);
        Process { endpoint, boot }
    }

    /// Whether this very run is running. The platform, callers and operators always are.
    fn is_running(&self, process: Process) -> bool {
        let host = self.hosts.get(&process.endpoint);
        host.is_none_or(|host| host.is_running && host.boot == process.boot)
    }

    fn close(mut self) -> CaseOutcome {
        let now = self.now();
        for daemon in 0..DAEMONS {
            let host = &self.hosts[&Endpoint::Daemon(daemon)];
            if !host.is_running {
                let from = host.down_since;
                self.note_outage(daemon, super::history::OutageKind::Dead, from, now);
            }
        }
        self.note_final_tables();
        CaseOutcome {
            history: self.history,
            faults: self.faults_begun,
        }
    }

    fn note_final_tables(&mut self) {
        for daemon in 0..DAEMONS {
            let process = self.process(Endpoint::Daemon(daemon));
            if !self.is_running(process) {
                continue;
            }
            let applied = self.history.tables_in_force.iter().rev();
            let mut applied = applied.filter(|in_force| in_force.process == process);
            let last = applied.next().map(|in_force| in_force.change.clone());
            self.history.final_tables.push((process, last));
        }
    }

    fn note_outage(
        &mut self,
        daemon: usize,
        kind: super::history::OutageKind,
        from: Moment,
        until: Moment,
    ) {
        self.history.outages.push(Outage {
            daemon,
            kind,
            from,
            until,
        });
    }
}

impl Host {
    fn new(random: &mut SmallRng) -> Self {
        Self {
            boot: 0,
            is_running: true,
            frozen: 0,
            inbox: Vec::new(),
            skew_millis: random.random_range(-MAXIMUM_SKEW_MILLIS..=MAXIMUM_SKEW_MILLIS),
            down_since: Moment::default(),
            wakeup: None,
        }
    }
}
