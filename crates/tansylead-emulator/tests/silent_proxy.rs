//! A proxy permanently silences its open connections in both directions, and no others.

use std::time::Duration;
use tansylead_emulator::addresses::next_address;
use tansylead_emulator::proxy::Proxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit for an echo, on a busy machine.
const LIMIT: Duration = Duration::from_secs(5);
/// Time in which nothing must arrive.
const SILENCE: Duration = Duration::from_millis(300);

/// Echoes each byte, and closes the connection at the letter `x`.
async fn echo(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut byte = [0];
            while let Ok(1) = stream.read(&mut byte).await {
                if byte == *b"x" || stream.write_all(&byte).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn is_echoed(stream: &mut TcpStream, limit: Duration) -> bool {
    stream.write_all(b"a").await.expect("sends");
    let mut byte = [0];
    let read = tokio::time::timeout(limit, stream.read(&mut byte)).await;
    read.is_ok()
}

#[tokio::test]
async fn open_connections_fall_silent_and_new_ones_work() {
    let target = next_address();
    let listener = TcpListener::bind(target).await.expect("binds");
    tokio::spawn(echo(listener));
    let proxy = Proxy::start(next_address(), target).await.expect("starts");
    let mut first = TcpStream::connect(proxy.address()).await.expect("connects");
    assert!(is_echoed(&mut first, LIMIT).await);
    proxy.silence_established();
    let mut second = TcpStream::connect(proxy.address()).await.expect("connects");
    assert!(is_echoed(&mut second, LIMIT).await);
    assert!(!is_echoed(&mut first, SILENCE).await, "silent for good");
    // Not even the end of a silent connection is forwarded.
    first.write_all(b"x").await.expect("sends");
    let mut byte = [0];
    let end = tokio::time::timeout(SILENCE, first.read(&mut byte)).await;
    assert!(end.is_err(), "the end has passed");
}
