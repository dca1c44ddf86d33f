//! Links between processes: delay, loss, duplication, reordering and cuts.

use super::message::Endpoint;
use super::topology::{PLACES, daemon_place, daemon_zone, leaf_zone, placement_of_leaf};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One-way delay inside a region.
const ZONE_DELAY: Duration = Duration::from_millis(1);
/// One-way delay between regions.
const REGION_DELAY: Duration = Duration::from_millis(12);
/// One-way delay to callers and operators.
const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// Every delay varies by up to this share above its least value.
const JITTER_SHARE: f64 = 0.3;
/// Extra delay of reordered messages, at most.
const REORDERING_DELAY_MILLIS: u64 = 80;
/// A connection that loses a packet sends it again after this time.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
const LOSS_PROBABILITY: f64 = 0.15;
const DUPLICATION_PROBABILITY: f64 = 0.3;
const BREAK_PROBABILITY: f64 = 0.1;
const CROSSING_PROBABILITY: f64 = 0.15;

/// A part of the network that cannot exchange messages with the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cut {
    /// Between two daemons.
    Pair(usize, usize),
    /// Around a zone of a place.
    Zone(usize, usize),
    /// Around a region.
    Region(usize),
}

/// Disturbances of all links; counted, because two faults of one kind may overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Disturbance {
    /// Datagrams are lost.
    Loss,
    /// Datagrams arrive twice.
    Duplication,
    /// Messages overtake one another.
    Reordering,
    /// Connections break.
    Breaks,
    /// Answers of leafs reach another attempt.
    Crossing,
}

/// State of the network.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeMap<Cut, u32>,
    disturbances: BTreeMap<Disturbance, u32>,
}

impl Network {
    /// Begins a cut.
    pub fn begin_cut(&mut self, cut: Cut) {
        *self.cuts.entry(cut).or_default() += 1;
    }

    /// Ends a cut.
    pub fn end_cut(&mut self, cut: Cut) {
        if let Some(count) = self.cuts.get_mut(&cut) {
            *count = count.saturating_sub(1);
        }
    }

    /// Begins a disturbance.
    pub fn begin(&mut self, disturbance: Disturbance) {
        *self.disturbances.entry(disturbance).or_default() += 1;
    }

    /// Ends a disturbance.
    pub fn end(&mut self, disturbance: Disturbance) {
        if let Some(count) = self.disturbances.get_mut(&disturbance) {
            *count = count.saturating_sub(1);
        }
    }

    /// Whether two processes cannot reach one another.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        let active = self.cuts.iter().filter(|(_, count)| **count > 0);
        active.into_iter().any(|(cut, _)| separates(*cut, from, to))
    }

    /// Delays of the copies of a datagram that arrive; none if it is lost.
    pub fn datagram(&self, from: Endpoint, to: Endpoint, random: &mut SmallRng) -> Vec<Duration> {
        if self.is_cut(from, to) || self.draw(Disturbance::Loss, LOSS_PROBABILITY, random) {
            return Vec::new();
        }
        let mut copies = vec![self.delay(from, to, random)];
        if self.draw(Disturbance::Duplication, DUPLICATION_PROBABILITY, random) {
            copies.push(self.delay(from, to, random) * random.random_range(1..20));
        }
        copies
    }

    /// Delay of a message over a connection that is not cut.
    pub fn stream(&self, from: Endpoint, to: Endpoint, random: &mut SmallRng) -> Duration {
        let delay = self.delay(from, to, random);
        if self.draw(Disturbance::Loss, LOSS_PROBABILITY, random) {
            delay + RETRANSMISSION_DELAY
        } else {
            delay
        }
    }

    /// Whether a connection breaks at this message.
    pub fn breaks(&self, random: &mut SmallRng) -> bool {
        self.draw(Disturbance::Breaks, BREAK_PROBABILITY, random)
    }

    /// Whether an answer of a leaf reaches another attempt.
    pub fn crosses(&self, random: &mut SmallRng) -> bool {
        self.draw(Disturbance::Crossing, CROSSING_PROBABILITY, random)
    }

    fn delay(&self, from: Endpoint, to: Endpoint, random: &mut SmallRng) -> Duration {
        let base = base_delay(from, to);
        let jittered = base.mul_f64(1.0 + random.random_range(0.0..JITTER_SHARE));
        if self.is_active(Disturbance::Reordering) {
            jittered + Duration::from_millis(random.random_range(0..REORDERING_DELAY_MILLIS))
        } else {
            jittered
        }
    }

    fn is_active(&self, disturbance: Disturbance) -> bool {
        self.disturbances
            .get(&disturbance)
            .is_some_and(|count| *count > 0)
    }

    fn draw(&self, disturbance: Disturbance, probability: f64, random: &mut SmallRng) -> bool {
        self.is_active(disturbance) && random.random_bool(probability)
    }
}

/// The places that a process takes part in: the platform is reached from everywhere.
fn place_of(endpoint: Endpoint) -> Option<usize> {
    match endpoint {
        Endpoint::Daemon(daemon) => Some(daemon_place(daemon)),
        Endpoint::Leaf(leaf) => Some(placement_of_leaf(leaf).place),
        Endpoint::Callers(place) => Some(place),
        Endpoint::Store | Endpoint::MachineList | Endpoint::Operator(_) => None,
    }
}

fn zone_of(endpoint: Endpoint) -> Option<usize> {
    match endpoint {
        Endpoint::Daemon(daemon) => Some(daemon_zone(daemon)),
        Endpoint::Leaf(leaf) => Some(leaf_zone(leaf)),
        _ => None,
    }
}

fn base_delay(from: Endpoint, to: Endpoint) -> Duration {
    let ends = [from, to];
    let is_client = |end: &Endpoint| matches!(end, Endpoint::Callers(_) | Endpoint::Operator(_));
    if ends.iter().any(is_client) {
        return CLIENT_DELAY;
    }
    if place_of(from) == place_of(to) {
        ZONE_DELAY
    } else {
        REGION_DELAY
    }
}

fn separates(cut: Cut, from: Endpoint, to: Endpoint) -> bool {
    match cut {
        Cut::Pair(left, right) => {
            let ends = BTreeSet::from([from, to]);
            ends == BTreeSet::from([Endpoint::Daemon(left), Endpoint::Daemon(right)])
        }
        Cut::Zone(place, zone) => {
            let inside = |end| place_of(end) == Some(place) && zone_of(end) == Some(zone);
            inside(from) != inside(to)
        }
        Cut::Region(place) => {
            let inside = |end| place_of(end) == Some(place);
            inside(from) != inside(to)
        }
    }
}

/// The place that a fault's target names.
pub fn target_place(target: usize) -> usize {
    target % PLACES
}
