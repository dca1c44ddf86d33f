//! The store over HTTP, with its troubles.

use super::calls::{Call, empty, handle};
use super::objects::{ObjectStore, StoreCopy, StoredObject};
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
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

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
    /// It closes without an answer to a write, and does it after this time if its condition still holds.
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

/// What all connections share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) objects: Mutex<ObjectStore>,
    trouble: Mutex<StoreTrouble>,
    /// Calls by path, without what follows a question mark.
    calls: Mutex<HashMap<String, usize>>,
    pub(super) changed: watch::Sender<u64>,
}

/// The store; clones share it.
#[derive(Debug, Clone)]
pub struct StoreServer {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl StoreServer {
    /// Starts an empty store at an address; port 0 lets the system choose one.
    pub async fn start(address: SocketAddr, page: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            objects: Mutex::new(ObjectStore::new(page)),
            trouble: Mutex::default(),
            calls: Mutex::default(),
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
        self.shared.objects.lock().put(kind, name, spec);
        self.notify();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        // An object that is gone already stays gone.
        let _ = self.shared.objects.lock().delete(kind, name, None);
        self.notify();
    }

    /// Removes an object if it is still as in `object`.
    pub fn delete_unchanged(&self, kind: &str, object: &StoredObject) {
        let meta = &object.meta;
        // One that has changed, or is gone, stays so.
        let _ = self
            .shared
            .objects
            .lock()
            .delete(kind, &meta.name, Some(meta.revision));
        self.notify();
    }

    /// An object as it stands now.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoredObject> {
        self.shared.objects.lock().get(kind, name).ok()
    }

    /// Replaces what is observed of an object. Returns whether the object was there.
    pub fn set_status(&self, kind: &str, name: &str, status: Value) -> bool {
        let mut objects = self.shared.objects.lock();
        let replaced = objects.replace_status(kind, name, status, None);
        drop(objects);
        self.notify();
        replaced.is_ok()
    }

    /// A copy to come back from later.
    pub fn copy(&self) -> StoreCopy {
        self.shared.objects.lock().copy()
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: StoreCopy) {
        self.shared.objects.lock().restore(copy);
        self.notify();
    }

    /// Counts how often the store came back from a copy.
    pub fn era(&self) -> u64 {
        self.shared.objects.lock().era()
    }

    /// Names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        self.shared.objects.lock().names(kind)
    }

    /// Calls that came for a kind's objects as a whole.
    pub fn calls(&self, kind: &str) -> usize {
        let calls = self.shared.calls.lock();
        calls.get(&format!("/objects/{kind}")).copied().unwrap_or(0)
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

/// Answers a call. Each answer tells the era that it is from.
async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    *shared.calls.lock().entry(path).or_default() += 1;
    let mut response = answer_in_trouble(shared, request).await?;
    let era = shared.objects.lock().era();
    response.headers_mut().insert("store-era", era.into());
    Ok(response)
}

async fn answer_in_trouble(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let trouble = *shared.trouble.lock();
    match trouble {
        StoreTrouble::None | StoreTrouble::LosesAnswers(_) => {}
        StoreTrouble::WritesLate(time) if request.method() != Method::GET => {
            return write_late(shared, request, time).await;
        }
        StoreTrouble::WritesLate(_) => {}
        StoreTrouble::Silent => std::future::pending().await,
        StoreTrouble::Busy => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
        StoreTrouble::Throttled => return Ok(empty(StatusCode::TOO_MANY_REQUESTS)),
        StoreTrouble::Reset => return Err(ConnectionClosed),
        StoreTrouble::Slow(time) => tokio::time::sleep(time).await,
    }
    let Ok(call) = Call::receive(request).await else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let response = handle(shared, call).await;
    if let StoreTrouble::LosesAnswers(probability) = trouble
        && rand::rng().random_bool(probability)
    {
        return Err(ConnectionClosed);
    }
    Ok(response)
}

/// Takes a write and closes without an answer; the write is done later.
async fn write_late(shared: &Arc<Shared>, request: Request<Incoming>, time: Duration) -> Answer {
    // A call that did not come whole is never done.
    if let Ok(call) = Call::receive(request).await {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            // Whoever asked is no longer there to be told.
            let _ = handle(&shared, call).await;
        });
    }
    Err(ConnectionClosed)
}
