//! An open connection: one request at a time, with replies that are read completely.

use crate::body::{BodyMemory, ReadBodyError, Unaccounted, read_body};
use crate::silence::end_after_silence;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{StepError, text_with_sources};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Default limit for a peer that acknowledges nothing. It can be generous: requests have deadlines of their own, and
/// after a network partition of a few seconds the answer may still arrive.
const DEFAULT_SILENCE_LIMIT: Duration = Duration::from_secs(8);

/// Limits and sizes of a connection to be opened.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Time limit for connecting.
    pub connect_limit: Duration,
    /// The connection is closed, in use or idle, once the peer has acknowledged nothing, not even keepalive probes,
    /// for this time. With `None` the operating system decides. A slow reply alone closes nothing.
    pub silence_limit: Option<Duration>,
    /// Size of the read buffer in bytes; `None` leaves it to the HTTP library.
    pub read_buffer_bytes: Option<usize>,
}

impl ConnectOptions {
    /// Options with this limit for connecting and the default limit for silence.
    pub fn within(connect_limit: Duration) -> Self {
        Self {
            connect_limit,
            silence_limit: Some(DEFAULT_SILENCE_LIMIT),
            read_buffer_bytes: None,
        }
    }
}

/// A complete reply.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A request that got no complete reply.
#[derive(Debug)]
pub enum ExchangeError {
    /// The request never left the connection's queue: no byte of it was written.
    NotWritten(StepError),
    /// The peer may have received some or all of the request.
    MaybeReceived(StepError),
    /// The peer has replied, but there is no memory for the reply.
    NoMemory(StepError),
}

impl From<ExchangeError> for StepError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotWritten(error)
            | ExchangeError::MaybeReceived(error)
            | ExchangeError::NoMemory(error) => error,
        }
    }
}

/// An open connection. Dropping it closes the socket, even during an exchange.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl HttpConnection {
    /// Connects. `guard` is dropped when the socket has been closed.
    pub async fn open(
        address: SocketAddr,
        options: ConnectOptions,
        guard: impl Send + 'static,
    ) -> Result<Self, StepError> {
        const STEP: &str = "connect";
        let limit = options.connect_limit;
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(StepError::new(STEP, address, cause)),
            Err(_) => {
                let cause = format!("not connected within {} ms", limit.as_millis());
                return Err(StepError::new(STEP, address, cause));
            }
        };
        Self::from_stream(stream, address, options, guard).await
    }

    /// Uses a stream that is connected to `address`. `guard` is dropped when the socket has been closed.
    pub async fn from_stream(
        stream: TcpStream,
        address: SocketAddr,
        options: ConnectOptions,
        guard: impl Send + 'static,
    ) -> Result<Self, StepError> {
        const STEP: &str = "connect";
        set_options(&stream, options.silence_limit);
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(options.read_buffer_bytes)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| StepError::new(STEP, address, cause))?;
        let driver = tokio::spawn(async move {
            let _guard = guard;
            // The exchange in progress receives the error too.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether a request can be written at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until a request can be written; false if the connection was closed instead.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the complete reply. If the future is dropped, the connection must be
    /// dropped too.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        maximum_bytes: usize,
    ) -> Result<Reply, ExchangeError> {
        self.exchange_accounted(request, maximum_bytes, Unaccounted)
            .await
    }

    /// Like [`Self::exchange`]; accounts for the memory of the reply's body.
    pub async fn exchange_accounted(
        &mut self,
        request: Request<Full<Bytes>>,
        maximum_bytes: usize,
        memory: impl BodyMemory,
    ) -> Result<Reply, ExchangeError> {
        const STEP: &str = "send request";
        let address = self.address;
        match self.sender.try_send_request(request).await {
            Ok(response) => read_reply(response, address, maximum_bytes, memory).await,
            Err(mut failure) => {
                // The library returns the request only if it was never taken from the queue for writing.
                let never_written = failure.take_message().is_some();
                let cause = failure.into_error();
                let error = StepError::new(STEP, address, text_with_sources(&cause));
                if never_written {
                    Err(ExchangeError::NotWritten(error))
                } else {
                    Err(ExchangeError::MaybeReceived(error))
                }
            }
        }
    }
}

fn set_options(stream: &TcpStream, silence_limit: Option<Duration>) {
    // A failure to set this option only makes replies slower.
    let _ = stream.set_nodelay(true);
    if let Some(limit) = silence_limit {
        end_after_silence(stream, limit);
    }
}

async fn read_reply(
    response: Response<Incoming>,
    address: SocketAddr,
    maximum_bytes: usize,
    memory: impl BodyMemory,
) -> Result<Reply, ExchangeError> {
    const STEP: &str = "read reply";
    let (head, body) = response.into_parts();
    let body = match read_body(body, maximum_bytes, memory).await {
        Ok(body) => body,
        Err(ReadBodyError::NoMemory(cause)) => {
            let error = StepError::new(STEP, address, cause);
            return Err(ExchangeError::NoMemory(error));
        }
        Err(cause) => {
            let error = StepError::new(STEP, address, text_with_sources(&cause));
            return Err(ExchangeError::MaybeReceived(error));
        }
    };
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}
