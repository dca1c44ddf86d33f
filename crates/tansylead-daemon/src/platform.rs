//! Adapter to the platform: the object API (store) and the machine list, JSON over HTTP/1.1.
//!
//! Invariant: no request is ever sent a second time by this module or by its HTTP client. Callers
//! decide what a lost answer means; for writes see [`WriteError::OutcomeUnknown`].

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::store::{
    MACHINES_PATH, MachineList, ObjectList, STORE_OBJECTS_PATH, STORE_WATCH_PATH, WriteConflict,
    WriteRequest,
};
use tansylead_types::{ObjectKey, StepError, StoredObject, text_with_sources};

/// Time allowed for connecting to the platform.
pub const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Time allowed for one platform request, in addition to the time that a watch may be held open.
pub const REQUEST_LIMIT: Duration = Duration::from_secs(5);
/// Largest answer accepted from the platform.
pub const MAXIMUM_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Idle connections to the platform are closed after this time.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// How the store answered a write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The object now has the written contents.
    Accepted(Box<StoredObject>),
    /// The object had another generation; nothing was written.
    Conflict(Box<WriteConflict>),
}

/// A write without a definite outcome from the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    /// The store did not perform the write: it was never reached, or it refused the request.
    #[error("not written: {0}")]
    NotWritten(StepError),
    /// The write may have taken effect. Read the object back and look for the change id.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(StepError),
}

/// Client of the platform's object API.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: PlatformHttp,
}

impl StoreClient {
    /// A client for the store at an address. Connections are made when first needed.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: PlatformHttp::new(address),
        }
    }

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.http.address
    }

    /// All objects whose revision exceeds `after`.
    pub async fn list(&self, after: u64) -> Result<ObjectList, StepError> {
        let path = format!("{STORE_OBJECTS_PATH}?after={after}");
        self.http
            .get("list store objects", &path, REQUEST_LIMIT)
            .await
    }

    /// Like [`StoreClient::list`], held open by the store until there is a newer object or `wait`
    /// has passed.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<ObjectList, StepError> {
        let wait_millis = wait.as_millis();
        let path = format!("{STORE_WATCH_PATH}?after={after}&wait_ms={wait_millis}");
        self.http
            .get("watch store objects", &path, wait + REQUEST_LIMIT)
            .await
    }

    /// One object; `None` if it was never written.
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StepError> {
        const STEP: &str = "read store object";
        let path = object_path(key);
        let reply = self
            .http
            .send(STEP, Method::GET, &path, Bytes::new(), REQUEST_LIMIT)
            .await;
        let reply = reply.map_err(HttpFailure::into_step_error)?;
        match reply.status {
            StatusCode::OK => self.http.decode(STEP, &reply.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.http.unexpected_status(STEP, &reply)),
        }
    }

    /// Compare-and-set of one object.
    pub async fn put(
        &self,
        key: &ObjectKey,
        write: &WriteRequest,
    ) -> Result<WriteOutcome, WriteError> {
        const STEP: &str = "write store object";
        let body = serde_json::to_vec(write)
            .map_err(|cause| StepError::new(STEP, self.address(), cause))
            .map_err(WriteError::NotWritten)?;
        let path = object_path(key);
        let reply = self
            .http
            .send(STEP, Method::PUT, &path, Bytes::from(body), REQUEST_LIMIT)
            .await
            .map_err(HttpFailure::into_write_error)?;
        let decode_failed = WriteError::OutcomeUnknown;
        match reply.status {
            StatusCode::OK => {
                let object = self.http.decode(STEP, &reply.body).map_err(decode_failed)?;
                Ok(WriteOutcome::Accepted(Box::new(object)))
            }
            StatusCode::CONFLICT => {
                let conflict = self.http.decode(STEP, &reply.body).map_err(decode_failed)?;
                Ok(WriteOutcome::Conflict(Box::new(conflict)))
            }
            status if status.is_client_error() => Err(WriteError::NotWritten(
                self.http.unexpected_status(STEP, &reply),
            )),
            _ => Err(WriteError::OutcomeUnknown(
                self.http.unexpected_status(STEP, &reply),
            )),
        }
    }
}

