//! HTTP plumbing shared by the stand-ins: serving connections, JSON replies, and a JSON client
//! for their control interfaces.
//!
//! Invariant: the client never sends a request a second time by itself.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{StepError, text_with_sources};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Largest body accepted from either side.
pub const MAXIMUM_BODY_BYTES: usize = 256 * 1024 * 1024;
/// Time allowed for one request to a control interface.
const CONTROL_REQUEST_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What a handler does with a request.
pub enum Reply {
    /// Answers it.
    Answer(Box<Response<Full<Bytes>>>),
    /// Closes the connection without an answer.
    CloseWithoutAnswer,
}

/// The handler asked for the connection to be closed.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without an answer on purpose")]
struct ClosedOnPurpose;

/// Serves one connection until either side closes it.
///
/// When the peer closes the connection while a handler runs, the handler's future is dropped.
pub async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let reply = handler(request);
        async move {
            match reply.await {
                Reply::Answer(response) => Ok(*response),
                Reply::CloseWithoutAnswer => Err(ClosedOnPurpose),
            }
        }
    });
    // The peer going away is a normal end of a connection; handlers keep their own counts.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Accepts and serves connections until the token is cancelled, then drops all of them.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        let connection = serve_connection(stream, move |request| handler(request, peer));
        tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
    }
}

/// An answer with a JSON body.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(Full::new(Bytes::from(bytes)));
            *response.status_mut() = status;
            let content_type = hyper::header::HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(hyper::header::CONTENT_TYPE, content_type);
            Reply::Answer(Box::new(response))
        }
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer with a plain text body.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    Reply::Answer(Box::new(response))
}

/// Reads a whole body and parses it; an error is the reply to send.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Reply> {
    let bad_request = |cause: String| text_reply(StatusCode::BAD_REQUEST, cause);
    let collected = Limited::new(body, MAXIMUM_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| bad_request(error.to_string()))?;
    serde_json::from_slice(&collected.to_bytes()).map_err(|error| bad_request(error.to_string()))
}

/// The number given to a parameter of the query string, if it is there and is a number.
pub fn numeric_parameter(uri: &Uri, name: &str) -> Option<u64> {
    let query = uri.query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Client for the control interfaces of the stand-ins and for the stand-in store.
#[derive(Debug, Clone)]
pub struct JsonClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    /// A client for one address; connections are made when first needed.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { address, client }
    }

    /// The address of the other side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a JSON value.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, StepError> {
        let step = "read from a stand-in";
        let (status, bytes) = self.send(step, Method::GET, path, Bytes::new()).await?;
        self.parse(step, path, status, &bytes)
    }

    /// Posts a JSON value and reads a JSON answer.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, StepError> {
        let step = "post to a stand-in";
        let body = self.encode(step, value)?;
        let (status, bytes) = self.send(step, Method::POST, path, body).await?;
        self.parse(step, path, status, &bytes)
    }

    /// Sends a JSON value; the status is left to the caller to judge.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        value: &impl Serialize,
    ) -> Result<(StatusCode, Bytes), StepError> {
        let step = "ask a stand-in";
        let body = self.encode(step, value)?;
        self.send(step, method, path, body).await
    }

    fn encode(&self, step: &'static str, value: &impl Serialize) -> Result<Bytes, StepError> {
        serde_json::to_vec(value)
            .map(Bytes::from)
            .map_err(|error| StepError::new(step, self.address, error))
    }

    async fn send(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StepError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| StepError::new(step, self.address, error))?;
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| text_with_sources(&error))?;
            let status = response.status();
            let collected = response
                .into_body()
                .collect()
                .await
                .map_err(|error| text_with_sources(&error))?;
            Ok((status, collected.to_bytes()))
        };
        match tokio::time::timeout(CONTROL_REQUEST_LIMIT, exchange).await {
            Ok(result) => result.map_err(|cause: String| StepError::new(step, self.address, cause)),
            Err(_) => Err(StepError::new(step, self.address, "timed out")),
        }
    }

    fn parse<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        status: StatusCode,
        bytes: &Bytes,
    ) -> Result<T, StepError> {
        if !status.is_success() {
            let text = String::from_utf8_lossy(bytes);
            let cause = format!("{path}: status {status}: {text}");
            return Err(StepError::new(step, self.address, cause));
        }
        serde_json::from_slice(bytes).map_err(|error| StepError::new(step, self.address, error))
    }
}
