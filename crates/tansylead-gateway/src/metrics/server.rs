//! The listener that serves metrics as text.

use crate::clock::Clock;
use crate::listener::{accept_each, bind};
use crate::state::Gateway;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::StepError;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// A connection for metrics is closed after this time.
const CONNECTION_LIMIT: Duration = Duration::from_secs(30);

/// Serves the metrics as text until the task is ended.
pub async fn serve_metrics(gateway: Rc<Gateway>, address: SocketAddr) -> Result<(), StepError> {
    let listener = bind(address, "listen for metrics").await?;
    accept_each(listener, |stream, _| {
        spawn_local(serve(Rc::clone(&gateway), stream));
    })
    .await;
    Ok(())
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = answer(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A scraper whose connection fails opens a new one.
    let _ = tokio::time::timeout(CONNECTION_LIMIT, connection).await;
}

fn answer(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    const PATH: &str = "/metrics";
    if request.uri().path() != PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let started = Clock.now();
    let text = gateway.metrics.text(gateway);
    log::debug!(took_us = Clock.now().since(started).as_micros() as u64; "metrics served");
    Response::new(Full::new(Bytes::from(text)))
}
