//! A single HTTP exchange with a daemon, without retries.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::StepError;
use tokio::net::TcpStream;

/// Time limit for connecting.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// The daemon could not be reached, so nothing was sent; or a read of the store failed, which changes nothing.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Unreachable(pub StepError);

/// A complete reply.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// A header of a request.
#[derive(Debug)]
pub struct RequestHeader {
    /// Name, in lower case.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// Sends one request and reads the complete reply.
pub async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[RequestHeader],
    body: Bytes,
    limit: Duration,
) -> eyre::Result<Reply> {
    let request = build_request(address, method, path, headers, body)?;
    let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address));
    let unreachable =
        |cause: String| Unreachable(StepError::new("connect to daemon", address, cause));
    let stream = connecting
        .await
        .map_err(|_| {
            unreachable(format!(
                "not connected within {} s",
                CONNECT_LIMIT.as_secs()
            ))
        })?
        .map_err(|cause| unreachable(cause.to_string()))?;
    let failed = |cause: String| StepError::new("ask daemon", address, cause);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|cause| failed(cause.to_string()))?;
    tokio::spawn(connection);
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok::<_, hyper::Error>(Reply { status, body })
    };
    let reply = tokio::time::timeout(limit, exchange)
        .await
        .map_err(|_| failed(format!("no answer within {} ms", limit.as_millis())))?
        .map_err(|cause| failed(cause.to_string()))?;
    Ok(reply)
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[RequestHeader],
    body: Bytes,
) -> eyre::Result<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(body))?;
    for header in headers {
        let value = HeaderValue::from_str(&header.value)?;
        let name = HeaderName::from_static(header.name);
        request.headers_mut().insert(name, value);
    }
    Ok(request)
}