/// Client of the platform's machine list.
#[derive(Debug, Clone)]
pub struct MachineListClient {
    http: PlatformHttp,
}

impl MachineListClient {
    /// A client for the machine list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: PlatformHttp::new(address),
        }
    }

    /// The list as the platform reports it now; it lags behind the actual state.
    pub async fn list(&self) -> Result<MachineList, StepError> {
        self.http
            .get("read machine list", MACHINES_PATH, REQUEST_LIMIT)
            .await
    }
}

fn object_path(key: &ObjectKey) -> String {
    format!("{STORE_OBJECTS_PATH}/{key}")
}

/// A complete HTTP reply.
#[derive(Debug)]
struct HttpReply {
    status: StatusCode,
    body: Bytes,
}

/// Why a request got no complete reply.
#[derive(Debug)]
enum HttpFailure {
    /// No connection was made, so nothing was sent.
    NotConnected(StepError),
    /// The request may have been received.
    MaybeReceived(StepError),
}

impl HttpFailure {
    fn into_step_error(self) -> StepError {
        match self {
            HttpFailure::NotConnected(error) | HttpFailure::MaybeReceived(error) => error,
        }
    }

    fn into_write_error(self) -> WriteError {
        match self {
            HttpFailure::NotConnected(error) => WriteError::NotWritten(error),
            HttpFailure::MaybeReceived(error) => WriteError::OutcomeUnknown(error),
        }
    }
}

/// HTTP client for one platform address.
#[derive(Debug, Clone)]
struct PlatformHttp {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformHttp {
    fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        limit: Duration,
    ) -> Result<T, StepError> {
        let reply = self
            .send(step, Method::GET, path, Bytes::new(), limit)
            .await;
        let reply = reply.map_err(HttpFailure::into_step_error)?;
        if reply.status != StatusCode::OK {
            return Err(self.unexpected_status(step, &reply));
        }
        self.decode(step, &reply.body)
    }

    async fn send(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<HttpReply, HttpFailure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|cause| HttpFailure::NotConnected(self.error(step, cause)))?;
        match tokio::time::timeout(limit, self.exchange(step, request)).await {
            Ok(result) => result,
            Err(_) => {
                let cause = format!("no answer within {} ms", limit.as_millis());
                Err(HttpFailure::MaybeReceived(self.error(step, cause)))
            }
        }
    }

    async fn exchange(
        &self,
        step: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, HttpFailure> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(cause) if cause.is_connect() => {
                return Err(HttpFailure::NotConnected(
                    self.error(step, text_with_sources(&cause)),
                ));
            }
            Err(cause) => {
                return Err(HttpFailure::MaybeReceived(
                    self.error(step, text_with_sources(&cause)),
                ));
            }
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAXIMUM_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|cause| HttpFailure::MaybeReceived(self.error(step, cause)))?
            .to_bytes();
        Ok(HttpReply { status, body })
    }

    fn decode<T: DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<T, StepError> {
        serde_json::from_slice(body).map_err(|cause| self.error(step, cause))
    }

    fn unexpected_status(&self, step: &'static str, reply: &HttpReply) -> StepError {
        let text = String::from_utf8_lossy(&reply.body);
        let quoted: String = text.chars().take(MAXIMUM_QUOTED_CHARACTERS).collect();
        self.error(
            step,
            format!("unexpected status {}: {quoted}", reply.status),
        )
    }

    fn error(&self, step: &'static str, cause: impl std::fmt::Display) -> StepError {
        StepError::new(step, self.address, cause)
    }
}

/// Characters of an unexpected answer that are quoted in the error.
const MAXIMUM_QUOTED_CHARACTERS: usize = 200;
