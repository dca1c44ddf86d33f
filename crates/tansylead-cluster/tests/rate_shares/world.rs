//! Simulates roots with their own clocks, pauses and views, over a network that loses, delays,
//! duplicates and reorders messages, in virtual time. The check: the usable parts of all running
//! roots sum to at most the whole limit.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_cluster::routing::{RateShares, ShareAction, ShareMessage, ShareParts, ShareTiming};
use tansylead_types::{InstanceId, Moment, NodeId};

const NODES: usize = 4;
const TICK_MICROS: u64 = 100_000;
const LIMIT: u32 = 1_000;
/// Clock rates in per mille; they differ by less than margin / lease.
const CLOCK_RATES: [u64; NODES] = [980, 1_000, 1_020, 1_000];

/// Longest delay until a view reaches a running root; a pause delays it further.
const LONGEST_LAG_WITH_PAUSES: Duration = Duration::from_millis(1_800);

/// A deliberate fault in the roots or in the conditions they rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,
    NoTakeoverWait,
    NoPauseLimit,
    LenderClockRunsFast,
    ViewsLagTooLong,
}

#[derive(Debug, Clone)]
pub enum Operation {
    Advance {
        millis: u64,
    },
    Demand {
        node: usize,
        rate: u32,
    },
    Pause {
        node: usize,
        millis: u64,
    },
    Restart {
        node: usize,
    },
    MoveSlot {
        slot: usize,
        node: usize,
    },
    Resize {
        slots: usize,
    },
    /// The first owner leaves and another root joins; the other owners move by one slot.
    Rotate {
        node: usize,
    },
    Network {
        loss: u32,
        duplicates: u32,
        delay_millis: u64,
    },
}

pub fn operation() -> impl Strategy<Value = Operation> {
    let node = || 0..NODES;
    prop_oneof![
        6 => (50u64..2_500).prop_map(|millis| Operation::Advance { millis }),
        4 => (node(), 0u32..1_500).prop_map(|(node, rate)| Operation::Demand { node, rate }),
        2 => (node(), 100u64..15_000).prop_map(|(node, millis)| Operation::Pause { node, millis }),
        1 => node().prop_map(|node| Operation::Restart { node }),
        2 => (0usize..3, node()).prop_map(|(slot, node)| Operation::MoveSlot { slot, node }),
        1 => (1usize..4).prop_map(|slots| Operation::Resize { slots }),
        2 => node().prop_map(|node| Operation::Rotate { node }),
        1 => (0u32..60, 0u32..60, 1u64..4_000).prop_map(|(loss, duplicates, delay_millis)| {
            Operation::Network { loss, duplicates, delay_millis }
        }),
    ]
}

#[derive(Debug, Clone)]
enum Event {
    Tick,
    Deliver { from: usize, message: ShareMessage },
    View { version: u64, owners: Vec<usize> },
}

struct Node {
    shares: RateShares,
    demand: u32,
    view: u64,
    paused_since: u64,
    paused_until: u64,
}

