//! Accepts connections for as long as the task runs.

use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::StepError;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept (for example: no file descriptors left).
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

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
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
