//! Serves the store over HTTP and injects its faults.

use super::calls::{Call, empty, handle};
use super::objects::{ObjectStore, StoreCopy, StoredObject};
use crate::disruptions::Disruptions;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::RngExt;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// It does not answer.
    Silent,
    /// It answers 503.
    Busy,
    /// It answers 429.
    Throttled,
    /// It answers 429 to calls that ask for a current answer.
    ThrottlesCurrent,
    /// It closes connections.
    Reset,
    /// It delays calls by this time.
    Slow(Duration),
    /// It executes calls, but with this probability closes the connection without an answer.
    LosesAnswers(f64),
    /// It closes the connection without answering a write, and executes the write after this time if its condition
    /// still holds.
    WritesLate(Duration),
}

/// An answer, or a closed connection.
type Answer = Result<Response<Full<Bytes>>, ConnectionClosed>;

/// The store closed the connection instead of answering.
#[derive(Debug)]
struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection closed")
    }
}

impl std::error::Error for ConnectionClosed {}

/// State shared by all connections.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) objects: Mutex<ObjectStore>,
    fault: Mutex<StoreFault>,
    /// Number of calls by path, without the query string.
    calls: Mutex<HashMap<String, usize>>,
    pub(super) changed: watch::Sender<u64>,
    disruptions: Disruptions,
}

/// State of one connection.
#[derive(Debug, Default)]
pub(super) struct Connection {
    /// Answers of replicas so far.
    turns: AtomicUsize,
}

impl Connection {
    /// Number of the next answer of a replica: on each connection the replicas take turns, beginning with the first.
    pub(super) fn next_turn(&self) -> usize {
        self.turns.fetch_add(1, Ordering::Relaxed)
    }
}

/// The store; clones share it.
#[derive(Debug, Clone)]
pub struct StoreServer {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl StoreServer {
    /// Starts an empty store at an address; port 0 lets the system choose one.
    pub async fn start(address: SocketAddr, page_objects: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            objects: Mutex::new(ObjectStore::new(page_objects)),
            fault: Mutex::default(),
            calls: Mutex::default(),
            changed: watch::Sender::new(0),
            disruptions: Disruptions::default(),
        });
        let accepting = Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::clone(&accepting), stream));
            }
        });
        Ok(Self { shared, address })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.shared.fault.lock() = fault;
        let disruptions = &self.shared.disruptions;
        disruptions.set_ongoing(fault != StoreFault::None);
    }

    /// Its faults, and restores of copies.
    pub fn disruptions(&self) -> Disruptions {
        self.shared.disruptions.clone()
    }

    /// Sets how far each replica is behind from now on. They take turns in answering the calls that need not be
    /// current. Without replicas every answer is current.
    pub fn set_replicas(&self, lags: &[Duration]) {
        self.shared.objects.lock().set_replicas(lags);
    }

    /// Creates or replaces an object, as the operator and the leafs do.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.objects.lock().put(kind, name, spec);
        self.notify();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        // Fails if the object does not exist.
        let _ = self.shared.objects.lock().delete(kind, name, None);
        self.notify();
    }

    /// Removes an object if it still has the revision of `object`.
    pub fn delete_unchanged(&self, kind: &str, object: &StoredObject) {
        let meta = &object.meta;
        // Fails if the object has changed or does not exist.
        let _ = self
            .shared
            .objects
            .lock()
            .delete(kind, &meta.name, Some(meta.revision));
        self.notify();
    }

    /// The current version of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoredObject> {
        self.shared.objects.lock().get(kind, name).ok()
    }

    /// Replaces the status of an object. Returns whether the object exists.
    pub fn set_status(&self, kind: &str, name: &str, status: Value) -> bool {
        let mut objects = self.shared.objects.lock();
        let replaced = objects.replace_status(kind, name, status, None);
        drop(objects);
        self.notify();
        replaced.is_ok()
    }

    /// Copies the objects, to restore them later.
    pub fn copy(&self) -> StoreCopy {
        self.shared.objects.lock().copy()
    }

    /// Restores a copy.
    pub fn restore(&self, copy: StoreCopy) {
        self.shared.objects.lock().restore(copy);
        self.shared.disruptions.record();
        self.notify();
    }

    /// Era of the store; incremented by each restore from a copy.
    pub fn era(&self) -> u64 {
        self.shared.objects.lock().era()
    }

    /// Names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        self.shared.objects.lock().names(kind)
    }

    /// Number of list and watch calls, and of creations, for a kind.
    pub fn calls(&self, kind: &str) -> usize {
        let calls = self.shared.calls.lock();
        calls.get(&format!("/objects/{kind}")).copied().unwrap_or(0)
    }

    /// Discards the history.
    pub fn discard_history(&self) {
        self.shared.objects.lock().discard_history();
    }

    fn notify(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let connection: Arc<Connection> = Arc::default();
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let connection = Arc::clone(&connection);
        async move { answer(&shared, &connection, request).await }
    });
    // Connections may end with any error.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers a call. Each answer states the store's era.
async fn answer(
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    *shared.calls.lock().entry(path).or_default() += 1;
    let mut response = answer_under_fault(shared, connection, request).await?;
    let era = shared.objects.lock().era();
    response.headers_mut().insert("store-era", era.into());
    Ok(response)
}

async fn answer_under_fault(
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
) -> Answer {
    let fault = *shared.fault.lock();
    match fault {
        StoreFault::None | StoreFault::LosesAnswers(_) | StoreFault::ThrottlesCurrent => {}
        StoreFault::WritesLate(time) if request.method() != Method::GET => {
            return execute_write_later(shared, connection, request, time).await;
        }
        StoreFault::WritesLate(_) => {}
        StoreFault::Silent => std::future::pending().await,
        StoreFault::Busy => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
        StoreFault::Throttled => return Ok(empty(StatusCode::TOO_MANY_REQUESTS)),
        StoreFault::Reset => return Err(ConnectionClosed),
        StoreFault::Slow(time) => tokio::time::sleep(time).await,
    }
    let Ok(call) = Call::receive(request).await else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    if fault == StoreFault::ThrottlesCurrent && !call.is_cached() {
        return Ok(empty(StatusCode::TOO_MANY_REQUESTS));
    }
    let response = handle(shared, connection, call).await;
    if let StoreFault::LosesAnswers(probability) = fault
        && rand::rng().random_bool(probability)
    {
        return Err(ConnectionClosed);
    }
    Ok(response)
}

/// Closes the connection without an answer and executes the write later.
async fn execute_write_later(
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
    time: Duration,
) -> Answer {
    // An incomplete call is never executed.
    if let Ok(call) = Call::receive(request).await {
        let (shared, connection) = (Arc::clone(shared), Arc::clone(connection));
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            // The caller's connection is closed already.
            let _ = handle(&shared, &connection, call).await;
        });
    }
    Err(ConnectionClosed)
}
