//! A query over shards: one answer of each, merged.
//!
//! Invariants: the shards are those of one version of the configuration; a part counts once; an
//! answer has at least the parts that the route asks for, and says how many are missing.

use super::call::{Call, CallEnd};
use super::outcome::{Outcome, Refusal, RefusalReason};
use crate::clock::Clock;
use crate::http_client::Reply;
use crate::leaf::OutgoingRequest;
use crate::request_log::RequestTrace;
use crate::state::Gateway;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::{HeaderName, HeaderValue};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_route::{Patience, Route, ShardSet, TopRecords};
use tansylead_types::Moment;
use tokio::task::spawn_local;

/// Share of the objective after which a caller may come back.
const RETRY_AFTER_SHARE: u32 = 4;

/// A query over shards.
#[derive(Debug)]
pub struct GatherQuery {
    /// Shared state.
    pub gateway: Rc<Gateway>,
    /// Route of the query.
    pub route: Arc<Route>,
    /// The query.
    pub request: Rc<OutgoingRequest>,
    /// When it arrived.
    pub arrived: Moment,
    /// Until when the caller waits.
    pub time_left: Duration,
    /// Its decisions.
    pub trace: Rc<RequestTrace>,
}

/// Parts that are in.
struct Parts {
    records: TopRecords,
    signatures: Vec<HeaderValue>,
    failed: usize,
    may_have_run: bool,
}

/// Runs a query over shards.
pub async fn gather(query: GatherQuery, set: &ShardSet) -> Outcome {
    let policy = &query.route.policy;
    let patience = Patience::new(policy, query.time_left);
    let retry_after = policy.objective / RETRY_AFTER_SHARE;
    let needed = set.parts_needed();
    if reachable_shards(&query.gateway, set) < needed {
        return Outcome::Refused(Refusal::not_run(retry_after));
    }
    let end = query.arrived + patience.end;
    let enough = query.arrived + patience.enough;
    let settled = Rc::new(Cell::new(false));
    let mut calls: FuturesUnordered<_> = set
        .shards
        .iter()
        .map(|shard| {
            let call = Call {
                gateway: Rc::clone(&query.gateway),
                service: query.gateway.service(shard),
                route: Arc::clone(&query.route),
                request: Rc::clone(&query.request),
                end,
                successes_only: true,
                settled: Rc::clone(&settled),
                trace: Rc::clone(&query.trace),
            };
            call.run()
        })
        .collect();
    let mut parts = Parts {
        records: TopRecords::new(set.top),
        signatures: Vec::with_capacity(set.shards.len()),
        failed: 0,
        may_have_run: false,
    };
    let total = set.shards.len();
    let signature = &query.gateway.names.signature;
    let wait_enough = tokio::time::sleep_until(Clock.instant_at(enough));
    let wait_end = tokio::time::sleep_until(Clock.instant_at(end));
    tokio::pin!(wait_enough, wait_end);
    let mut past_enough = false;
    let mut timed_out = false;
    while parts.signatures.len() + parts.failed < total {
        if total - parts.failed < needed {
            break;
        }
        tokio::select! {
            biased;
            Some(ended) = calls.next() => match ended {
                CallEnd::Answered(reply) => parts.add(reply, signature),
                CallEnd::Failed(failure) => {
                    parts.failed += 1;
                    parts.may_have_run |= failure.may_have_run;
                }
            },
            () = &mut wait_enough, if !past_enough => past_enough = true,
            () = &mut wait_end => {
                timed_out = true;
                break;
            }
        }
        if past_enough && parts.signatures.len() >= needed {
            break;
        }
    }
    let open = calls.len();
    if parts.signatures.len() >= needed {
        settled.set(true);
        leave_to_finish(calls, policy.objective);
        return Outcome::Merged {
            missing: total - parts.signatures.len(),
            signatures: parts.signatures,
            body: parts.records.into_bytes(),
        };
    }
    let ran = parts.may_have_run || !parts.signatures.is_empty() || open > 0;
    let refusal = match (ran, timed_out) {
        (false, _) => Refusal::not_run(retry_after),
        (true, true) => Refusal::new(RefusalReason::TimedOut),
        (true, false) => Refusal::new(RefusalReason::Failed),
    };
    Outcome::Refused(refusal)
}

/// Shards with a leaf that takes requests.
fn reachable_shards(gateway: &Gateway, set: &ShardSet) -> usize {
    let services = set.shards.iter().map(|shard| gateway.service(shard));
    services.filter(|service| service.has_leafs()).count()
}

/// Lets the calls that are still open go on for a while: their leafs are at work already.
fn leave_to_finish(
    calls: FuturesUnordered<impl Future<Output = CallEnd> + 'static>,
    limit: Duration,
) {
    if calls.is_empty() {
        return;
    }
    spawn_local(async move {
        let finish = calls.for_each(|_| std::future::ready(()));
        let _ = tokio::time::timeout(limit, finish).await;
    });
}

impl Parts {
    fn add(&mut self, reply: Reply, signature: &HeaderName) {
        let Some(value) = reply.headers.get(signature) else {
            self.failed += 1;
            return;
        };
        if self.signatures.contains(value) {
            self.failed += 1;
            return;
        }
        self.signatures.push(value.clone());
        self.records.add(&reply.body);
        self.may_have_run = true;
    }
}
