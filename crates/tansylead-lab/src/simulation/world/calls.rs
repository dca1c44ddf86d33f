//! Calls: requests over connections, with everything that can go wrong on the way.
//!
//! Invariants: a request reaches its server at most once, and only the run that it was sent to;
//! each side of a call sees its end once; `NotSent` means that no server ever sees the request.

use super::{Event, World};
use crate::simulation::message::{
    CallFailure, CallId, CallResult, Endpoint, Process, Request, Response,
};
use rand::RngExt;
use std::time::Duration;

/// Opening a connection fails after this time without an answer.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Share of calls that find an open connection.
const POOLED_SHARE: f64 = 0.5;

/// One call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) from: Process,
    pub(super) to: Process,
    client_done: bool,
    server_done: bool,
    /// The connection breaks when the answer is sent.
    breaks: bool,
    is_search: bool,
}

impl World<'_> {
    /// Opens a call from a process outside the daemons.
    pub(super) fn open_outside_call(
        &mut self,
        from: Endpoint,
        to: Endpoint,
        request: Request,
        limit: Duration,
    ) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let from = self.process(from);
        self.open_call(call, from, to, request, limit);
        call
    }

    pub(super) fn open_call(
        &mut self,
        call: CallId,
        from: Process,
        to: Endpoint,
        request: Request,
        limit: Duration,
    ) {
        let to = self.process(to);
        let breaks = self.network.breaks(&mut self.random);
        let is_search = matches!(request, Request::Search(_));
        let state = Call {
            from,
            to,
            client_done: false,
            server_done: false,
            breaks,
            is_search,
        };
        self.calls.insert(call, state);
        self.end_call_after(limit, call, Err(CallFailure::Failed));
        let delay = self
            .network
            .stream(from.endpoint, to.endpoint, &mut self.random);
        if self.network.is_cut(from.endpoint, to.endpoint) {
            if !self.random.random_bool(POOLED_SHARE) {
                let wait = CONNECT_LIMIT.min(limit);
                self.end_call_after(wait, call, Err(CallFailure::NotSent));
            }
        } else if !self.is_running(to) {
            self.end_call_after(delay * 2, call, Err(CallFailure::NotSent));
        } else if breaks && self.random.random_bool(0.5) {
            self.end_call_after(delay, call, Err(CallFailure::Failed));
        } else {
            self.queue
                .schedule_after(delay, Event::CallArrives { call, request });
        }
    }

    fn end_call_after(&mut self, delay: Duration, call: CallId, result: CallResult) {
        self.queue
            .schedule_after(delay, Event::CallEnds { call, result });
    }

    pub(super) fn on_call_arrives(&mut self, call: CallId, request: Request) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        let (from, to) = (state.from, state.to);
        if self.network.is_cut(from.endpoint, to.endpoint) {
            return;
        }
        if !self.is_running(to) {
            let delay = self
                .network
                .stream(to.endpoint, from.endpoint, &mut self.random);
            return self.end_call_after(delay, call, Err(CallFailure::Failed));
        }
        match to.endpoint {
            Endpoint::Daemon(daemon) => self.daemon_serves(daemon, call, request),
            Endpoint::Leaf(leaf) => self.leaf_serves(leaf, from, call, request),
            Endpoint::Store => self.store_receives(call, request),
            Endpoint::MachineList => {
                let list = self.machines.read(self.now());
                self.respond(call, Response::Machines(list));
            }
            Endpoint::Callers(_) | Endpoint::Operator(_) => {}
        }
    }

    /// A server answers.
    pub(super) fn respond(&mut self, call: CallId, response: Response) {
        let crosses = self.network.crosses(&mut self.random);
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if state.server_done {
            return;
        }
        state.server_done = true;
        if crosses && state.is_search {
            return self.cross(call, response);
        }
        self.deliver_response(call, response);
    }

    fn deliver_response(&mut self, call: CallId, response: Response) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        let (from, to, breaks) = (state.from, state.to, state.breaks);
        if self.network.is_cut(from.endpoint, to.endpoint) {
            return;
        }
        let delay = self
            .network
            .stream(to.endpoint, from.endpoint, &mut self.random);
        let result = if breaks {
            Err(CallFailure::Failed)
        } else {
            Ok(response)
        };
        self.end_call_after(delay, call, result);
    }

    /// Exchanges the answers of two attempts of one daemon.
    fn cross(&mut self, call: CallId, response: Response) {
        let client = self.calls.get(&call).map(|call| call.from);
        match self.crossed.take() {
            Some((other, other_response))
                if self.calls.get(&other).map(|call| call.from) == client =>
            {
                self.deliver_response(call, other_response);
                self.deliver_response(other, response);
            }
            Some((other, other_response)) => {
                self.deliver_response(other, other_response);
                self.crossed = Some((call, response));
            }
            None => self.crossed = Some((call, response)),
        }
    }

    pub(super) fn on_call_ends(&mut self, call: CallId, result: CallResult) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if state.client_done {
            return;
        }
        state.client_done = true;
        let (from, server_done) = (state.from, state.server_done);
        if !server_done {
            self.tell_server(call);
        }
        if !self.is_running(from) {
            return;
        }
        match from.endpoint {
            Endpoint::Daemon(daemon) => self.daemon_gets(daemon, call, result),
            Endpoint::Callers(_) => self.caller_gets(call, result),
            Endpoint::Operator(operator) => self.operator_gets(operator, call, result),
            Endpoint::Leaf(_) | Endpoint::Store | Endpoint::MachineList => {}
        }
    }

    /// A client gives a call up.
    pub(super) fn cancel_call(&mut self, call: CallId) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if !state.client_done {
            state.client_done = true;
            self.tell_server(call);
        }
    }

    fn tell_server(&mut self, call: CallId) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        let (from, to) = (state.from.endpoint, state.to.endpoint);
        if !self.network.is_cut(from, to) {
            let delay = self.network.stream(from, to, &mut self.random);
            self.queue
                .schedule_after(delay, Event::CallAbandoned { call });
        }
    }

    pub(super) fn on_call_abandoned(&mut self, call: CallId) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        let to = state.to;
        if state.server_done || !self.is_running(to) {
            return;
        }
        if let Some(state) = self.calls.get_mut(&call) {
            state.server_done = true;
        }
        match to.endpoint {
            Endpoint::Daemon(daemon) => self.daemon_loses_client(daemon, call),
            Endpoint::Leaf(leaf) => self.leaf_loses_client(leaf, call),
            Endpoint::Store => self.store.on_abandoned(call),
            Endpoint::MachineList | Endpoint::Callers(_) | Endpoint::Operator(_) => {}
        }
    }

    /// Breaks all connections of a run that has ended.
    pub(super) fn break_connections(&mut self, ended: Process) {
        let open = self.calls.iter();
        let open = open.filter(|(_, c)| !(c.client_done && c.server_done));
        let mine: Vec<CallId> = open
            .filter(|(_, call)| call.from == ended || call.to == ended)
            .map(|(call, _)| *call)
            .collect();
        for call in mine {
            if self
                .calls
                .get(&call)
                .is_some_and(|state| state.from == ended)
            {
                self.cancel_call(call);
                continue;
            }
            self.break_call(call);
        }
    }

    /// A server closes the connection without an answer.
    pub(super) fn break_call(&mut self, call: CallId) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        state.server_done = true;
        let (from, to) = (state.from.endpoint, state.to.endpoint);
        if !self.network.is_cut(from, to) {
            let delay = self.network.stream(to, from, &mut self.random);
            self.end_call_after(delay, call, Err(CallFailure::Failed));
        }
    }
}
