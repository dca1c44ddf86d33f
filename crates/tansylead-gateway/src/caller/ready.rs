//! Readiness endpoint: whether load balancers should send callers to this daemon.

use crate::listener::{accept_each, bind};
use crate::state::{Gateway, StopPhase};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::StepError;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// A connection is closed after this time.
const CONNECTION_LIMIT: Duration = Duration::from_secs(30);

/// Serves readiness until the task is ended.
pub async fn serve_ready(gateway: Rc<Gateway>) -> Result<(), StepError> {
    let address = gateway.settings.ready_address;
    let listener = bind(address, "listen for readiness").await?;
    accept_each(listener, |stream, _| {
        spawn_local(serve(Rc::clone(&gateway), stream));
    })
    .await;
    Ok(())
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |_: Request<Incoming>| {
        let ready = gateway.knows_all_topics() && gateway.stop_phase() == StopPhase::Serving;
        async move {
            let mut response = Response::new(Full::new(Bytes::new()));
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(CONNECTION_LIMIT, connection).await;
}