pub struct World {
    flaw: Flaw,
    has_pauses: bool,
    longest_view_lag: u64,
    timing: ShareTiming,
    random: StdRng,
    now: u64,
    sequence: u64,
    last_boot: u64,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    nodes: Vec<Node>,
    owners: Vec<usize>,
    version: u64,
    loss: u32,
    duplicates: u32,
    delay_micros: u64,
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        let mut timing = ShareTiming::default();
        match flaw {
            Flaw::NoTakeoverWait => timing.takeover = Duration::ZERO,
            Flaw::NoPauseLimit => timing.longest_pause = Duration::from_secs(1_000_000),
            _ => {}
        }
        let longest_view_lag = match flaw {
            Flaw::ViewsLagTooLong => timing.takeover + LONGEST_LAG_WITH_PAUSES,
            _ => LONGEST_LAG_WITH_PAUSES,
        };
        let mut world = Self {
            flaw,
            has_pauses: true,
            longest_view_lag: micros(longest_view_lag),
            timing,
            random: StdRng::seed_from_u64(1),
            now: 0,
            sequence: 0,
            last_boot: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            owners: vec![0, 1],
            version: 1,
            loss: 0,
            duplicates: 0,
            delay_micros: 5_000,
        };
        for node in 0..NODES {
            let shares = world.new_shares(node);
            world.nodes.push(Node {
                shares,
                demand: 0,
                view: 0,
                paused_since: 0,
                paused_until: 0,
            });
            world.schedule(TICK_MICROS, node, Event::Tick);
        }
        world.spread_view();
        world
    }

    /// A world where roots never pause, and views arrive as late as the guarantee allows.
    pub fn without_pauses() -> Self {
        let mut world = Self::new(Flaw::None);
        world.has_pauses = false;
        world.longest_view_lag = micros(ShareTiming::default().longest_view_lag());
        world
    }

    pub fn apply(&mut self, operation: &Operation) -> Result<(), String> {
        match *operation {
            Operation::Advance { millis } => return self.run_for(millis * 1_000),
            Operation::Demand { node, rate } => self.nodes[node].demand = rate,
            Operation::Pause { .. } if !self.has_pauses => {}
            Operation::Pause { node, millis } => {
                let until = self.now + millis * 1_000;
                let node = &mut self.nodes[node];
                if node.paused_until <= self.now {
                    node.paused_since = self.now;
                    node.paused_until = until;
                }
            }
            Operation::Restart { node } => self.restart(node),
            Operation::MoveSlot { slot, node } => {
                let slot = slot % self.owners.len();
                self.owners[slot] = node;
                self.spread_view();
            }
            Operation::Resize { slots } => {
                self.owners = (0..slots).collect();
                self.spread_view();
            }
            Operation::Rotate { node } => {
                self.owners.remove(0);
                self.owners.push(node);
                self.spread_view();
            }
            Operation::Network {
                loss,
                duplicates,
                delay_millis,
            } => {
                self.loss = loss;
                self.duplicates = duplicates;
                self.delay_micros = delay_millis * 1_000;
            }
        }
        Ok(())
    }

    pub fn usable(&self, node: usize) -> ShareParts {
        self.nodes[node].shares.usable(self.local_time(node))
    }

    fn run_for(&mut self, micros: u64) -> Result<(), String> {
        let end = self.now + micros;
        while let Some(((at, _), (node, event))) = self.pop_before(end) {
            self.now = self.now.max(at);
            self.check()?;
            self.handle(node, event);
            self.check()?;
        }
        self.now = end;
        self.check()
    }

    fn pop_before(&mut self, end: u64) -> Option<((u64, u64), (usize, Event))> {
        let first = self.queue.first_entry()?;
        (first.key().0 <= end).then(|| first.remove_entry())
    }

    fn check(&self) -> Result<(), String> {
        let running = (0..NODES).filter(|&node| self.nodes[node].paused_until <= self.now);
        let usable: Vec<u32> = running.map(|node| self.usable(node).0).collect();
        let total: u32 = usable.iter().sum();
        if total <= ShareParts::WHOLE.0 {
            return Ok(());
        }
        Err(format!("{usable:?} parts in use at {} us", self.now))
    }

    fn handle(&mut self, node: usize, event: Event) {
        let (paused_since, paused_until) =
            (self.nodes[node].paused_since, self.nodes[node].paused_until);
        if paused_until > self.now {
            self.schedule_after_pause(node, event, paused_since, paused_until);
            return;
        }
        let now = self.local_time(node);
        let demand = f64::from(self.nodes[node].demand);
        let shares = &mut self.nodes[node].shares;
        let actions = match event {
            Event::Tick => {
                shares.set_demand(demand);
                let actions = shares.on_wakeup(now);
                self.schedule(self.now + TICK_MICROS, node, Event::Tick);
                actions
            }
            Event::Deliver { from, message } => shares.on_message(now, node_id(from), message),
            Event::View { version, owners } => {
                if version > self.nodes[node].view {
                    let roots: Vec<NodeId> = owners.into_iter().map(node_id).collect();
                    self.nodes[node].view = version;
                    self.nodes[node].shares.set_roots(now, &roots);
                }
                Vec::new()
            }
        };
        for ShareAction::Send { to, message } in actions {
            self.send(node, to, message);
        }
    }

    /// Events for a paused node reach it when it resumes; a view after a long pause is delayed
    /// further.
    fn schedule_after_pause(&mut self, node: usize, event: Event, since: u64, until: u64) {
        let is_long = until - since > micros(ShareTiming::default().longest_pause);
        let lag = match event {
            Event::View { .. } if is_long => self.view_lag(),
            _ => 0,
        };
        self.schedule(until + lag, node, event);
    }

    fn send(&mut self, from: usize, to: NodeId, message: ShareMessage) {
        let to = usize::from(to.0.port());
        let copies = if self.random.random_range(0..100) < self.duplicates {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.random.random_range(0..100) >= self.loss {
                let delay = self.random.random_range(0..self.delay_micros);
                self.schedule(self.now + delay, to, Event::Deliver { from, message });
            }
        }
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node].shares = self.new_shares(node);
        self.nodes[node].view = 0;
        self.nodes[node].paused_until = 0;
        let lag = self.view_lag();
        let event = Event::View {
            version: self.version,
            owners: self.owners.clone(),
        };
        self.schedule(self.now + lag, node, event);
    }

    fn spread_view(&mut self) {
        self.version += 1;
        for node in 0..NODES {
            let lag = self.view_lag();
            let event = Event::View {
                version: self.version,
                owners: self.owners.clone(),
            };
            self.schedule(self.now + lag, node, event);
        }
    }

    fn view_lag(&mut self) -> u64 {
        self.random.random_range(0..self.longest_view_lag)
    }

    fn new_shares(&mut self, node: usize) -> RateShares {
        self.last_boot += 1_000_000;
        let own = InstanceId {
            node: node_id(node),
            boot: self.last_boot,
        };
        let mut shares = RateShares::new(self.local_time(node), own, self.timing);
        shares.set_limit(LIMIT);
        shares
    }

    fn local_time(&self, node: usize) -> Moment {
        let is_fast = self.flaw == Flaw::LenderClockRunsFast && node == 0;
        let rate = if is_fast { 1_300 } else { CLOCK_RATES[node] };
        Moment(1_000_000 * node as u64 + self.now * rate / 1_000)
    }

    fn schedule(&mut self, at: u64, node: usize, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (node, event));
    }
}

fn node_id(node: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], node as u16).into())
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}
