//! Closes a connection on which an answer was sent before the request was read to its end. Closing at once would make
//! the system reset the connection, and the caller might lose the answer.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long the rest of a request is received and dropped.
const LINGER_LIMIT: Duration = Duration::from_millis(500);
/// How much of it, in bytes.
const LINGER_BYTES: usize = 512 * 1024;

/// Ends the sending side, then drops what still comes until the caller closes its side, within limits.
pub(super) async fn close_after_answer(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    // The caller has had its time once the limit has passed.
    let _ = tokio::time::timeout(LINGER_LIMIT, drop_rest(&mut stream)).await;
}

async fn drop_rest(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    let mut dropped = 0;
    while dropped < LINGER_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => dropped += length,
        }
    }
}
