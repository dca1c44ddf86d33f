//! An open connection: one request at a time, whole replies.

use crate::silence::end_after_silence;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{StepError, text_with_sources};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Silence that ends a connection unless its user states another limit: requests have deadlines of their own,
/// and a link that was cut for some seconds may bring the answer yet.
const USUAL_SILENCE: Duration = Duration::from_secs(8);

/// How a connection is opened.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Time for it to come up.
    pub limit: Duration,
    /// A peer that is silent this long ends the connection, in use or at rest; none leaves it to the
    /// system.
    pub silence: Option<Duration>,
    /// Bytes of the read buffer; none for the library's own choice.
    pub read_buffer_bytes: Option<usize>,
}

impl ConnectOptions {
    /// A limit for the connection to come up, and the usual one for silence.
    pub fn within(limit: Duration) -> Self {
        Self {
            limit,
            silence: Some(USUAL_SILENCE),
            read_buffer_bytes: None,
        }
    }
}

/// A whole reply.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A request without a whole reply.
#[derive(Debug)]
pub enum ExchangeError {
    /// The request never left the connection's queue: nothing of it was written.
    NotWritten(StepError),
    /// Some of the request may have been received.
    MaybeReceived(StepError),
}

impl From<ExchangeError> for StepError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotWritten(error) | ExchangeError::MaybeReceived(error) => error,
        }
    }
}

/// An open connection. Dropping it closes the socket, whatever is in progress.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl HttpConnection {
    /// Connects. `held` is dropped when the socket has been closed.
    pub async fn open(
        address: SocketAddr,
        options: ConnectOptions,
        held: impl Send + 'static,
    ) -> Result<Self, StepError> {
        const STEP: &str = "connect";
        let limit = options.limit;
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(StepError::new(STEP, address, cause)),
            Err(_) => {
                let cause = format!("not connected within {} ms", limit.as_millis());
                return Err(StepError::new(STEP, address, cause));
            }
        };
        Self::over(stream, address, options, held).await
    }

    /// Speaks over a stream that is connected to `address`. `held` is dropped when the socket has been closed.
    pub async fn over(
        stream: TcpStream,
        address: SocketAddr,
        options: ConnectOptions,
        held: impl Send + 'static,
    ) -> Result<Self, StepError> {
        const STEP: &str = "connect";
        set_options(&stream, options.silence);
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(options.read_buffer_bytes)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| StepError::new(STEP, address, cause))?;
        let driver = tokio::spawn(async move {
            let _held = held;
            // Failures reach whoever waits for an answer on this connection.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Whether the connection has been closed, as far as is known.
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

    /// Sends a request and reads the whole reply. If the future is dropped, the connection must be
    /// dropped too.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        maximum_bytes: usize,
    ) -> Result<Reply, ExchangeError> {
        const STEP: &str = "send request";
        let address = self.address;
        match self.sender.try_send_request(request).await {
            Ok(response) => read_reply(response, address, maximum_bytes).await,
            Err(mut failure) => {
                // The message comes back only if it was never taken from the queue for writing.
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

fn set_options(stream: &TcpStream, silence: Option<Duration>) {
    // An option that cannot be set only makes answers slower.
    let _ = stream.set_nodelay(true);
    if let Some(silence) = silence {
        end_after_silence(stream, silence);
    }
}

async fn read_reply(
    response: Response<Incoming>,
    address: SocketAddr,
    maximum_bytes: usize,
) -> Result<Reply, ExchangeError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, maximum_bytes)
        .collect()
        .await
        .map_err(|cause| StepError::new("read reply", address, cause))
        .map_err(ExchangeError::MaybeReceived)?
        .to_bytes();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}
