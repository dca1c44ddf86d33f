//! A client: each request is sent on a new connection, with an id of its own.

use crate::http::{Message, read_message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for a new connection to come up.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A request on a new connection; none if the connection ended without a complete answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    body: &[u8],
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline + Duration::from_secs(1)))?;
    let head = request_head(method, host, path, id, deadline, body.len());
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(stream))
}

/// Request line and headers.
pub fn request_head(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    length: usize,
) -> String {
    let length = match length {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{length}\r\n",
        deadline.as_millis()
    )
}
