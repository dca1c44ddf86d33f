//! One request of a caller: finds its route, checks its limits, runs it, and writes the answer.

use super::answer::AnswerBody;
use super::connection::CallerConnection;
use super::panic_guard::catch_panic;
use crate::clock::Clock;
use crate::execution::{
    Call, GatherQuery, LeafAccess, Outcome, QueryAtRoot, Refusal, RefusalReason, forward, gather,
};
use crate::headers::{remove_connection_headers, set_retry_after};
use crate::leaf::OutgoingRequest;
use crate::memory::{AccountedBody, HeldBytes, request_bytes};
use crate::metrics::BadInput;
use crate::request_log::RequestLog;
use crate::request_trace::RequestTrace;
use crate::state::{ActiveConfiguration, Gateway, StopPhase};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, Uri};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tansylead_http::{ReadBodyError, read_body};
use tansylead_route::{
    CallerLimits, MemoryUse, RequestIdentity, Route, Target, retry_after_outage,
    retry_after_refusal,
};
use tansylead_types::Moment;

/// How long a caller is assumed to wait if neither the request nor a route states it.
const UNSTATED_TIME_LEFT: Duration = Duration::from_secs(1);

/// A request whose head has been read.
struct Received {
    request: Request<Incoming>,
    /// The caller's id of the request.
    id: Option<HeaderValue>,
    connection: Rc<CallerConnection>,
    /// Address of the caller.
    caller: IpAddr,
    arrived: Moment,
}

/// Handles one request.
pub(super) async fn handle(
    gateway: &Rc<Gateway>,
    connection: &Rc<CallerConnection>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Response<AnswerBody> {
    let arrived = Clock.now();
    let id = request.headers().get(&gateway.names.request).cloned();
    let mut log = RequestLog::new(Rc::clone(gateway), id.clone(), arrived);
    let received = Received {
        request,
        id: id.clone(),
        connection: Rc::clone(connection),
        caller,
        arrived,
    };
    let running = run(gateway, received, &mut log);
    let outcome = catch_panic(running).await.unwrap_or_else(|panic| {
        log::error!(error:% = panic; "request panicked");
        refused(RefusalReason::Failed)
    });
    log.finish(&outcome);
    let (head, body) = write_response(gateway, outcome, id).into_parts();
    Response::from_parts(head, AnswerBody::new(body, connection))
}

async fn run(gateway: &Rc<Gateway>, received: Received, log: &mut RequestLog) -> Outcome {
    let Received {
        request,
        id,
        connection,
        caller,
        arrived,
    } = received;
    gateway.wait_for_initial_data().await;
    let stated = stated_time_left(gateway, &request);
    let Some(active) = gateway.active() else {
        let time_left = stated.unwrap_or(UNSTATED_TIME_LEFT);
        let time_left = time_left.saturating_sub(Clock.now().since(arrived));
        let refusal = Refusal {
            reason: RefusalReason::NoConfiguration,
            retry_after: Some(retry_after_outage(time_left)),
        };
        return Outcome::Refused(refusal);
    };
    log.version = Some(active.configuration.version);
    let limits = &active.configuration.limits;
    if header_bytes(&request) > limits.header_bytes {
        return refused(RefusalReason::HeadersTooLarge);
    }
    let Some(route) = find_route(&active, &request) else {
        return refused(RefusalReason::NoRoute);
    };
    log.route = Some(Arc::clone(&route));
    if id.is_none() {
        return refused(RefusalReason::NoRequestId);
    }
    let time_left = stated.unwrap_or(route.policy.timeout);
    let mut charge = gateway.memory.charge(connection.held());
    if charge
        .set(request_bytes(&route.target), MemoryUse::Small)
        .is_err()
    {
        return no_memory(&route);
    }
    // Without a limit, a caller that goes silent in mid-body would hold its connection forever.
    let end = arrived + time_left.min(route.policy.timeout);
    let memory = AccountedBody::new(&gateway.memory, connection.held(), MemoryUse::Body);
    let held = connection.held().clone();
    let reading = read_request(request, id, caller, limits, &route, memory, held);
    let read = tokio::select! {
        biased;
        read = Clock.timeout_at(end, reading) => read.unwrap_or(Err(RefusalReason::BodyTooLate)),
        _ = connection.wait_for_end() => Err(RefusalReason::BodyStalled),
    };
    let outgoing = match read {
        Ok(outgoing) => Rc::new(outgoing),
        Err(RefusalReason::NoMemory) => return no_memory(&route),
        Err(reason) => return refused(reason),
    };
    connection.on_body();
    log.fingerprints = Some(outgoing.fingerprints);
    if let Some(refusal) = gateway.quarantine.refusal(&outgoing.fingerprints) {
        return Outcome::Refused(refusal);
    }
    let trace = Rc::clone(&log.trace);
    let version = active.configuration.version;
    let access = LeafAccess::new(Rc::clone(gateway), Arc::clone(&route), version);
    let execution = async {
        let at_root = QueryAtRoot {
            gateway,
            route: &route,
            version,
            request: &outgoing,
            arrived,
            time_left,
            trace: &trace,
        };
        match at_root.run().await {
            Some(outcome) => outcome,
            None => {
                execute(
                    gateway, access, &route, &outgoing, arrived, time_left, &trace,
                )
                .await
            }
        }
    };
    let mut stop = gateway.stop_phases();
    tokio::select! {
        outcome = execution => outcome,
        _ = stop.wait_for(|phase| *phase >= StopPhase::Ending) => {
            refused(RefusalReason::Failed)
        }
    }
}

async fn execute(
    gateway: &Rc<Gateway>,
    access: LeafAccess,
    route: &Arc<Route>,
    request: &Rc<OutgoingRequest>,
    arrived: Moment,
    time_left: Duration,
    trace: &Rc<RequestTrace>,
) -> Outcome {
    match &route.target {
        Target::Services(services) => {
            let index = match services.len() {
                1 => Some(0),
                _ => gateway.with_round_robin(&route.name, |weighted| weighted.next(services)),
            };
            let Some(index) = index else {
                return Outcome::Refused(Refusal::not_run(retry_after_outage(time_left)));
            };
            let call = Call {
                gateway: Rc::clone(gateway),
                service: gateway.service(&services[index].service),
                end: arrived + time_left.min(route.policy.timeout),
                route: Arc::clone(route),
                access,
                request: Rc::clone(request),
                successes_only: false,
                shared: Rc::default(),
                trace: Rc::clone(trace),
            };
            forward(call, time_left).await
        }
        Target::Shards(set) => {
            let query = GatherQuery {
                gateway: Rc::clone(gateway),
                route: Arc::clone(route),
                access,
                request: Rc::clone(request),
                arrived,
                time_left,
                trace: Rc::clone(trace),
            };
            gather(query, set).await
        }
    }
}

/// How long the caller waits, if the request states it.
fn stated_time_left(gateway: &Gateway, request: &Request<Incoming>) -> Option<Duration> {
    let stated = gateway.names.time_left(request.headers());
    stated.unwrap_or_else(|_| {
        gateway.metrics.on_bad_input(BadInput::CallerTime);
        None
    })
}

/// Refusal of a request that there is no memory for; it has not run.
fn no_memory(route: &Route) -> Outcome {
    Outcome::Refused(Refusal {
        reason: RefusalReason::NoMemory,
        retry_after: Some(retry_after_refusal(route.policy.objective)),
    })
}

fn refused(reason: RefusalReason) -> Outcome {
    Outcome::Refused(Refusal::new(reason))
}

fn find_route(active: &ActiveConfiguration, request: &Request<Incoming>) -> Option<Arc<Route>> {
    let host = match request.headers().get(HOST) {
        Some(value) => value.to_str().ok()?,
        None => request.uri().host()?,
    };
    let route = active.routes.find(host, request.uri().path())?;
    Some(Arc::clone(route))
}

/// Size of request target and headers on the wire, apart from optional whitespace.
fn header_bytes(request: &Request<Incoming>) -> usize {
    const SEPARATORS: usize = 4;
    let target = request
        .uri()
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let headers = request.headers().iter();
    let bytes = headers.map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS);
    target + bytes.sum::<usize>()
}

