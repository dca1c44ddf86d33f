//! One client of a crowd.

use super::{CROWD_ID_PREFIX, CrowdPlan, Misbehaviour, sized_item};
use crate::caller::next_request_id;
use crate::configuration::HOST;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Pause before a client that was sent away comes back.
const RETURN_PAUSE: Duration = Duration::from_millis(300);
/// A client that has not sent all after this time counts as arrived.
const SEND_LIMIT: Duration = Duration::from_secs(5);
/// Receive buffer of a client that does not read its answers.
const SMALL_RECEIVE_BYTES: u32 = 4 * 1024;
/// What a slow reader takes at a time, and its pause in between.
const SLOW_READ_BYTES: usize = 2 * 1024;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(100);
/// Bytes handed to the system at a time.
const WRITE_BYTES: usize = 64 * 1024;
/// Deadline that its requests state.
const DEADLINE_MILLIS: u64 = 15_000;

/// One client.
pub(super) struct CrowdClient {
    pub(super) plan: CrowdPlan,
    pub(super) daemon: SocketAddr,
    /// When it first connects, from the start of the crowd.
    pub(super) start: Duration,
    /// Whether it ends its messages and begins again.
    pub(super) finishes: bool,
}

impl CrowdClient {
    /// Connects, misbehaves, and comes back when it is sent away. `arrived` counts its first turn.
    pub(super) async fn run(self, arrived: Arc<AtomicUsize>) {
        let mut has_arrived = false;
        tokio::time::sleep(self.start).await;
        loop {
            // However its turn ends, it comes back.
            let _ = self.take_turn(&mut has_arrived, &arrived).await;
            count_once(&mut has_arrived, &arrived);
            tokio::time::sleep(RETURN_PAUSE).await;
        }
    }

