//! Reading of the machine list: often by daemons that read the store or have not joined, hardly ever
//! by the others. What it says about leafs is passed on to the roots of the place, and repeated.

use super::configuration::PlacementKey;
use super::{Outbox, Purpose, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::message::{CallResult, Endpoint, Request, Response};
use crate::simulation::topology::daemon_index;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_cluster::membership::MembershipEvent;
use tansylead_cluster::routing::RENEWAL_PERIOD;
use tansylead_types::store::{MachineList, MachineState};
use tansylead_types::{LeafId, Moment, ServicePlacement};

const STEP_PERIOD: Duration = Duration::from_secs(1);
/// Period of daemons that do not read the store.
const OTHERS_PERIOD: Duration = Duration::from_secs(600);
const READ_LIMIT: Duration = Duration::from_millis(900);
const NOTICE_LIMIT: Duration = Duration::from_secs(1);

/// What a daemon knows of the machine list.
#[derive(Debug)]
pub(super) struct MachineListReader {
    next_step: Moment,
    next_read: Moment,
    next_renewal: Moment,
    leaving: BTreeSet<SocketAddr>,
}

impl MachineListReader {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            next_step: now,
            next_read: now,
            next_renewal: now,
            leaving: BTreeSet::new(),
        }
    }

    pub(super) fn next_step(&self) -> Moment {
        self.next_step
    }
}

impl SimulatedDaemon {
    pub(super) fn machine_list_timer(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        if self.machine_list.next_step > clocks.now {
            return;
        }
        self.machine_list.next_step = clocks.now + STEP_PERIOD;
        let reads_often = self.spread.is_reader() || !self.membership.is_joined();
        if reads_often || self.machine_list.next_read <= clocks.now {
            self.machine_list.next_read = clocks.now + OTHERS_PERIOD;
            let call = outbox.open(Endpoint::MachineList, Request::Machines, READ_LIMIT);
            self.calls.insert(call, Purpose::Machines);
        }
        if reads_often && self.machine_list.next_renewal <= clocks.now {
            self.machine_list.next_renewal = clocks.now + RENEWAL_PERIOD;
            for address in self.machine_list.leaving.clone() {
                self.tell_roots(clocks, address, outbox);
            }
        }
    }

    pub(super) fn on_machines(
        &mut self,
        clocks: Clocks,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let Ok(Response::Machines(list)) = result else {
            return;
        };
        let leaving = leaving_addresses(&list);
        let known = std::mem::replace(&mut self.machine_list.leaving, leaving.clone());
        for address in leaving.difference(&known) {
            self.tell_roots(clocks, *address, outbox);
        }
        self.feed_membership(clocks, MembershipEvent::MachineList(list), outbox);
    }

    /// Tells a root that has just been made what the last list said.
    pub(super) fn tell_new_root(
        &mut self,
        clocks: Clocks,
        key: &PlacementKey,
        placement: &ServicePlacement,
        outbox: &mut Outbox<'_>,
    ) {
        let leafs = placement.leafs.iter();
        let leaving = leafs.filter(|leaf| self.machine_list.leaving.contains(&leaf.address));
        let leaving: Vec<LeafId> = leaving.map(|leaf| leaf.leaf.clone()).collect();
        for leaf in leaving {
            self.leaf_is_leaving(clocks, key, leaf, outbox);
        }
    }

    /// Tells all roots of this place that the leaf at an address is said to be leaving.
    fn tell_roots(&mut self, clocks: Clocks, address: SocketAddr, outbox: &mut Outbox<'_>) {
        let placements = self.configuration.placements();
        let own = placements.filter(|(key, _)| key.place == self.place);
        let found: Vec<(PlacementKey, LeafId)> = own
            .filter_map(|(key, placement)| {
                let leaf = placement
                    .leafs
                    .iter()
                    .find(|leaf| leaf.address == address)?;
                Some((key, leaf.leaf.clone()))
            })
            .collect();
        for (placement, leaf) in found {
            for node in self.serving.get(&placement).cloned().unwrap_or_default() {
                if node == self.instance.node {
                    self.leaf_is_leaving(clocks, &placement, leaf.clone(), outbox);
                } else if let Some(index) = daemon_index(node) {
                    let request = Request::LeafLeaving {
                        service: placement.service.clone(),
                        place: placement.place.clone(),
                        leaf: leaf.clone(),
                    };
                    let call = outbox.open(Endpoint::Daemon(index), request, NOTICE_LIMIT);
                    self.calls.insert(call, Purpose::Ignored);
                }
            }
        }
    }
}

fn leaving_addresses(list: &MachineList) -> BTreeSet<SocketAddr> {
    let machines = list.machines.iter();
    let leaving = machines.filter(|machine| machine.state == MachineState::Leaving);
    leaving.map(|machine| machine.address).collect()
}
