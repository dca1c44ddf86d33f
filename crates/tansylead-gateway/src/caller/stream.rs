//! A caller's socket, which reports what is transferred on it.

use super::connection::CallerConnection;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A caller's socket, which reports what is transferred on it.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, connection: Rc<CallerConnection>) -> Self {
        Self { stream, connection }
    }

    /// The socket.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        if received > 0 {
            let charged = self.connection.on_received(received);
            charged.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.connection.on_sent(sent);
        Poll::Ready(Ok(sent))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.connection.on_sent(sent);
        Poll::Ready(Ok(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
