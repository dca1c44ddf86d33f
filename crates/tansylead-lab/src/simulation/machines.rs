//! The simulated machine list: it shows the machines as they were a while ago.

use super::topology::{DAEMONS, LEAFS, daemon_node, leaf_address};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::Moment;
use tansylead_types::store::{Machine, MachineList, MachineState};

/// How far the list lags behind.
const USUAL_LAG: Duration = Duration::from_secs(2);

/// The machine list.
#[derive(Debug)]
pub struct SimulatedMachineList {
    shown: BTreeMap<SocketAddr, MachineState>,
    /// Changes not shown yet, in order; none as state means that the machine is gone.
    pending: Vec<(Moment, SocketAddr, Option<MachineState>)>,
    /// Faults that stop the list; counted, because faults may overlap.
    pub stale: u32,
}

impl Default for SimulatedMachineList {
    fn default() -> Self {
        let daemons = (0..DAEMONS).map(|daemon| daemon_node(daemon).0);
        let leafs = (0..LEAFS).map(leaf_address);
        Self {
            shown: daemons
                .chain(leafs)
                .map(|address| (address, MachineState::Live))
                .collect(),
            pending: Vec::new(),
            stale: 0,
        }
    }
}

impl SimulatedMachineList {
    /// Notes a change of a machine.
    pub fn note(&mut self, now: Moment, address: SocketAddr, state: Option<MachineState>) {
        self.pending.push((now + USUAL_LAG, address, state));
    }

    /// The list as it is shown now.
    pub fn read(&mut self, now: Moment) -> MachineList {
        if self.stale == 0 {
            self.show_due(now);
        }
        let machines = self.shown.iter();
        MachineList {
            machines: machines
                .map(|(&address, &state)| Machine { address, state })
                .collect(),
        }
    }

    fn show_due(&mut self, now: Moment) {
        let pending = std::mem::take(&mut self.pending);
        for (due, address, state) in pending {
            if due > now {
                self.pending.push((due, address, state));
                continue;
            }
            match state {
                Some(state) => self.shown.insert(address, state),
                None => self.shown.remove(&address),
            };
        }
    }
}
