//! Accepts connections for as long as the task runs.

use crate::clock::Clock;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{Moment, StepError};
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept (for example: no file descriptors left).
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Failed accepts come in series, which are logged at most once in this time.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Binds an address; `step` says what for.
pub(crate) async fn bind(
    address: SocketAddr,
    step: &'static str,
) -> Result<TcpListener, StepError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StepError::new(step, address, cause))
}

/// Passes each accepted connection to `serve`, until the task is ended.
pub(crate) async fn accept_each(
    listener: TcpListener,
    mut serve: impl FnMut(TcpStream, SocketAddr),
) {
    let mut logged_at = None;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(error) => {
                log_failed_accept(&error, &mut logged_at);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Logs that connections cannot be accepted, at a limited rate.
fn log_failed_accept(error: &std::io::Error, logged_at: &mut Option<Moment>) {
    let now = Clock.now();
    if logged_at.is_some_and(|logged_at| now.since(logged_at) < LOG_INTERVAL) {
        return;
    }
    *logged_at = Some(now);
    log::warn!(error:% = error; "connections cannot be accepted");
}
