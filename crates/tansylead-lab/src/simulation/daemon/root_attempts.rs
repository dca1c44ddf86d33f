//! Attempts of a simulated root: connecting, the last check before sending, and their ends.

use super::configuration::PlacementKey;
use super::root::{PendingWrite, expiry_of};
use super::{Outbox, Purpose, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::message::{CallFailure, CallId, CallResult, Request, Response};
use crate::simulation::sabotage::Sabotage;
use rand::RngExt;
use std::time::Duration;
use tansylead_cluster::claims::check_before_dispatch;
use tansylead_query::{AttemptResult, RootEvent, SendAttempt};
use tansylead_types::leaf::{LeafAnswer, LeafRequest};
use tansylead_types::{AttemptId, LeafId, QueryId, QueryRequest, Repeatability};

/// Share of attempts that need a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.1;
const NEW_CONNECTION_MICROS: u64 = 2_500;
const POOLED_CONNECTION_MICROS: u64 = 50;
/// Sabotage: attempts are waited for at least this long.
const SABOTAGED_LIMIT: Duration = Duration::from_secs(1);

impl SimulatedDaemon {
    /// The attempt gets its connection a little later: the process may be suspended in between.
    pub(super) fn queue_write(
        &mut self,
        clocks: Clocks,
        placement: &PlacementKey,
        attempt: SendAttempt,
    ) {
        let micros = if self.random.random_bool(NEW_CONNECTION_SHARE) {
            NEW_CONNECTION_MICROS
        } else {
            POOLED_CONNECTION_MICROS
        };
        let due = clocks.now + Duration::from_micros(micros);
        let write = PendingWrite {
            placement: placement.clone(),
            attempt,
        };
        self.writes.insert((due, self.next_write), write);
        self.next_write += 1;
    }

    pub(super) fn write_due(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        while let Some((&(due, number), _)) = self.writes.first_key_value() {
            if due > clocks.now {
                return;
            }
            if let Some(write) = self.writes.remove(&(due, number)) {
                self.write(clocks, write, outbox);
            }
        }
    }

    fn write(&mut self, clocks: Clocks, write: PendingWrite, outbox: &mut Outbox<'_>) {
        let PendingWrite { placement, attempt } = write;
        let Some(root) = self.roots.get_mut(&placement) else {
            return;
        };
        let Some(running) = root.queries.get(&attempt.query) else {
            return;
        };
        let request = running.request.clone();
        let endpoint = root.leafs.get(&attempt.leaf).map(|leaf| leaf.endpoint);
        let name = root.name.clone();
        // Last act before the request is handed over: a process suspended until now must not send.
        let may_send = self.may_send(clocks, &attempt, &request);
        let (Some(endpoint), true) = (endpoint, may_send) else {
            let result = if may_send {
                AttemptResult::NotSent
            } else {
                AttemptResult::Expired
            };
            let event = ended(attempt.query, attempt.attempt, result);
            return self.feed_engine(clocks, &placement, event, outbox);
        };
        let mut limit = attempt.deadline.since(clocks.now);
        if self.is_sabotaged(Sabotage::NoExpiryCheck) {
            limit = limit.max(SABOTAGED_LIMIT);
        }
        let message = leaf_request(&attempt, &request, name, limit);
        let call = outbox.open(endpoint, Request::Search(message), limit);
        let purpose = Purpose::Attempt {
            placement: placement.clone(),
            query: attempt.query,
            attempt: attempt.attempt,
            leaf: attempt.leaf,
        };
        self.calls.insert(call, purpose);
        if let Some(root) = self.roots.get_mut(&placement)
            && let Some(running) = root.queries.get_mut(&attempt.query)
        {
            running.in_flight.insert(attempt.attempt, call);
            running.pinned = Some(attempt.snapshot);
        }
    }

    fn may_send(&self, clocks: Clocks, attempt: &SendAttempt, request: &QueryRequest) -> bool {
        if self.is_sabotaged(Sabotage::NoExpiryCheck) {
            return true;
        }
        let settings = self.claims.settings();
        let in_time = clocks.now < attempt.deadline;
        let expires = expiry_of(request);
        let is_valid = expires
            .is_none_or(|expires| check_before_dispatch(expires, clocks.wall, settings).is_ok());
        in_time && is_valid
    }

    pub(super) fn cancel_attempt(
        &mut self,
        placement: &PlacementKey,
        query: QueryId,
        attempt: AttemptId,
        outbox: &mut Outbox<'_>,
    ) {
        self.writes
            .retain(|_, write| write.attempt.query != query || write.attempt.attempt != attempt);
        let sabotaged = self.is_sabotaged(Sabotage::CancelledBytes);
        let Some(root) = self.roots.get_mut(placement) else {
            return;
        };
        let running = root.queries.get_mut(&query);
        let Some(call) = running.and_then(|running| running.in_flight.remove(&attempt)) else {
            return;
        };
        if sabotaged {
            root.cancelled.insert(call);
        } else {
            self.calls.remove(&call);
            outbox.cancel(call);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_attempt_ended(
        &mut self,
        clocks: Clocks,
        call: CallId,
        placement: &PlacementKey,
        (query, attempt): (QueryId, AttemptId),
        leaf: LeafId,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(root) = self.roots.get_mut(placement) else {
            return;
        };
        if let Some(running) = root.queries.get_mut(&query) {
            running.in_flight.remove(&attempt);
        }
        let mut result = attempt_result(result);
        self.sabotage_result(call, placement, (query, attempt), &leaf, &mut result);
        let event = ended(query, attempt, result);
        self.feed_engine(clocks, placement, event, outbox);
    }

    fn sabotage_result(
        &mut self,
        call: CallId,
        placement: &PlacementKey,
        (query, attempt): (QueryId, AttemptId),
        leaf: &LeafId,
        result: &mut AttemptResult,
    ) {
        match self.sabotage {
            Some(Sabotage::BrokenIsNotSent) if *result == AttemptResult::Failed => {
                *result = AttemptResult::NotSent;
            }
            Some(Sabotage::NoLeavingSigns) => match result {
                AttemptResult::Answered(answer) => answer.load.draining = false,
                AttemptResult::Refused(refusal) => refusal.load.draining = false,
                _ => {}
            },
            Some(Sabotage::CancelledBytes) => {
                self.leave_or_take_bytes(call, placement, (query, attempt), leaf, result);
            }
            Some(Sabotage::MixedSnapshots) => {
                self.relabel_snapshot(placement, query, result);
            }
            _ => {}
        }
    }

    /// Sabotage: a cancelled attempt's answer stays on the connection, and the next answer of the
    /// leaf is taken for it without matching.
    fn leave_or_take_bytes(
        &mut self,
        call: CallId,
        placement: &PlacementKey,
        (query, attempt): (QueryId, AttemptId),
        leaf: &LeafId,
        result: &mut AttemptResult,
    ) {
        let Some(root) = self.roots.get_mut(placement) else {
            return;
        };
        let AttemptResult::Answered(answer) = result else {
            return;
        };
        if root.cancelled.remove(&call) {
            root.leftover.insert(leaf.clone(), answer.clone());
            *result = AttemptResult::Failed;
            return;
        }
        if let Some(leftover) = root.leftover.remove(leaf) {
            let crossed = LeafAnswer {
                request: answer.request.clone(),
                query,
                attempt,
                shard: answer.shard.clone(),
                snapshot: answer.snapshot,
                ..leftover
            };
            *result = AttemptResult::Answered(crossed);
        }
    }

    /// Sabotage: whatever version was searched is taken for the pinned one.
    fn relabel_snapshot(
        &mut self,
        placement: &PlacementKey,
        query: QueryId,
        result: &mut AttemptResult,
    ) {
        let root = self.roots.get(placement);
        let running = root.and_then(|root| root.queries.get(&query));
        if let (Some(running), AttemptResult::Answered(answer)) = (running, result)
            && let Some(pinned) = running.pinned
        {
            answer.snapshot = pinned;
        }
    }
}

fn ended(query: QueryId, attempt: AttemptId, result: AttemptResult) -> RootEvent {
    RootEvent::AttemptEnded {
        query,
        attempt,
        result,
    }
}

fn attempt_result(result: CallResult) -> AttemptResult {
    match result {
        Ok(Response::Found(answer)) => AttemptResult::Answered(answer),
        Ok(Response::Refused(refusal)) => AttemptResult::Refused(refusal),
        Err(CallFailure::NotSent) => AttemptResult::NotSent,
        Ok(_) | Err(CallFailure::Failed) => AttemptResult::Failed,
    }
}

fn leaf_request(
    attempt: &SendAttempt,
    request: &QueryRequest,
    root: String,
    limit: Duration,
) -> LeafRequest {
    let (expires, idempotency_key) = match &request.repeatability {
        Repeatability::Repeatable => (None, None),
        Repeatability::NonRepeatable { key, expires } => (Some(*expires), Some(key.clone())),
    };
    LeafRequest {
        request: request.request.clone(),
        root,
        query: attempt.query,
        attempt: attempt.attempt,
        service: request.service.clone(),
        shard: attempt.shard.clone(),
        snapshot: attempt.snapshot,
        time_left_millis: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        expires,
        idempotency_key,
        body: request.body.clone(),
    }
}
