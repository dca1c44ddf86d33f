//! The store over HTTP, with its troubles.

use super::objects::{ObjectStore, StoreError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

mod operator;

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum StoreTrouble {
    /// Nothing.
    #[default]
    None,
    /// It does not answer.
    Silent,
    /// It answers 503.
    Busy,
    /// It answers 429.
    Throttled,
    /// It closes connections.
    Reset,
    /// It answers after this time.
    Slow(Duration),
    /// It does what it is asked and, with this probability, closes without an answer.
    LosesAnswers(f64),
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

#[derive(Debug)]
struct Shared {
    objects: Mutex<ObjectStore>,
    trouble: Mutex<StoreTrouble>,
    changed: watch::Sender<u64>,
}

/// The store; clones share it.
#[derive(Debug, Clone)]
pub struct StoreServer {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl StoreServer {
    /// Starts an empty store at an address.
    pub async fn start(address: SocketAddr, page: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let shared = Arc::new(Shared {
            objects: Mutex::new(ObjectStore::new(page)),
            trouble: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let accepting = Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::clone(&accepting), stream));
            }
        });
        Ok(Self { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what is wrong.
    pub fn set_trouble(&self, trouble: StoreTrouble) {
        *self.shared.trouble.lock() = trouble;
    }

    /// Makes or replaces an object, as the operator and the leafs do.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared
            .objects
            .lock()
            .put(kind, name, spec, Value::Null);
        self.notify();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        // An object that is gone already stays gone.
        let _ = self.shared.objects.lock().delete(kind, name);
        self.notify();
    }

    /// Forgets the history.
    pub fn forget_history(&self) {
        self.shared.objects.lock().forget_history();
    }

    fn notify(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { answer(&shared, request).await }
    });
    // A caller's connection may end in any way.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(shared: &Shared, request: Request<Incoming>) -> Answer {
    let trouble = *shared.trouble.lock();
    match trouble {
        StoreTrouble::None | StoreTrouble::LosesAnswers(_) => {}
        StoreTrouble::Silent => std::future::pending().await,
        StoreTrouble::Busy => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
        StoreTrouble::Throttled => return Ok(empty(StatusCode::TOO_MANY_REQUESTS)),
        StoreTrouble::Reset => return Err(ConnectionClosed),
        StoreTrouble::Slow(time) => tokio::time::sleep(time).await,
    }
    let response = handle(shared, request).await;
    if let StoreTrouble::LosesAnswers(probability) = trouble
        && rand::rng().random_bool(probability)
    {
        return Err(ConnectionClosed);
    }
    Ok(response)
}

async fn handle(shared: &Shared, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let query = parse_query(request.uri().query().unwrap_or(""));
    let method = request.method().clone();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return empty(StatusCode::BAD_REQUEST),
    };
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method, segments.as_slice()) {
        (Method::GET, ["objects", kind]) => match query.get("watch") {
            Some(after) => watch_kind(shared, kind, after, &query).await,
            None => {
                let after = query.get("after").map_or("", String::as_str);
                reply(&shared.objects.lock().list(kind, after))
            }
        },
        (Method::GET, ["objects", kind, name]) => {
            let found = shared.objects.lock().get(kind, name);
            result(found)
        }
        (Method::POST, ["objects", kind]) => write(shared, &body, |objects, object| {
            let name = text(&object["meta"]["name"]);
            objects.create(kind, &name, object["spec"].clone())
        }),
        (Method::PUT, ["objects", kind, name]) => write(shared, &body, |objects, object| {
            let expected = object["meta"]["revision"].as_u64();
            objects.replace(kind, name, object["spec"].clone(), expected)
        }),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

async fn watch_kind(
    shared: &Shared,
    kind: &str,
    after: &str,
    query: &HashMap<String, String>,
) -> Response<Full<Bytes>> {
    const LONGEST_WAIT_MILLIS: u64 = 30_000;
    let Ok(after) = after.parse::<u64>() else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or(0).min(LONGEST_WAIT_MILLIS));
    let mut changed = shared.changed.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        {
            let objects = shared.objects.lock();
            match objects.changes(kind, after) {
                Err(_) => return empty(StatusCode::GONE),
                Ok(events) if !events.is_empty() || wait.is_zero() => {
                    return reply(&json!({"events": events, "at": objects.revision()}));
                }
                Ok(_) => {}
            }
        }
        let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
        if waited.is_err() {
            let at = shared.objects.lock().revision();
            return reply(&json!({"events": [], "at": at}));
        }
    }
}

fn write<T: serde::Serialize>(
    shared: &Shared,
    body: &[u8],
    change: impl FnOnce(&mut ObjectStore, &Value) -> Result<T, StoreError>,
) -> Response<Full<Bytes>> {
    let Ok(object) = serde_json::from_slice::<Value>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let changed = change(&mut shared.objects.lock(), &object);
    shared.changed.send_modify(|count| *count += 1);
    result(changed)
}

fn result<T: serde::Serialize>(result: Result<T, StoreError>) -> Response<Full<Bytes>> {
    match result {
        Ok(value) => reply(&value),
        Err(StoreError::NotFound) => empty(StatusCode::NOT_FOUND),
        Err(StoreError::HistoryGone) => empty(StatusCode::GONE),
        Err(StoreError::Conflict(object)) => {
            let mut response = reply(&object);
            *response.status_mut() = StatusCode::CONFLICT;
            response
        }
    }
}

fn reply<T: serde::Serialize>(value: &T) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Full::new(Bytes::from(bytes)))
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