    async fn take_turn(&self, has_arrived: &mut bool, arrived: &AtomicUsize) -> io::Result<()> {
        let mut stream = self.connect().await?;
        let message = self.message();
        let (start, end) = message.split_at(message.len() - self.withheld_bytes());
        let sending = send_in_pieces(&mut stream, start, self.piece_bytes());
        // One that the daemon lets wait has arrived too, and goes on.
        let sent = after(SEND_LIMIT, sending, || count_once(has_arrived, arrived)).await;
        count_once(has_arrived, arrived);
        sent?;
        if self.finishes {
            stream.write_all(end).await?;
            return read_answer(&mut stream).await;
        }
        match self.plan.misbehaviour {
            Misbehaviour::SlowReading => read_slowly(&mut stream).await,
            Misbehaviour::NoReading | Misbehaviour::Pipelining { .. } => {
                std::future::pending().await
            }
            _ => read_answer(&mut stream).await,
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let reads_late = matches!(
            self.plan.misbehaviour,
            Misbehaviour::SlowReading | Misbehaviour::NoReading | Misbehaviour::Pipelining { .. }
        );
        let socket = TcpSocket::new_v4()?;
        if reads_late {
            socket.set_recv_buffer_size(SMALL_RECEIVE_BYTES)?;
        }
        let stream = socket.connect(self.daemon).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// The whole message, of which the client may withhold the end.
    fn message(&self) -> Vec<u8> {
        let body_bytes = self.plan.body_bytes;
        match self.plan.misbehaviour {
            Misbehaviour::WholeBody | Misbehaviour::BodyInPieces { .. } => {
                let mut message = self.head("item", &format!("Content-Length: {body_bytes}\r\n"));
                message.resize(message.len() + body_bytes, b'x');
                message
            }
            Misbehaviour::ChunkedBody { bytes } => {
                let mut message = self.head("item", "Transfer-Encoding: chunked\r\n");
                let mut chunk = format!("{bytes:x}\r\n").into_bytes();
                chunk.resize(chunk.len() + bytes, b'x');
                chunk.extend(b"\r\n");
                message.extend(chunk.repeat(body_bytes / bytes));
                message.extend(END_OF_CHUNKS);
                message
            }
            Misbehaviour::SlowReading | Misbehaviour::NoReading => {
                self.head(&sized_item(self.plan.answer_bytes), "")
            }
            Misbehaviour::EndlessHead { bytes } => {
                let mut message = self.head("item", "");
                message.truncate(message.len() - END_OF_HEAD.len());
                while message.len() < bytes {
                    message.extend(
                        b"\r\nX-Padding: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
                    );
                    message.extend([b'x'; 256]);
                }
                message.truncate(bytes);
                message.extend(END_OF_HEAD);
                message
            }
            Misbehaviour::Silence => self.head("item", ""),
            Misbehaviour::Pipelining { requests } => {
                let length = format!("Content-Length: {body_bytes}\r\n");
                let mut message = Vec::new();
                for _ in 0..requests {
                    message.extend(self.head(&sized_item(self.plan.answer_bytes), &length));
                    message.resize(message.len() + body_bytes, b'x');
                }
                message
            }
            Misbehaviour::EndlessChunkExtension => {
                let mut message = self.head("item", "Transfer-Encoding: chunked\r\n");
                message.extend(b"1;e=");
                message.resize(message.len() + body_bytes, b'x');
                message
            }
            Misbehaviour::EndlessTrailers => {
                let mut message = self.head("item", "Transfer-Encoding: chunked\r\n");
                message.extend(b"1\r\nx\r\n0\r\n");
                while message.len() < body_bytes {
                    message.extend(b"X-Trailer: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n");
                }
                message
            }
        }
    }

    fn head(&self, item: &str, framing: &str) -> Vec<u8> {
        let method = if framing.is_empty() { "GET" } else { "POST" };
        let prefix = self.plan.route.prefix();
        let id = next_request_id();
        format!(
            "{method} {prefix}{item} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {CROWD_ID_PREFIX}{id}\r\n\
             Deadline-Ms: {DEADLINE_MILLIS}\r\n{framing}\r\n"
        )
        .into_bytes()
    }

    /// How much of the message's end is withheld by clients that do not finish.
    fn withheld_bytes(&self) -> usize {
        match self.plan.misbehaviour {
            Misbehaviour::WholeBody | Misbehaviour::BodyInPieces { .. } => 1,
            Misbehaviour::ChunkedBody { .. } => END_OF_CHUNKS.len(),
            Misbehaviour::EndlessHead { .. } => END_OF_HEAD.len(),
            Misbehaviour::Silence => self.message_bytes(),
            Misbehaviour::SlowReading
            | Misbehaviour::NoReading
            | Misbehaviour::Pipelining { .. }
            | Misbehaviour::EndlessChunkExtension
            | Misbehaviour::EndlessTrailers => 0,
        }
    }

    fn message_bytes(&self) -> usize {
        self.message().len()
    }

    fn piece_bytes(&self) -> usize {
        match self.plan.misbehaviour {
            Misbehaviour::BodyInPieces { bytes } => bytes,
            _ => WRITE_BYTES,
        }
    }
}

const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const END_OF_CHUNKS: &[u8] = b"0\r\n\r\n";

fn count_once(has_arrived: &mut bool, arrived: &AtomicUsize) {
    if !std::mem::replace(has_arrived, true) {
        arrived.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits for the end of `future`; calls `act` if that takes longer than `limit`.
async fn after<T>(limit: Duration, future: impl Future<Output = T>, act: impl FnOnce()) -> T {
    tokio::pin!(future);
    match tokio::time::timeout(limit, future.as_mut()).await {
        Ok(output) => output,
        Err(_) => {
            act();
            future.await
        }
    }
}

async fn send_in_pieces(stream: &mut TcpStream, bytes: &[u8], piece: usize) -> io::Result<()> {
    for piece in bytes.chunks(piece) {
        stream.write_all(piece).await?;
        // Lets the other clients of the crowd send too.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Reads until the daemon closes the connection, or has sent a head.
async fn read_answer(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; 1024];
    stream.read(&mut buffer).await.map(drop)
}

async fn read_slowly(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; SLOW_READ_BYTES];
    while stream.read(&mut buffer).await? > 0 {
        tokio::time::sleep(SLOW_READ_PAUSE).await;
    }
    Ok(())
}
