//! The HTTP interface of one stand-in leaf, on a port of its own.

use super::standin_leaf::{SearchOutcome, StandInLeaf};
use crate::http::{Reply, json_reply, read_json, serve_connection, text_reply};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::leaf::{LEAF_HEALTH_PATH, LEAF_SEARCH_PATH};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Pause before a leaf that starts again tries once more to listen on its port.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Runs the leaf until the token is cancelled. While it is stopped by a fault it does not listen.
pub async fn run_leaf(leaf: Arc<StandInLeaf>, listener: TcpListener, stop: CancellationToken) {
    let mut listener = Some(listener);
    while !stop.is_cancelled() {
        let serving = match listener.take() {
            Some(listener) => serve_until_stopped(Arc::clone(&leaf), listener),
            None => serve_until_stopped(Arc::clone(&leaf), listen_again(&leaf).await),
        };
        let Some(()) = stop.run_until_cancelled(serving).await else {
            return;
        };
        let mut faults = leaf.faults.subscribe();
        let started_again = faults.wait_for(|faults| !faults.stopped);
        let Some(_) = stop.run_until_cancelled(started_again).await else {
            return;
        };
    }
}

async fn listen_again(leaf: &StandInLeaf) -> TcpListener {
    loop {
        match TcpListener::bind(leaf.address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(LISTEN_RETRY_PAUSE).await,
        }
    }
}

async fn serve_until_stopped(leaf: Arc<StandInLeaf>, listener: TcpListener) {
    let connections = CancellationToken::new();
    let _close_connections = connections.clone().drop_guard();
    let mut faults = leaf.faults.subscribe();
    loop {
        tokio::select! {
            _ = faults.wait_for(|faults| faults.stopped) => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let connection = connection(Arc::clone(&leaf), stream);
                    tokio::spawn(connections.clone().run_until_cancelled_owned(connection));
                }
            }
        }
    }
}

/// An open connection, given back when dropped.
struct OpenConnection(Arc<StandInLeaf>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connection_closed();
    }
}

async fn connection(leaf: Arc<StandInLeaf>, stream: TcpStream) {
    if !leaf.connection_opened() {
        return;
    }
    let _open = OpenConnection(Arc::clone(&leaf));
    sleep_millis(leaf.spec.behaviour.connection_setup_millis).await;
    serve_connection(stream, |request| handle(Arc::clone(&leaf), request)).await;
}

async fn handle(leaf: Arc<StandInLeaf>, request: Request<Incoming>) -> Reply {
    let one_way_delay_millis = leaf.spec.behaviour.one_way_delay_millis;
    sleep_millis(one_way_delay_millis).await;
    let path = request.uri().path().to_owned();
    let reply = match (request.method().clone(), path.as_str()) {
        (Method::POST, LEAF_SEARCH_PATH) => search(leaf, request).await,
        (Method::GET, LEAF_HEALTH_PATH) => health(&leaf).await,
        _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
    };
    sleep_millis(one_way_delay_millis).await;
    reply
}

async fn search(leaf: Arc<StandInLeaf>, request: Request<Incoming>) -> Reply {
    let request = match read_json(request.into_body()).await {
        Ok(request) => request,
        Err(reply) => return reply,
    };
    match leaf.search(request).await {
        SearchOutcome::Answered(answer) => json_reply(StatusCode::OK, &answer),
        SearchOutcome::Refused(refusal) => json_reply(StatusCode::SERVICE_UNAVAILABLE, &refusal),
        SearchOutcome::DeadlinePassed => text_reply(
            StatusCode::GATEWAY_TIMEOUT,
            "the deadline passed while running",
        ),
        SearchOutcome::Cut => Reply::CloseWithoutAnswer,
    }
}

async fn health(leaf: &StandInLeaf) -> Reply {
    match leaf.reported_health() {
        Some(report) => json_reply(StatusCode::OK, &report),
        None => std::future::pending().await,
    }
}

async fn sleep_millis(millis: f64) {
    if let Ok(duration) = Duration::try_from_secs_f64(millis / 1_000.0)
        && !duration.is_zero()
    {
        tokio::time::sleep(duration).await;
    }
}