async fn read_request(
    request: Request<Incoming>,
    id: Option<HeaderValue>,
    caller: IpAddr,
    limits: &CallerLimits,
    route: &Route,
    memory: AccountedBody,
    held: HeldBytes,
) -> Result<OutgoingRequest, RefusalReason> {
    let (head, body) = request.into_parts();
    let body = match read_body(body, limits.body_bytes, memory).await {
        Ok(body) => body,
        Err(ReadBodyError::TooLarge(_)) => return Err(RefusalReason::BodyTooLarge),
        Err(ReadBodyError::NoMemory(_)) => return Err(RefusalReason::NoMemory),
        Err(ReadBodyError::Broken(_)) => return Err(RefusalReason::BadBody),
    };
    let mut headers = head.headers;
    remove_connection_headers(&mut headers);
    let path = head.uri.path_and_query().cloned();
    let identity = RequestIdentity {
        caller,
        method: head.method.as_str(),
        host: &route.host,
        target: path.as_ref().map_or("/", |path| path.as_str()),
        body: &body,
    };
    let fingerprints = identity.fingerprints();
    Ok(OutgoingRequest {
        method: head.method,
        uri: path.map_or(Uri::from_static("/"), Uri::from),
        headers,
        body,
        id,
        repeatable: route.policy.repeatable,
        fingerprints,
        held,
    })
}

fn write_response(gateway: &Gateway, outcome: Outcome, id: Option<HeaderValue>) -> Response<Bytes> {
    let mut response = match outcome {
        Outcome::Leaf {
            status,
            headers,
            body,
        } => {
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Outcome::Merged {
            signatures,
            missing,
            body,
        } => {
            let mut response = Response::new(Bytes::from(body));
            let headers = response.headers_mut();
            gateway.names.set_parts(headers, &signatures, missing);
            set_id(gateway, headers, id);
            response
        }
        Outcome::Refused(refusal) => write_refusal(gateway, &refusal, id),
    };
    if gateway.stop_phase() >= StopPhase::Draining {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn write_refusal(gateway: &Gateway, refusal: &Refusal, id: Option<HeaderValue>) -> Response<Bytes> {
    let body = format!("{{\"error\":\"{}\"}}", refusal.reason.label());
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = refusal.reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after {
        set_retry_after(headers, wait);
    }
    set_id(gateway, headers, id);
    response
}

fn set_id(gateway: &Gateway, headers: &mut HeaderMap, id: Option<HeaderValue>) {
    if let Some(id) = id {
        headers.insert(&gateway.names.request, id);
    }
}
