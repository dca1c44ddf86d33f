//! Replies, failed requests and the closing of a connection.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_http::{ConnectOptions, ExchangeError, HttpConnection};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const MAXIMUM_BYTES: usize = 1024;

/// Accepts one connection, reads one request and sends `answer`, then closes.
async fn server(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut buffer = [0; 512];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(answer).await;
    });
    address
}

async fn open(address: SocketAddr) -> HttpConnection {
    let options = ConnectOptions::within(Duration::from_secs(5));
    HttpConnection::open(address, options, ())
        .await
        .expect("connects")
}

fn request() -> Request<Full<Bytes>> {
    Request::builder()
        .uri("/")
        .header("Host", "test")
        .body(Full::default())
        .expect("valid request")
}

#[tokio::test]
async fn a_complete_reply_has_status_headers_and_body() {
    let address = server(b"HTTP/1.1 200 OK\r\nX-Kind: a\r\nContent-Length: 2\r\n\r\nok").await;
    let reply = open(address).await.exchange(request(), MAXIMUM_BYTES).await;
    let reply = reply.expect("a reply");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.headers["x-kind"], "a");
    assert_eq!(reply.body, "ok");
}

#[tokio::test]
async fn a_reply_that_is_cut_off_may_have_been_received() {
    let address = server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok").await;
    let reply = open(address).await.exchange(request(), MAXIMUM_BYTES).await;
    assert!(
        matches!(reply, Err(ExchangeError::MaybeReceived(_))),
        "{reply:?}"
    );
}

#[tokio::test]
async fn a_reply_larger_than_the_limit_is_an_error() {
    let address = server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789").await;
    let reply = open(address).await.exchange(request(), 4).await;
    assert!(
        matches!(reply, Err(ExchangeError::MaybeReceived(_))),
        "{reply:?}"
    );
}

#[tokio::test]
async fn a_request_on_a_closed_connection_was_not_written() {
    let address =
        server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").await;
    let mut connection = open(address).await;
    connection
        .exchange(request(), MAXIMUM_BYTES)
        .await
        .expect("a reply");
    assert!(!connection.is_usable().await);
    let second = connection.exchange(request(), MAXIMUM_BYTES).await;
    assert!(
        matches!(second, Err(ExchangeError::NotWritten(_))),
        "{second:?}"
    );
}

#[tokio::test]
async fn the_guard_is_dropped_with_the_connection() {
    let address = server(b"").await;
    let (guard, dropped) = oneshot::channel::<()>();
    let options = ConnectOptions::within(Duration::from_secs(5));
    let connection = HttpConnection::open(address, options, guard).await;
    drop(connection.expect("connects"));
    assert!(dropped.await.is_err(), "the sender was dropped");
}

#[tokio::test]
async fn a_refused_connection_names_step_and_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let options = ConnectOptions::within(Duration::from_secs(5));
    let error = HttpConnection::open(address, options, ()).await;
    let text = error.expect_err("refused").to_string();
    assert!(
        text.contains("connect") && text.contains(&address.to_string()),
        "{text}"
    );
}
