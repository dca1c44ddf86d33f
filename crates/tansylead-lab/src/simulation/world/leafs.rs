//! Leafs in the world.

use super::{Event, World};
use crate::simulation::history::Arrival;
use crate::simulation::leaf::{ExecutionId, LeafAction};
use crate::simulation::message::{CallId, Endpoint, Process, Request, Response};
use crate::simulation::sabotage::Sabotage;
use crate::simulation::topology::leaf_address;
use tansylead_types::leaf::LeafRequest;
use tansylead_types::store::MachineState;

impl World<'_> {
    pub(super) fn leaf_serves(
        &mut self,
        leaf: usize,
        from: Process,
        call: CallId,
        request: Request,
    ) {
        match request {
            Request::Search(request) => self.leaf_searches(leaf, from, call, request),
            Request::Health => {
                let health = self.leafs[leaf].health();
                self.respond(call, Response::Health(health));
            }
            _ => {}
        }
    }

    fn leaf_searches(
        &mut self,
        leaf: usize,
        from: Process,
        call: CallId,
        mut request: LeafRequest,
    ) {
        self.history.arrivals.push(Arrival {
            leaf,
            from,
            sent: self.now(),
        });
        if self.sabotage == Some(Sabotage::MixedSnapshots)
            && let Some(newest) = self.leafs[leaf].newest_version()
        {
            request.snapshot = newest;
        }
        let clocks = self.clocks(Endpoint::Leaf(leaf));
        let log = &mut self.history.executions;
        let actions = self.leafs[leaf].on_search(clocks, call, request, &mut self.random, log);
        self.perform_leaf(leaf, actions);
    }

    pub(super) fn on_leaf_finishes(&mut self, process: Process, execution: ExecutionId) {
        let Endpoint::Leaf(leaf) = process.endpoint else {
            return;
        };
        if !self.is_running(process) {
            return;
        }
        let clocks = self.clocks(process.endpoint);
        let log = &mut self.history.executions;
        let actions = self.leafs[leaf].finish(clocks, execution, &mut self.random, log);
        self.perform_leaf(leaf, actions);
    }

    pub(super) fn leaf_loses_client(&mut self, leaf: usize, call: CallId) {
        let clocks = self.clocks(Endpoint::Leaf(leaf));
        let log = &mut self.history.executions;
        let actions = self.leafs[leaf].on_abandoned(clocks, call, &mut self.random, log);
        self.perform_leaf(leaf, actions);
    }

    fn perform_leaf(&mut self, leaf: usize, actions: Vec<LeafAction>) {
        let process = self.process(Endpoint::Leaf(leaf));
        for action in actions {
            match action {
                LeafAction::Respond(call, response) => self.respond(call, response),
                LeafAction::FinishAt(at, execution) => {
                    self.queue
                        .schedule(at, Event::LeafFinishes { process, execution });
                }
            }
        }
    }

    /// The process is gone at once.
    pub(super) fn end_leaf(&mut self, leaf: usize) {
        let endpoint = Endpoint::Leaf(leaf);
        let ended = self.process(endpoint);
        if !self.is_running(ended) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(&endpoint) {
            host.is_running = false;
            host.inbox.clear();
        }
        let now = self.now();
        self.machines.note(now, leaf_address(leaf), None);
        self.break_connections(ended);
    }

    /// A new run, cold.
    pub(super) fn start_leaf(&mut self, leaf: usize) {
        let endpoint = Endpoint::Leaf(leaf);
        if self.is_running(self.process(endpoint)) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(&endpoint) {
            host.is_running = true;
            host.boot += 1;
        }
        let now = self.now();
        self.machines
            .note(now, leaf_address(leaf), Some(MachineState::Live));
        self.leafs[leaf] = self.leafs[leaf].restarted(now);
    }
}
