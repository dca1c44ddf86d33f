//! Reads requests from a leaf's connections.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum size of a request's head.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAXIMUM_HEADERS: usize = 64;

/// The parts of a request that a leaf uses.
#[derive(Debug, Default)]
pub(crate) struct Request {
    /// Id of the request.
    pub(crate) id: Option<String>,
    /// Id of the leaf run that the request is meant for.
    pub(crate) target: Option<String>,
    /// Path.
    pub(crate) path: String,
    content_length: usize,
    head_bytes: usize,
}

/// Reads one request; none if the connection has ended. `buffer` keeps the bytes read beyond it.
pub(crate) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    loop {
        if let Some(request) = parse(buffer)? {
            let total_bytes = request.head_bytes + request.content_length;
            while buffer.len() < total_bytes {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..total_bytes);
            return Ok(Some(request));
        }
        if buffer.len() > MAXIMUM_HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse(buffer: &[u8]) -> io::Result<Option<Request>> {
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head_bytes) = parsed else {
        return Ok(None);
    };
    let mut request = Request {
        head_bytes,
        path: head.path.unwrap_or_default().to_owned(),
        ..Request::default()
    };
    for header in head.headers.iter() {
        let value = String::from_utf8_lossy(header.value).into_owned();
        match header.name.to_ascii_lowercase().as_str() {
            "request-id" => request.id = Some(value),
            "target-instance" => request.target = Some(value),
            "content-length" => request.content_length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    Ok(Some(request))
}
