//! A caller that reuses one connection for many requests and has the oracle check its answers.

use crate::configuration::{HOST, RoutePlan};
use crate::fatal_rule::{FATAL_ITEM, is_fatal};
use crate::oracle::{CallerEnd, Oracle, SeenAnswer};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;

/// Time that a caller waits beyond a request's deadline, so that it sees late answers.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(700);
/// Time limit for opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Returns a request id that is unique in this process.
pub fn next_request_id() -> String {
    format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// One request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Id.
    pub id: String,
    /// Route.
    pub route: RoutePlan,
    /// Path behind the route's prefix.
    pub item: String,
    /// Deadline that the caller states.
    pub deadline: Duration,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// A request without a body.
    pub fn new(route: &RoutePlan, deadline: Duration) -> Self {
        Self {
            id: next_request_id(),
            route: route.clone(),
            item: "item".to_owned(),
            deadline,
            body: Vec::new(),
        }
    }

    /// A request without a body for one item of the route.
    pub fn for_item(route: &RoutePlan, deadline: Duration, item: &str) -> Self {
        Self {
            item: item.to_owned(),
            ..Self::new(route, deadline)
        }
    }

    /// A request that crashes each leaf that runs it. Requests with the same number count as the same one, whatever
    /// their query strings are.
    pub fn fatal(route: &RoutePlan, deadline: Duration, number: u32) -> Self {
        let page = rand::random::<u32>();
        Self::for_item(
            route,
            deadline,
            &format!("{FATAL_ITEM}{number}?page={page}"),
        )
    }
}

/// An answer with all of its headers.
#[derive(Debug)]
pub struct CallerAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// A caller.
#[derive(Debug)]
pub struct Caller {
    oracle: Oracle,
    connection: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Caller {
    /// A caller without a connection.
    pub fn new(oracle: Oracle) -> Self {
        Self {
            oracle,
            connection: None,
        }
    }

    /// Sends a request to a daemon and has the oracle check how it ended.
    pub async fn call(&mut self, daemon: SocketAddr, request: &CallerRequest) -> CallerEnd {
        self.record(daemon, request);
        let limit = request.deadline + LATE_ANSWER_WAIT;
        let answer = tokio::time::timeout(limit, self.exchange(daemon, request)).await;
        if !matches!(answer, Ok(Some(_))) {
            self.connection = None;
        }
        let end = end_of(answer.ok().flatten().as_ref());
        self.oracle.check_end(&request.id, &end);
        end
    }

    /// Whether it has an open connection to the daemon.
    pub fn is_connected_to(&self, daemon: SocketAddr) -> bool {
        let connection = self.connection.as_ref();
        connection
            .is_some_and(|(connected_to, sender)| *connected_to == daemon && !sender.is_closed())
    }

    /// Sends a request and disconnects after `caller_timeout`, answered or not.
    pub async fn call_and_leave(
        &mut self,
        daemon: SocketAddr,
        request: &CallerRequest,
        caller_timeout: Duration,
    ) {
        self.record(daemon, request);
        let _ = tokio::time::timeout(caller_timeout, self.exchange(daemon, request)).await;
        self.oracle.record_abandoned(&request.id);
        self.connection = None;
    }

    /// Sends a request and returns the answer unchecked; for tests of single answers.
    pub async fn exchange(
        &mut self,
        daemon: SocketAddr,
        request: &CallerRequest,
    ) -> Option<CallerAnswer> {
        let method = if request.body.is_empty() {
            Method::GET
        } else {
            Method::POST
        };
        let built = Request::builder()
            .method(method)
            .uri(format!("{}{}", request.route.prefix(), request.item))
            .header("Host", HOST)
            .header("Request-Id", &request.id)
            .header("Deadline-Ms", request.deadline.as_millis().to_string())
            .body(Full::new(Bytes::from(request.body.clone())))
            .ok()?;
        self.send(daemon, built).await
    }

    fn record(&self, daemon: SocketAddr, request: &CallerRequest) {
        self.oracle.record_request(&request.id, &request.route);
        self.oracle.record_daemon(&request.id, daemon);
        if is_fatal(&request.item) {
            let item = request.item.split('?').next().unwrap_or_default();
            let identity = format!("{}{item}", request.route.prefix());
            self.oracle.record_fatal_request(&request.id, identity);
        }
    }

    /// Sends an arbitrary HTTP request.
    pub async fn send(
        &mut self,
        daemon: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<CallerAnswer> {
        let mut sender = self.connect(daemon).await?;
        let response = sender.send_request(request).await.ok()?;
        let closes = closes(&response);
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes().to_vec();
        if !closes {
            self.connection = Some((daemon, sender));
        }
        Some(CallerAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }

    async fn connect(&mut self, daemon: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        if let Some((connected_to, mut sender)) = self.connection.take()
            && connected_to == daemon
            && sender.ready().await.is_ok()
        {
            return Some(sender);
        }
        let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(daemon));
        let stream = connecting.await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Errors of the connection surface at its sender.
            let _ = connection.await;
        });
        Some(sender)
    }
}

fn closes<T>(response: &Response<T>) -> bool {
    let connection = response.headers().get("connection");
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// How a request ended that got this answer, or none.
pub(crate) fn end_of(answer: Option<&CallerAnswer>) -> CallerEnd {
    answer.map_or(CallerEnd::NoAnswer, |answer| {
        CallerEnd::Answer(observe(answer))
    })
}

fn observe(answer: &CallerAnswer) -> SeenAnswer {
    let header = |name: &str| {
        let value = answer.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let parts = header("part-stamps").map(|joined| {
        let parts = joined.split(',').map(str::trim);
        parts.map(str::to_owned).collect()
    });
    SeenAnswer {
        status: answer.status,
        signature: header("answer-stamp"),
        parts,
        missing: header("missing-parts")
            .and_then(|missing| missing.parse().ok())
            .unwrap_or(0),
        body: answer.body.clone(),
    }
}
