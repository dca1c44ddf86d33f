//! Callers and the load balancers in front of the daemons.

use super::{Event, World};
use crate::simulation::history::{CallerRecord, CallerResult, key_text};
use crate::simulation::message::{CallFailure, CallId, CallResult, Endpoint, Request, Response};
use crate::simulation::topology::{DAEMONS, PLACES, daemon_place};
use std::time::Duration;
use tansylead_types::{IdempotencyKey, QueryRequest, Repeatability, RequestId, WallTime};

/// Period at which load balancers look which daemons are ready.
const LOAD_BALANCER_PERIOD: Duration = Duration::from_millis(500);
/// Callers wait this much longer than their time limit.
const CALLER_PATIENCE: Duration = Duration::from_secs(5);

impl World<'_> {
    pub(super) fn load_balancers_look(&mut self) {
        self.usable_daemons = (0..PLACES).map(|place| self.ready_daemons(place)).collect();
        self.queue
            .schedule_after(LOAD_BALANCER_PERIOD, Event::LoadBalancersLook);
    }

    /// Ready daemons of a place, or of any place if it has none. A suspended daemon looks as it
    /// did before.
    fn ready_daemons(&self, place: usize) -> Vec<usize> {
        let is_ready = |daemon: &usize| {
            let state = self.daemons[*daemon].as_ref();
            state.is_some_and(|state| state.is_ready())
        };
        let ready: Vec<usize> = (0..DAEMONS).filter(is_ready).collect();
        let local = ready.iter().copied();
        let local: Vec<usize> = local
            .filter(|daemon| daemon_place(*daemon) == place)
            .collect();
        if local.is_empty() { ready } else { local }
    }

    pub(super) fn caller_sends(&mut self, query: usize) {
        let planned = &self.plan.queries[query];
        let usable = self.usable_daemons.get(planned.place);
        let Some(daemons) = usable.filter(|daemons| !daemons.is_empty()) else {
            return;
        };
        let daemon = daemons[planned.daemon % daemons.len()];
        let number = planned.number;
        let request = RequestId::new(format!("request{number}")).expect("generated name is valid");
        let body = match planned.key {
            Some(key) => format!(r#"{{"post":"{}"}}"#, key_text(key)),
            None => format!(r#"{{"find":"{number}"}}"#),
        };
        let message = QueryRequest {
            request: request.clone(),
            service: planned.service.name(),
            body: body.clone(),
            routing_key: planned.routing_key.clone(),
            time_left: planned.time_limit,
            repeatability: self.repeatability(query),
        };
        let limit = planned.time_limit + CALLER_PATIENCE;
        let callers = Endpoint::Callers(planned.place);
        let record = self.history.callers.len();
        if let Some(cancel_after) = planned.cancel_after {
            self.queue
                .schedule_after(cancel_after, Event::CallerCancels { record });
        }
        self.history.callers.push(CallerRecord {
            planned: planned.clone(),
            daemon,
            request,
            body,
            sent: self.queue.now(),
            cancelled: None,
            results: Vec::new(),
        });
        let to = Endpoint::Daemon(daemon);
        let call = self.open_outside_call(callers, to, Request::Query(message), limit);
        self.caller_calls.insert(call, record);
    }

    fn repeatability(&self, query: usize) -> Repeatability {
        match self.plan.queries[query].key {
            None => Repeatability::Repeatable,
            Some(key) => {
                let exact = crate::simulation::clock::read_clocks(key.expires, 0);
                Repeatability::NonRepeatable {
                    key: IdempotencyKey::new(key_text(key)).expect("generated name is valid"),
                    expires: WallTime(exact.wall.0),
                }
            }
        }
    }

    pub(super) fn caller_gets(&mut self, call: CallId, result: CallResult) {
        let Some(&record) = self.caller_calls.get(&call) else {
            return;
        };
        let result = match result {
            Ok(Response::Answer(answer)) => CallerResult::Answered(answer),
            Err(CallFailure::NotSent) => CallerResult::NoConnection,
            Ok(_) | Err(CallFailure::Failed) => CallerResult::Broken,
        };
        let now = self.now();
        self.history.callers[record].results.push((now, result));
    }

    pub(super) fn caller_cancels(&mut self, record: usize) {
        if !self.history.callers[record].results.is_empty() {
            return;
        }
        self.history.callers[record].cancelled = Some(self.now());
        let found = self
            .caller_calls
            .iter()
            .find(|(_, known)| **known == record);
        if let Some(call) = found.map(|(call, _)| *call) {
            self.cancel_call(call);
        }
    }
}
