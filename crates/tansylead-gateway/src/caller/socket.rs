//! Buffers that the system keeps for callers' sockets.

use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// New connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Receive buffer of a connection while few are open, in bytes: enough for the bandwidth and delay of a caller's link.
const LARGE_RECEIVE_BYTES: usize = 64 * 1024;
/// Smallest receive buffer, in bytes.
const SMALLEST_RECEIVE_BYTES: usize = 8 * 1024;
/// Send buffer of a connection, in bytes: the rest of an answer stays in this process, where it is accounted for.
const SEND_BYTES: usize = 64 * 1024;

/// Binds the callers' address. Accepted connections inherit the buffers of the listener.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    // Without these options the system decides, and only the limits on memory hold less exactly.
    let _ = socket.set_recv_buffer_size((LARGE_RECEIVE_BYTES / SYSTEM_FACTOR) as u32);
    let _ = socket.set_send_buffer_size((SEND_BYTES / SYSTEM_FACTOR) as u32);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The system doubles the sizes that it is given.
const SYSTEM_FACTOR: usize = 2;

/// Divides the memory for receive buffers among connections: the first ones get large buffers, which take up to half
/// of it, all others share the rest.
#[derive(Debug)]
pub(super) struct ReceiveBuffers {
    large_left: Cell<usize>,
    small_bytes: usize,
}

/// A large receive buffer; another connection may have one once this is dropped.
#[derive(Debug)]
pub(super) struct LargeBuffer {
    buffers: Rc<ReceiveBuffers>,
}

impl Drop for LargeBuffer {
    fn drop(&mut self) {
        let left = self.buffers.large_left.get();
        self.buffers.large_left.set(left + 1);
    }
}

impl ReceiveBuffers {
    /// Divides `bytes` among so many connections.
    pub(super) fn new(bytes: usize, connections: usize) -> Self {
        let half = bytes / 2;
        Self {
            large_left: Cell::new(half / LARGE_RECEIVE_BYTES),
            small_bytes: (half / connections.max(1))
                .clamp(SMALLEST_RECEIVE_BYTES, LARGE_RECEIVE_BYTES),
        }
    }

    /// Sets the receive buffer of an accepted connection, which keeps the returned guard.
    pub(super) fn assign(self: &Rc<Self>, stream: &TcpStream) -> Option<LargeBuffer> {
        let left = self.large_left.get();
        if left == 0 {
            // As for the listener.
            let size = self.small_bytes / SYSTEM_FACTOR;
            let _ = SockRef::from(stream).set_recv_buffer_size(size);
            return None;
        }
        self.large_left.set(left - 1);
        Some(LargeBuffer {
            buffers: Rc::clone(self),
        })
    }
}
