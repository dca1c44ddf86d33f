//! A fleet of daemons with a roll-out: the real tasks over a network that the test controls.

use super::faulty_source::FaultySource;
use super::gateway;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tansylead_cluster::membership::{Capacity, MemberRecord, MemberState};
use tansylead_gateway::cluster::ClusterView;
use tansylead_gateway::roll_out::{RollOutLink, RollOutMessage, RollOutTask};
use tansylead_gateway::state::Gateway;
use tansylead_route::{RollOutReport, RollOuts};
use tansylead_types::{InstanceId, NodeId, PlaceName, ZoneName};
use tokio::task::{AbortHandle, spawn_local};

/// Ends a test that would hang.
pub const HANG_LIMIT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Longest delay of a message on a bad network: long enough that messages are reordered.
const MAXIMUM_DELAY_MILLIS: u64 = 120;

/// One daemon.
pub struct Daemon {
    pub node: NodeId,
    pub gateway: Rc<Gateway>,
    pub view: Rc<ClusterView>,
    link: Rc<RollOutLink>,
    source: Rc<FaultySource>,
    task: RefCell<Option<AbortHandle>>,
}

/// The faults of the network.
#[derive(Debug, Default)]
pub struct Network {
    /// Daemons that are cut off from all others.
    pub cut: RefCell<BTreeSet<NodeId>>,
    /// Reports that were sent, including lost ones.
    pub reports: RefCell<Vec<RollOutReport>>,
    /// Share of the messages that are lost; as many are duplicated. Unless it is 0, all that arrive are delayed by a
    /// random time.
    pub faults: std::cell::Cell<f64>,
}

/// All daemons.
pub struct Fleet {
    pub daemons: Vec<Rc<Daemon>>,
    pub network: Rc<Network>,
}

fn record(number: u16) -> MemberRecord {
    let address = ([10, 0, 0, 1], 1_000 + number).into();
    let name = format!("region-{}", number % 3);
    MemberRecord {
        instance: InstanceId {
            node: NodeId(address),
            boot: 1,
        },
        incarnation: 1,
        place: PlaceName::new(name).expect("valid name"),
        zone: ZoneName::new("zone").expect("valid name"),
        caller_address: address,
        capacity: Capacity::CORE,
        state: MemberState::Alive,
    }
}

impl Daemon {
    fn new(record: &MemberRecord, members: &[MemberRecord], source: Rc<FaultySource>) -> Self {
        let node = record.node();
        let view = ClusterView::new(node, record.place.clone(), 3, Vec::new());
        view.set_members(members.to_vec(), true);
        view.set_boot(1);
        Self {
            node,
            gateway: gateway(node.0, Vec::new()),
            view: Rc::new(view),
            link: Rc::default(),
            source,
            task: RefCell::default(),
        }
    }

    /// Starts the daemon's task.
    pub fn start(&self) {
        let task = RollOutTask::new(
            Rc::clone(&self.gateway),
            Rc::clone(&self.view),
            Rc::clone(&self.link),
            Rc::clone(&self.source),
        );
        let task = spawn_local(task.run()).abort_handle();
        *self.task.borrow_mut() = Some(task);
    }

    /// Ends the daemon's task.
    pub fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

impl Fleet {
    /// Starts `count` daemons over a network without faults.
    pub fn start(count: u16, source: &Rc<FaultySource>) -> Self {
        let members: Vec<MemberRecord> = (0..count).map(record).collect();
        let daemons = members
            .iter()
            .map(|member| Rc::new(Daemon::new(member, &members, Rc::clone(source))));
        let fleet = Self {
            daemons: daemons.collect(),
            network: Rc::default(),
        };
        for (number, daemon) in fleet.daemons.iter().enumerate() {
            daemon.start();
            let from = Rc::clone(daemon);
            let peers = fleet.daemons.clone();
            let network = Rc::clone(&fleet.network);
            spawn_local(carry(from, peers, network, number as u64));
        }
        fleet
    }

    /// Gives the orders to all daemons.
    pub fn set_orders(&self, orders: &RollOuts) {
        for daemon in &self.daemons {
            daemon.gateway.apply_roll_outs(orders.clone());
        }
    }

    /// The daemon at an address.
    pub fn daemon(&self, node: NodeId) -> &Rc<Daemon> {
        let mut daemons = self.daemons.iter();
        daemons
            .find(|daemon| daemon.node == node)
            .expect("a member")
    }

    /// Clears the reports seen so far, and waits until all daemons in `by` report that they follow the judge.
    pub async fn wait_until_followed(&self, judge: NodeId, by: &[NodeId]) {
        self.network.reports.borrow_mut().clear();
        until("a judge is followed", || {
            let reports = self.network.reports.borrow();
            by.iter().all(|node| {
                let mut latest = reports.iter().rev();
                let latest = latest.find(|report| report.reporter == *node);
                latest.is_some_and(|report| report.follows == Some(judge))
            })
        })
        .await;
    }

    /// All daemons but one.
    pub fn others(&self, node: NodeId) -> Vec<NodeId> {
        let nodes = self.daemons.iter().map(|daemon| daemon.node);
        nodes.filter(|other| *other != node).collect()
    }
}

/// Waits until something holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let waited = tokio::time::timeout(HANG_LIMIT, waiting).await;
    assert!(waited.is_ok(), "never: {what}");
}

/// Delivers the messages of one daemon over the network.
async fn carry(from: Rc<Daemon>, peers: Vec<Rc<Daemon>>, network: Rc<Network>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        from.link.to_send().await;
        for (to, message) in from.link.take_to_send() {
            if let RollOutMessage::Report(report) = &message {
                network.reports.borrow_mut().push(report.clone());
            }
            let cut = network.cut.borrow();
            if cut.contains(&to) || cut.contains(&from.node) {
                continue;
            }
            let Some(peer) = peers.iter().find(|peer| peer.node == to) else {
                continue;
            };
            deliver(peer, message, network.faults.get(), &mut random);
        }
    }
}

fn deliver(peer: &Rc<Daemon>, message: RollOutMessage, faults: f64, random: &mut StdRng) {
    let chance: f64 = random.random();
    if chance < faults {
        return;
    }
    let copies = if chance < 2.0 * faults { 2 } else { 1 };
    for _ in 0..copies {
        let (peer, message) = (Rc::clone(peer), message.clone());
        let delay = random.random_range(0..=MAXIMUM_DELAY_MILLIS);
        spawn_local(async move {
            if faults > 0.0 {
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
            peer.link.receive(vec![message]);
        });
    }
}
