//! One HTTP/1.1 connection to a leaf.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::StepError;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::task::AbortOnDropHandle;

/// A whole reply.
#[derive(Debug)]
pub struct LeafReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// A request without a whole reply.
#[derive(Debug)]
pub enum SendFailure {
    /// The request never left the connection's queue: nothing of it was written.
    NotWritten(StepError),
    /// Some of the request may have been received.
    MaybeReceived(StepError),
}

/// An open connection. Dropping it closes the socket, whatever is in progress.
#[derive(Debug)]
pub struct LeafConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl LeafConnection {
    /// Connects. The permit is released when the socket is closed.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        permit: OwnedSemaphorePermit,
    ) -> Result<Self, StepError> {
        const STEP: &str = "connect to leaf";
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(StepError::new(STEP, address, cause)),
            Err(_) => {
                let cause = format!("not connected within {} ms", limit.as_millis());
                return Err(StepError::new(STEP, address, cause));
            }
        };
        stream
            .set_nodelay(true)
            .map_err(|cause| StepError::new(STEP, address, cause))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| StepError::new(STEP, address, cause))?;
        let driver = tokio::spawn(async move {
            let _permit = permit;
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

    /// Waits until a request can be written; false if the connection was closed instead.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the whole reply. If the future is dropped the connection must be
    /// dropped too; [`LeafConnection`] closes the socket then.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        maximum_answer_bytes: usize,
    ) -> Result<LeafReply, SendFailure> {
        const STEP: &str = "ask leaf";
        let address = self.address;
        match self.sender.try_send_request(request).await {
            Ok(response) => read_reply(response, address, maximum_answer_bytes).await,
            Err(mut failure) => {
                // The message comes back only if it was never taken from the queue for writing.
                let never_written = failure.take_message().is_some();
                let error = StepError::new(STEP, address, failure.into_error());
                if never_written {
                    Err(SendFailure::NotWritten(error))
                } else {
                    Err(SendFailure::MaybeReceived(error))
                }
            }
        }
    }
}

async fn read_reply(
    response: Response<Incoming>,
    address: SocketAddr,
    maximum_answer_bytes: usize,
) -> Result<LeafReply, SendFailure> {
    let status = response.status();
    let body = Limited::new(response.into_body(), maximum_answer_bytes)
        .collect()
        .await
        .map_err(|cause| StepError::new("read leaf answer", address, cause))
        .map_err(SendFailure::MaybeReceived)?
        .to_bytes();
    Ok(LeafReply { status, body })
}
