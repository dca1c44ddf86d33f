//! A query over shards: one answer from each, merged.
//!
//! Invariants: the shards are those of one version of the configuration; a part counts once; an
//! answer has at least the parts that the route requires, and states how many are missing.

use super::call::Call;
use super::call_end::{CallEnd, SharedProgress};
use super::leaf_access::LeafAccess;
use super::outcome::{Outcome, Refusal, RefusalReason};
use super::request_quarantine::RequestQuarantine;
use crate::clock::Clock;
use crate::leaf::OutgoingRequest;
use crate::request_trace::{Decision, DenialReason, RequestTrace};
use crate::state::Gateway;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::{HeaderName, HeaderValue};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_http::Reply;
use tansylead_route::{
    AnswerDeadlines, Route, ShardSet, TopRecords, retry_after_outage, retry_after_refusal,
};
use tansylead_types::{Moment, ServiceName};
use tokio::task::spawn_local;

/// A query over shards.
#[derive(Debug)]
pub struct GatherQuery {
    /// Shared state.
    pub gateway: Rc<Gateway>,
    /// Route of the query.
    pub route: Arc<Route>,
    /// Which leafs it may use.
    pub access: LeafAccess,
    /// The query.
    pub request: Rc<OutgoingRequest>,
    /// When it arrived.
    pub arrived: Moment,
    /// How long the caller waits, from its arrival.
    pub time_left: Duration,
    /// Trace of the decisions for the query.
    pub trace: Rc<RequestTrace>,
}

/// Parts received so far.
struct Parts {
    total: usize,
    needed: usize,
    records: TopRecords,
    signatures: Vec<HeaderValue>,
    failed: usize,
    may_have_run: bool,
}

/// Runs a query over shards.
pub async fn gather(query: GatherQuery, set: &ShardSet) -> Outcome {
    let policy = &query.route.policy;
    let deadlines = AnswerDeadlines::new(policy, query.time_left);
    let mut parts = Parts::new(set);
    if query.reachable_shards(set) < parts.needed {
        return Outcome::Refused(Refusal::not_run(retry_after_outage(query.time_left)));
    }
    if !query.is_admitted() {
        return Outcome::Refused(Refusal::overloaded(retry_after_outage(query.time_left)));
    }
    let shared = Rc::new(SharedProgress::default());
    let end = query.arrived + deadlines.end;
    let mut calls: FuturesUnordered<_> = set
        .shards
        .iter()
        .map(|shard| query.call(shard, end, &shared).run())
        .collect();
    let timed_out = collect(&query, deadlines, &shared, &mut calls, &mut parts).await;
    if parts.are_enough() {
        shared.settled.set(true);
        detach_calls(calls, policy.objective);
        return parts.into_outcome();
    }
    parts.may_have_run |= !calls.is_empty();
    let quarantine = RequestQuarantine::new(&query.gateway, &query.request, &shared);
    if !parts.may_have_run
        && let Some(refusal) = quarantine.refusal()
    {
        return Outcome::Refused(refusal);
    }
    let retry_after = retry_after_refusal(policy.objective);
    Outcome::Refused(parts.refusal(timed_out, retry_after))
}

/// Collects parts until no more are worth waiting for. Returns whether the deadline was reached.
async fn collect(
    query: &GatherQuery,
    deadlines: AnswerDeadlines,
    shared: &SharedProgress,
    calls: &mut FuturesUnordered<impl Future<Output = CallEnd>>,
    parts: &mut Parts,
) -> bool {
    let wait_partial = Clock.sleep_until(query.arrived + deadlines.partial_from);
    let wait_end = Clock.sleep_until(query.arrived + deadlines.end);
    tokio::pin!(wait_partial, wait_end);
    let mut is_partial_allowed = false;
    while parts.is_pending() {
        tokio::select! {
            biased;
            Some(ended) = calls.next() => parts.record_end(ended, &query.gateway.names.signature),
            () = &mut wait_partial, if !is_partial_allowed => {
                is_partial_allowed = true;
                query.report_to_admission(parts, shared);
            }
            () = &mut wait_end => return true,
        }
        if is_partial_allowed && parts.are_enough() {
            break;
        }
    }
    if !is_partial_allowed {
        query.report_to_admission(parts, shared);
    }
    false
}

