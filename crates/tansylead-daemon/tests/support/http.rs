//! One HTTP exchange with a daemon under test.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A complete reply.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends one request on a connection of its own and reads to the end.
pub async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Reply {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    head.push_str(&format!("content-length: {}\r\n", body.len()));
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    stream
        .write_all(format!("{head}\r\n{body}").as_bytes())
        .await
        .expect("write");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("read");
    parse(&text)
}

/// Splits a reply into status, head and body.
pub fn parse(text: &str) -> Reply {
    let (head, body) = text.split_once("\r\n\r\n").expect("head ends");
    let status = head
        .split(' ')
        .nth(1)
        .expect("status")
        .parse()
        .expect("number");
    Reply {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

/// Reads one HTTP/1.1 message with a content length; none at the end of the stream.
pub async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(position) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
    };
    let mut body = bytes.split_off(head_end);
    let head = String::from_utf8(bytes).expect("text head");
    let length = head
        .lines()
        .find_map(|line| {
            line.to_ascii_lowercase()
                .strip_prefix("content-length:")?
                .trim()
                .parse()
                .ok()
        })
        .unwrap_or(0);
    while body.len() < length {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => body.extend_from_slice(&chunk[..read]),
        }
    }
    Some((head, body))
}

/// A reply with a JSON body, as bytes.
pub fn json_reply(status: u16, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}
