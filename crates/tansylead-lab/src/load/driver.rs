//! Sends the planned queries over HTTP/1.1 keep-alive connections and records their answers.
//!
//! Each query is its own task that wakes at its planned arrival, so no query waits for another.
//! Callers use the daemons of their place in turn, leaving out those that say they are not ready, as
//! a load balancer does. A caller whose connection is refused (nothing
//! was sent) tries the next daemon of its place, as any caller with two addresses does; a query
//! that may have been sent is never sent again, so that every cut shows.

use crate::caller::answer::ReplyBody;
use crate::caller::{
    CallerClient, CallerReply, CallerRequest, ExchangeFailure, ShardLists, check_reply,
};
use crate::deployment::readiness::ProbeClient;
use crate::load::recorder::{AnswerFigures, QueryResult, Recorder, Sample};
use crate::load::schedule::{Arrival, Stream};
use hyper::StatusCode;
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{Outcome, PlaceName, RequestId};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// How often callers look whether daemons are ready.
const READINESS_PERIOD: Duration = Duration::from_millis(200);

/// What to send where.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Callers.
    pub streams: Vec<Stream>,
    /// Planned queries, sorted by time.
    pub arrivals: Vec<Arrival>,
    /// Callers' addresses of the daemons of each place.
    pub daemons: BTreeMap<PlaceName, Vec<SocketAddr>>,
    /// Deadline of the queries of each stream.
    pub deadlines: Vec<Duration>,
    /// Shard lists that answers are checked against.
    pub shard_lists: ShardLists,
    /// Queries planned before this are left out of the totals.
    pub warm_up: Duration,
    /// Tells the request ids of one run from those of another.
    pub run_name: String,
}

struct Shared {
    plan: LoadPlan,
    client: CallerClient,
    started: Instant,
    recorder: Mutex<Recorder>,
    not_ready: Mutex<BTreeSet<SocketAddr>>,
}

/// Runs the whole plan, counted from `started`, and returns what was recorded.
pub async fn run_load(plan: LoadPlan, started: Instant) -> Recorder {
    let recorder = Mutex::new(Recorder::new(plan.warm_up));
    let shared = Arc::new(Shared {
        plan,
        client: CallerClient::new(Duration::ZERO),
        started,
        recorder,
        not_ready: Mutex::new(BTreeSet::new()),
    });
    let _readiness = AbortOnDropHandle::new(tokio::spawn(watch_readiness(Arc::clone(&shared))));
    let mut tasks = tokio::task::JoinSet::new();
    for arrival in &shared.plan.arrivals {
        tokio::time::sleep_until(started + arrival.at).await;
        tasks.spawn(send_planned(Arc::clone(&shared), *arrival));
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let recorder = shared.recorder.lock();
    recorder.clone()
}

/// Keeps the set of daemons that are not ready.
async fn watch_readiness(shared: Arc<Shared>) {
    let probe = ProbeClient::default();
    loop {
        for daemon in shared.plan.daemons.values().flatten() {
            let is_ready = probe.is_ok(*daemon, "/readyz").await;
            let mut not_ready = shared.not_ready.lock();
            if is_ready {
                not_ready.remove(daemon);
            } else {
                not_ready.insert(*daemon);
            }
        }
        tokio::time::sleep(READINESS_PERIOD).await;
    }
}

/// Daemons of a place that are ready; all of them if none is.
fn usable_daemons(shared: &Shared, place: &PlaceName) -> Vec<SocketAddr> {
    let of_place = shared.plan.daemons.get(place).cloned().unwrap_or_default();
    let not_ready = shared.not_ready.lock();
    let mut ready = of_place.clone();
    ready.retain(|daemon| !not_ready.contains(daemon));
    if ready.is_empty() { of_place } else { ready }
}

async fn send_planned(shared: Arc<Shared>, arrival: Arrival) {
    let planned = shared.started + arrival.at;
    let generator_lag = planned.elapsed();
    let (result, reason) = send_with_failover(&shared, arrival).await;
    let sample = Sample {
        stream: arrival.stream,
        planned: arrival.at,
        latency: planned.elapsed(),
        generator_lag,
        result,
        reason,
    };
    shared.recorder.lock().record(&sample);
}

async fn send_with_failover(shared: &Shared, arrival: Arrival) -> (QueryResult, Option<String>) {
    let place = &shared.plan.streams[arrival.stream].place;
    let request = match caller_request(&shared.plan, arrival) {
        Ok(request) => request,
        Err(cause) => return (QueryResult::Lost(cause.to_string()), None),
    };
    let daemons = usable_daemons(shared, place);
    let first = arrival.number as usize;
    let mut last_failure = format!("no daemon in place {place}");
    for turn in 0..daemons.len() {
        let daemon = daemons[(first + turn) % daemons.len()];
        match shared.client.send(daemon, &request).await {
            Ok(reply) => {
                let reason = reason_of(&reply);
                let shards = &shared.plan.shard_lists;
                return (judge(&request, shards, &reply), reason);
            }
            Err(failure @ ExchangeFailure::NotSent(_)) => last_failure = failure.to_string(),
            Err(failure) => return (QueryResult::Lost(failure.to_string()), None),
        }
    }
    (QueryResult::Lost(last_failure), None)
}

/// Why the reply is not complete, in its own words.
fn reason_of(reply: &CallerReply) -> Option<String> {
    match &reply.body {
        ReplyBody::Answer(answer) => answer.reason.clone(),
        ReplyBody::Refusal(refusal) => Some(refusal.error.code.clone()),
    }
}

fn caller_request(
    plan: &LoadPlan,
    arrival: Arrival,
) -> Result<CallerRequest, tansylead_types::ids::InvalidName> {
    let name = format!("{}-{}-{}", plan.run_name, arrival.stream, arrival.number);
    Ok(CallerRequest {
        query: format!(r#"{{"subject":"{name}"}}"#),
        request: RequestId::new(name)?,
        service: plan.streams[arrival.stream].service.clone(),
        routing_key: None,
        deadline: plan.deadlines[arrival.stream],
        key: None,
    })
}

/// Judges one reply: an answer that keeps its promises, or what is wrong with it. Of refusals only
/// "unavailable, not run" is an honest one; any other means that the request went wrong.
pub fn judge(request: &CallerRequest, shards: &ShardLists, reply: &CallerReply) -> QueryResult {
    if let Err(fault) = check_reply(request, shards, reply) {
        return QueryResult::Wrong(fault.to_string());
    }
    let unavailable = StatusCode::SERVICE_UNAVAILABLE.as_u16();
    match &reply.body {
        ReplyBody::Answer(answer) => QueryResult::Answered(AnswerFigures {
            outcome: answer.outcome,
            total: answer.coverage.total,
            answered: answer.coverage.answered,
            attempts: answer.attempts,
            has_retry_after: reply.has_retry_after,
        }),
        ReplyBody::Refusal(refusal)
            if reply.status == unavailable && refusal.outcome == Outcome::NotRun =>
        {
            QueryResult::Answered(AnswerFigures {
                outcome: Outcome::NotRun,
                total: 0,
                answered: 0,
                attempts: 0,
                has_retry_after: reply.has_retry_after,
            })
        }
        ReplyBody::Refusal(_) => QueryResult::Rejected(reply.status),
    }
}
