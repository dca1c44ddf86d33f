//! Requests as a leaf reads them.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Most bytes of a request's head.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// Most headers of a request.
const MAXIMUM_HEADERS: usize = 64;

/// The parts of a request that a leaf looks at.
#[derive(Debug, Default)]
pub(crate) struct Request {
    /// The caller's id.
    pub(crate) id: Option<String>,
    /// The run that is meant.
    pub(crate) target: Option<String>,
    /// Path.
    pub(crate) path: String,
    content_length: usize,
    head_bytes: usize,
}

/// Reads one request; none if the connection has ended. `buffer` keeps what was read beyond it.
pub(crate) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    loop {
        if let Some(request) = parse(buffer)? {
            let whole = request.head_bytes + request.content_length;
            while buffer.len() < whole {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..whole);
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
