//! One attempt: a request for one shard of one query, sent at most once.

use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::claims::{ClaimSettings, check_before_dispatch};
use tansylead_http::{ConnectOptions, ExchangeError, HttpConnection, Reply};
use tansylead_query::{AttemptResult, SendAttempt};
use tansylead_types::leaf::{LEAF_SEARCH_PATH, LeafAnswer, LeafRefusal, LeafRequest};
use tansylead_types::{QueryRequest, Repeatability, WallTime};
use tokio::sync::Semaphore;

/// What all attempts of one query share.
#[derive(Debug)]
pub struct QueryContext {
    /// The request as the caller made it.
    pub request: QueryRequest,
    /// Identifies this run of the daemon in leaf requests.
    pub root: String,
}

/// Where and how to send attempts.
#[derive(Debug, Clone)]
pub struct LeafTarget {
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Limits the number of connections to the leaf.
    pub permits: Arc<Semaphore>,
    /// Time allowed for connecting.
    pub connect_limit: Duration,
    /// Largest answer accepted.
    pub maximum_answer_bytes: usize,
    /// Clocks.
    pub clock: Clock,
    /// Limits of non-repeatable requests.
    pub claim_settings: Arc<ClaimSettings>,
}

/// How an attempt ended, with its connection if that may be used again.
#[derive(Debug)]
pub struct AttemptEnd {
    /// For the engine.
    pub result: AttemptResult,
    /// Open connection on which nothing is in progress.
    pub connection: Option<HttpConnection>,
}

impl AttemptEnd {
    /// Nothing was handed to any connection.
    pub fn not_sent() -> Self {
        Self::without_connection(AttemptResult::NotSent)
    }

    fn without_connection(result: AttemptResult) -> Self {
        Self {
            result,
            connection: None,
        }
    }
}

/// Sends the attempt over the idle connection, or over a new one, and waits for its end.
pub async fn run_attempt(
    context: Arc<QueryContext>,
    attempt: SendAttempt,
    idle: Option<HttpConnection>,
    target: LeafTarget,
) -> AttemptEnd {
    let time_left = target.clock.time_left(attempt.deadline);
    let Some(mut connection) = usable_connection(idle, &target, time_left).await else {
        return AttemptEnd::without_connection(AttemptResult::NotSent);
    };
    // Checks the time last, right before the request is handed over: a process that was paused
    // until now must not send.
    let Some(request) = build_request(&context, &attempt, &target) else {
        return AttemptEnd {
            result: AttemptResult::Expired,
            connection: Some(connection),
        };
    };
    let time_left = target.clock.time_left(attempt.deadline);
    let exchange = connection.exchange(request, target.maximum_answer_bytes);
    match tokio::time::timeout(time_left, exchange).await {
        Ok(Ok(reply)) => {
            let result = interpret_reply(&context, &attempt, &reply);
            let connection = is_connection_reusable(&result, &attempt).then_some(connection);
            AttemptEnd { result, connection }
        }
        Ok(Err(ExchangeError::NotWritten(_))) => {
            AttemptEnd::without_connection(AttemptResult::NotSent)
        }
        Ok(Err(ExchangeError::MaybeReceived(_) | ExchangeError::NoMemory(_))) | Err(_) => {
            AttemptEnd::without_connection(AttemptResult::Failed)
        }
    }
}

/// Whether the connection delivered the reply to this very attempt. A connection that delivered
/// anything else is not used again.
fn is_connection_reusable(result: &AttemptResult, attempt: &SendAttempt) -> bool {
    match result {
        AttemptResult::Answered(answer) => {
            answer.query == attempt.query && answer.attempt == attempt.attempt
        }
        AttemptResult::Refused(_) => true,
        AttemptResult::NotSent | AttemptResult::Expired | AttemptResult::Failed => false,
    }
}

/// The idle connection if it is still open, or else a new one. Nothing is sent.
pub(crate) async fn usable_connection(
    idle: Option<HttpConnection>,
    target: &LeafTarget,
    limit: Duration,
) -> Option<HttpConnection> {
    if let Some(mut connection) = idle
        && connection.is_usable().await
    {
        return Some(connection);
    }
    let permit = Arc::clone(&target.permits).try_acquire_owned().ok()?;
    let limit = target.connect_limit.min(limit);
    let mut connection =
        HttpConnection::open(target.address, ConnectOptions::within(limit), permit)
            .await
            .ok()?;
    connection.is_usable().await.then_some(connection)
}

/// The HTTP request; `None` if the deadline or the expiry has passed.
fn build_request(
    context: &QueryContext,
    attempt: &SendAttempt,
    target: &LeafTarget,
) -> Option<Request<Full<Bytes>>> {
    let (expires, idempotency_key) = match &context.request.repeatability {
        Repeatability::Repeatable => (None, None),
        Repeatability::NonRepeatable { key, expires } => (Some(*expires), Some(key.clone())),
    };
    let time_left = target.clock.time_left(attempt.deadline);
    if time_left.is_zero() || !may_dispatch(expires, target) {
        return None;
    }
    let message = LeafRequest {
        request: context.request.request.clone(),
        root: context.root.clone(),
        query: attempt.query,
        attempt: attempt.attempt,
        service: context.request.service.clone(),
        shard: attempt.shard.clone(),
        snapshot: attempt.snapshot,
        time_left_millis: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        expires,
        idempotency_key,
        body: context.request.body.clone(),
    };
    let body = serde_json::to_vec(&message).ok()?;
    leaf_request(
        Method::POST,
        LEAF_SEARCH_PATH,
        target.address,
        Bytes::from(body),
    )
}

/// Whether the expiry of a non-repeatable request, less the allowance for clock skew, lies in the
/// future.
fn may_dispatch(expires: Option<WallTime>, target: &LeafTarget) -> bool {
    expires.is_none_or(|expires| {
        check_before_dispatch(expires, target.clock.wall(), &target.claim_settings).is_ok()
    })
}

/// A request to a leaf.
pub(crate) fn leaf_request(
    method: Method,
    path: &'static str,
    address: SocketAddr,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, host)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .body(Full::new(body))
        .ok()
}

/// Converts a complete reply into a result. Anything but a valid answer to this root or a valid
/// refusal of this very attempt counts as failed: the leaf may have run it. The engine checks whether
/// an answer belongs to the attempt.
fn interpret_reply(context: &QueryContext, attempt: &SendAttempt, reply: &Reply) -> AttemptResult {
    match reply.status {
        StatusCode::OK => match serde_json::from_slice::<LeafAnswer>(&reply.body) {
            Ok(answer) if answer.root == context.root && is_json(&answer.result) => {
                AttemptResult::Answered(answer)
            }
            _ => AttemptResult::Failed,
        },
        StatusCode::SERVICE_UNAVAILABLE => {
            match serde_json::from_slice::<LeafRefusal>(&reply.body) {
                Ok(refusal) if is_refusal_of(&refusal, context, attempt) => {
                    AttemptResult::Refused(refusal)
                }
                _ => AttemptResult::Failed,
            }
        }
        _ => AttemptResult::Failed,
    }
}

fn is_refusal_of(refusal: &LeafRefusal, context: &QueryContext, attempt: &SendAttempt) -> bool {
    refusal.root == context.root
        && refusal.query == attempt.query
        && refusal.attempt == attempt.attempt
}

fn is_json(text: &str) -> bool {
    serde_json::from_str::<serde::de::IgnoredAny>(text).is_ok()
}
