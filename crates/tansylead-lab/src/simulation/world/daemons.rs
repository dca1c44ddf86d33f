//! Daemons in the world: starting and ending them, and performing what they ask for.

use super::{Event, World};
use crate::simulation::clock::Clocks;
use crate::simulation::daemon::{DaemonAction, Outbox, SimulatedDaemon};
use crate::simulation::history::{LeavingSign, OutageKind, TableInForce};
use crate::simulation::message::{CallId, CallResult, Endpoint, Process, Request, Response};
use crate::simulation::topology::{daemon_index, daemon_node, leaf_index};
use tansylead_cluster::membership::GossipPacket;
use tansylead_types::leaf::RefusalReason;
use tansylead_types::store::{MachineList, MachineState};
use tansylead_types::{ConfigObject, NodeId, StoredObject};

impl World<'_> {
    pub(super) fn start_daemon(&mut self, daemon: usize) {
        let endpoint = Endpoint::Daemon(daemon);
        let now = self.now();
        if self.daemons[daemon].is_some() {
            return;
        }
        let Some(host) = self.hosts.get_mut(&endpoint) else {
            return;
        };
        host.boot += 1;
        host.is_running = true;
        host.wakeup = None;
        let (boot, down_since) = (host.boot, host.down_since);
        self.note_outage(daemon, OutageKind::Dead, down_since, now);
        let address = daemon_node(daemon).0;
        self.machines.note(now, address, Some(MachineState::Live));
        let seed = self.plan.seed ^ ((daemon as u64) << 32) ^ (boot << 48);
        let clocks = self.clocks(endpoint);
        let state = SimulatedDaemon::start(clocks, daemon, seed, self.sabotage);
        self.daemons[daemon] = Some(state);
        self.with_daemon(daemon, |daemon, clocks, outbox| {
            daemon.on_wakeup(clocks, outbox)
        });
    }

    /// The process is gone at once; what it had handed over is on its way.
    pub(super) fn end_daemon(&mut self, daemon: usize) {
        let endpoint = Endpoint::Daemon(daemon);
        if self.daemons[daemon].take().is_none() {
            return;
        }
        let ended = self.process(endpoint);
        let now = self.now();
        if let Some(host) = self.hosts.get_mut(&endpoint) {
            host.is_running = false;
            host.inbox.clear();
            host.down_since = now;
        }
        self.machines.note(now, daemon_node(daemon).0, None);
        self.break_connections(ended);
    }

    pub(super) fn daemon_serves(&mut self, daemon: usize, call: CallId, request: Request) {
        self.with_daemon(daemon, |daemon, clocks, outbox| {
            daemon.on_request(clocks, call, request, outbox);
        });
    }

    pub(super) fn daemon_gets(&mut self, daemon: usize, call: CallId, result: CallResult) {
        self.note_leaving_signs(daemon, call, &result);
        self.with_daemon(daemon, |daemon, clocks, outbox| {
            daemon.on_call_ended(clocks, call, result, outbox);
        });
    }

    pub(super) fn daemon_loses_client(&mut self, daemon: usize, call: CallId) {
        self.with_daemon(daemon, |daemon, clocks, outbox| {
            daemon.on_abandoned(clocks, call, outbox);
        });
    }

    pub(super) fn on_datagram(&mut self, to: Process, from: NodeId, bytes: &[u8]) {
        let Endpoint::Daemon(daemon) = to.endpoint else {
            return;
        };
        let Ok(packet) = self.codec.decode(bytes) else {
            return;
        };
        self.with_daemon(daemon, |daemon, clocks, outbox| {
            daemon.on_datagram(clocks, from, Box::new(packet), outbox);
        });
    }

    pub(super) fn on_daemon_wakes(&mut self, process: Process) {
        let Endpoint::Daemon(daemon) = process.endpoint else {
            return;
        };
        if !self.is_running(process) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(&process.endpoint) {
            host.wakeup = None;
        }
        self.with_daemon(daemon, |daemon, clocks, outbox| {
            daemon.on_wakeup(clocks, outbox)
        });
    }

    /// Lets a daemon act, performs its actions, and schedules its next wakeup.
    pub(super) fn with_daemon(
        &mut self,
        daemon: usize,
        act: impl FnOnce(&mut SimulatedDaemon, Clocks, &mut Outbox<'_>),
    ) {
        let endpoint = Endpoint::Daemon(daemon);
        let clocks = self.clocks(endpoint);
        let Some(state) = self.daemons[daemon].as_mut() else {
            return;
        };
        let mut outbox = Outbox::new(&mut self.next_call);
        act(state, clocks, &mut outbox);
        let actions = std::mem::take(&mut outbox.actions);
        let process = self.process(endpoint);
        for action in actions {
            self.perform(daemon, process, action);
        }
        self.schedule_wakeup(daemon, process);
    }

    fn schedule_wakeup(&mut self, daemon: usize, process: Process) {
        let state = self.daemons[daemon].as_ref();
        let Some(wakeup) = state.and_then(|state| state.next_wakeup()) else {
            return;
        };
        let Some(host) = self.hosts.get_mut(&process.endpoint) else {
            return;
        };
        if host.wakeup.is_none_or(|scheduled| wakeup < scheduled) {
            host.wakeup = Some(wakeup);
            self.queue.schedule(wakeup, Event::DaemonWakes { process });
        }
    }

    fn perform(&mut self, daemon: usize, process: Process, action: DaemonAction) {
        match action {
            DaemonAction::Datagram { to, packet } => self.send_datagram(process, to, &packet),
            DaemonAction::Open {
                call,
                to,
                request,
                limit,
            } => self.open_call(call, process, to, request, limit),
            DaemonAction::Cancel(call) => self.cancel_call(call),
            DaemonAction::Respond(call, response) => self.respond(call, response),
            DaemonAction::TableInForce(stored) => self.note_table(process, &stored),
            DaemonAction::Exit => self.end_daemon(daemon),
        }
    }

    fn send_datagram(&mut self, from: Process, to: NodeId, packet: &GossipPacket) {
        let Some(index) = daemon_index(to) else {
            return;
        };
        let bytes = self.codec.encode(packet).expect("a packet fits its limit");
        let to = self.process(Endpoint::Daemon(index));
        let copies = self
            .network
            .datagram(from.endpoint, to.endpoint, &mut self.random);
        let Endpoint::Daemon(sender) = from.endpoint else {
            return;
        };
        for delay in copies {
            let event = Event::Datagram {
                to,
                from: daemon_node(sender),
                bytes: bytes.clone(),
            };
            self.queue.schedule_after(delay, event);
        }
    }

    fn note_table(&mut self, process: Process, stored: &StoredObject) {
        if let Some(ConfigObject::Table(table)) = &stored.object {
            self.history.tables_in_force.push(TableInForce {
                process,
                at: self.now(),
                generation: stored.generation,
                change: stored.change.clone(),
                table: table.clone(),
            });
        }
    }

    fn note_leaving_signs(&mut self, daemon: usize, call: CallId, result: &CallResult) {
        let Ok(response) = result else {
            return;
        };
        let leafs = match response {
            Response::Machines(list) => leaving_leafs(list),
            response if shows_leaving(response) => {
                match self.calls.get(&call).map(|call| call.to.endpoint) {
                    Some(Endpoint::Leaf(leaf)) => vec![leaf],
                    _ => Vec::new(),
                }
            }
            _ => Vec::new(),
        };
        let (to, at) = (self.process(Endpoint::Daemon(daemon)), self.now());
        let signs = leafs.into_iter().map(|leaf| LeavingSign { leaf, to, at });
        self.history.leaving_signs.extend(signs);
    }
}

fn leaving_leafs(list: &MachineList) -> Vec<usize> {
    let machines = list.machines.iter();
    let leaving = machines.filter(|machine| machine.state == MachineState::Leaving);
    leaving
        .filter_map(|machine| leaf_index(machine.address))
        .collect()
}

fn shows_leaving(response: &Response) -> bool {
    match response {
        Response::Found(answer) => answer.load.draining,
        Response::Refused(refusal) => {
            refusal.load.draining || refusal.reason == RefusalReason::Draining
        }
        Response::Health(report) => report.load.draining,
        _ => false,
    }
}