/// Lets open calls finish in the background for a while: their leafs are already at work.
fn detach_calls(calls: FuturesUnordered<impl Future<Output = CallEnd> + 'static>, limit: Duration) {
    if calls.is_empty() {
        return;
    }
    spawn_local(async move {
        let finish = calls.for_each(|_| std::future::ready(()));
        // After the limit the remaining calls are dropped, which ends them.
        let _ = Clock.timeout_at(Clock.now() + limit, finish).await;
    });
}

impl GatherQuery {
    /// Number of shards with a leaf that may be sent this query.
    fn reachable_shards(&self, set: &ShardSet) -> usize {
        let route = self.access.route_in_force();
        let is_reachable = |shard: &&ServiceName| {
            let service = self.gateway.service(shard);
            let reachable = service.has_leafs(&route.policy.homes);
            if !reachable {
                let reason = DenialReason::NoLeaf;
                self.trace.record(shard, Decision::Denied { reason });
            }
            reachable
        };
        set.shards.iter().filter(is_reachable).count()
    }

    fn is_admitted(&self) -> bool {
        self.gateway.with_admission(&self.route.name, |admission| {
            admission.admits(Clock.now(), self.time_left, rand::random())
        })
    }

    /// Reports to admission, once the query has ended or partial answers are allowed, whether it has enough parts.
    fn report_to_admission(&self, parts: &Parts, shared: &SharedProgress) {
        let now = Clock.now();
        let route = self.route.name.as_str();
        let change = self.gateway.with_admission(route, |admission| {
            if parts.are_enough() {
                admission.on_timely(now)
            } else if shared.was_refused.get() {
                admission.on_overload(now)
            } else {
                None
            }
        });
        if let Some(change) = change {
            log::info!(route = route, change = change.label(), in_time = parts.signatures.len(), needed = parts.needed; "admission of queries");
        }
    }

    fn call(&self, shard: &ServiceName, end: Moment, shared: &Rc<SharedProgress>) -> Call {
        Call {
            gateway: Rc::clone(&self.gateway),
            service: self.gateway.service(shard),
            route: Arc::clone(&self.route),
            access: self.access.clone(),
            request: Rc::clone(&self.request),
            end,
            successes_only: true,
            shared: Rc::clone(shared),
            trace: Rc::clone(&self.trace),
        }
    }
}

impl Parts {
    fn new(set: &ShardSet) -> Self {
        Self {
            total: set.shards.len(),
            needed: set.parts_needed(),
            records: TopRecords::new(set.top),
            signatures: Vec::with_capacity(set.shards.len()),
            failed: 0,
            may_have_run: false,
        }
    }

    fn are_enough(&self) -> bool {
        self.signatures.len() >= self.needed
    }

    /// Whether parts are missing, and enough of them may still arrive.
    fn is_pending(&self) -> bool {
        let missing = self.signatures.len() + self.failed < self.total;
        missing && self.total - self.failed >= self.needed
    }

    fn record_end(&mut self, ended: CallEnd, signature: &HeaderName) {
        match ended {
            CallEnd::Answered(reply) => self.add(reply, signature),
            CallEnd::Failed(failure) => {
                self.failed += 1;
                self.may_have_run |= failure.may_have_run;
            }
        }
    }

    fn add(&mut self, reply: Reply, signature: &HeaderName) {
        self.may_have_run = true;
        let value = reply.headers.get(signature);
        let Some(value) = value.filter(|value| !self.signatures.contains(value)) else {
            self.failed += 1;
            return;
        };
        self.signatures.push(value.clone());
        self.records.add(&reply.body);
    }

    fn into_outcome(self) -> Outcome {
        Outcome::Merged {
            missing: self.total - self.signatures.len(),
            signatures: self.signatures,
            body: self.records.into_bytes(),
        }
    }

    fn refusal(&self, timed_out: bool, retry_after: Duration) -> Refusal {
        match (self.may_have_run, timed_out) {
            (false, _) => Refusal::not_run(retry_after),
            (true, true) => Refusal::new(RefusalReason::TimedOut),
            (true, false) => Refusal::new(RefusalReason::Failed),
        }
    }
}
