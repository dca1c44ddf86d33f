//! Accepts connections for as long as the task runs.

use crate::clock::Clock;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{Moment, StepError};
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept (for example: no file descriptors left).
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Failed accepts come in rows; one line in this time tells of them.
const TOLD_PERIOD: Duration = Duration::from_secs(1);

/// Binds an address; `step` says what for.
pub(crate) async fn bind(
    address: SocketAddr,
    step: &'static str,
) -> Result<TcpListener, StepError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StepError::new(step, address, cause))
}

/// Hands each connection to `serve`, until the task is ended.
pub(crate) async fn accept_each(
    listener: TcpListener,
    mut serve: impl FnMut(TcpStream, SocketAddr),
) {
    let mut told_at = None;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(error) => {
                note_failed_accept(&error, &mut told_at);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Tells that connections cannot be accepted, once in a while.
fn note_failed_accept(error: &std::io::Error, told_at: &mut Option<Moment>) {
    let now = Clock.now();
    if told_at.is_some_and(|told_at| now.since(told_at) < TOLD_PERIOD) {
        return;
    }
    *told_at = Some(now);
    log::warn!(error:% = error; "connections cannot be accepted");
}
