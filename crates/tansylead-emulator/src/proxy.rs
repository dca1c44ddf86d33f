//! A TCP proxy on loopback that injects network faults.

use crate::addresses::bind;
use crate::disruptions::Disruptions;
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Period at which a silent direction checks whether it may continue.
const SILENCE_CHECK: Duration = Duration::from_millis(20);

/// Fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk is delayed by this time.
    Delayed(Duration),
    /// Nothing is forwarded in either direction until this has ended.
    Silent,
    /// Nothing is forwarded to the callee.
    SilentForward,
    /// Nothing is forwarded to the caller.
    SilentBackward,
    /// New connections are closed at once.
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Direction {
    Forward,
    Backward,
}

/// State shared by the connections of a proxy.
#[derive(Debug, Default)]
struct Link {
    fault: Mutex<LinkFault>,
    /// When a call that changes an object was last forwarded.
    last_write: Mutex<Option<Instant>>,
}

/// A connection through a proxy.
#[derive(Debug)]
struct Connection {
    relay: JoinHandle<()>,
    /// Nothing more is forwarded, not even the end of the connection.
    is_silenced: Arc<AtomicBool>,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Link>,
    accepting: JoinHandle<()>,
    connections: Arc<Mutex<Vec<Connection>>>,
    is_closed: Arc<watch::Sender<bool>>,
    disruptions: Disruptions,
}

impl Proxy {
    /// Starts a proxy at `address` in front of `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let mut listener = TcpListener::bind(address).await?;
        let is_closed = Arc::new(watch::Sender::new(false));
        let mut closing = is_closed.subscribe();
        let link: Arc<Link> = Arc::default();
        let connections: Arc<Mutex<Vec<Connection>>> = Arc::default();
        let accepted = Arc::clone(&connections);
        let accepting_link = Arc::clone(&link);
        let accepting = tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => return,
                    },
                    () = wait_for_closed(&mut closing, true) => {
                        drop(listener);
                        wait_for_closed(&mut closing, false).await;
                        listener = match bind(address).await {
                            Ok(listener) => listener,
                            Err(_) => return,
                        };
                        continue;
                    }
                };
                if *accepting_link.fault.lock() == LinkFault::Refused {
                    continue;
                }
                let is_silenced = Arc::default();
                let relaying = relay(
                    stream,
                    target,
                    Arc::clone(&accepting_link),
                    Arc::clone(&is_silenced),
                );
                let mut open = accepted.lock();
                open.retain(|connection| !connection.relay.is_finished());
                open.push(Connection {
                    relay: tokio::spawn(relaying),
                    is_silenced,
                });
            }
        });
        Ok(Self {
            address,
            link,
            accepting,
            connections,
            is_closed,
            disruptions: Disruptions::default(),
        })
    }

    /// Faults of the link, and resets and silences of its connections.
    pub fn disruptions(&self) -> Disruptions {
        self.disruptions.clone()
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the link.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.link.fault.lock() = fault;
        self.disruptions.set_ongoing(fault != LinkFault::None);
    }

    /// Permanently silences all open connections in both directions; new ones work.
    pub fn silence_established(&self) {
        self.disruptions.record();
        for connection in self.connections.lock().iter() {
            connection.is_silenced.store(true, Ordering::Relaxed);
        }
    }

    /// While this is set, the address refuses connections, as if the process behind it had exited.
    pub fn closed(&self) -> Arc<watch::Sender<bool>> {
        Arc::clone(&self.is_closed)
    }

    /// When a call that changes an object was last forwarded.
    pub fn last_write(&self) -> Option<Instant> {
        *self.link.last_write.lock()
    }

    /// Closes all connections.
    pub fn reset(&self) {
        self.disruptions.record();
        for connection in self.connections.lock().drain(..) {
            connection.relay.abort();
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

/// Waits until the address has the state `is_closed`.
async fn wait_for_closed(closing: &mut watch::Receiver<bool>, is_closed: bool) {
    // Fails only if the proxy was dropped; its task is aborted then.
    let _ = closing.wait_for(|now| *now == is_closed).await;
}

async fn relay(
    caller: TcpStream,
    target: SocketAddr,
    link: Arc<Link>,
    is_silenced: Arc<AtomicBool>,
) {
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (callee_read, callee_write) = callee.into_split();
    let forward = DirectionRelay {
        link: &link,
        is_silenced: &is_silenced,
        direction: Direction::Forward,
    };
    let backward = DirectionRelay {
        direction: Direction::Backward,
        ..forward
    };
    tokio::select! {
        // The end of either direction closes the connection.
        _ = forward.copy(caller_read, callee_write) => {}
        _ = backward.copy(callee_read, caller_write) => {}
    }
}

/// One direction of one connection.
#[derive(Debug, Clone, Copy)]
struct DirectionRelay<'a> {
    link: &'a Link,
    is_silenced: &'a AtomicBool,
    direction: Direction,
}

impl DirectionRelay<'_> {
    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            self.wait_if_silenced().await;
            let length = read?;
            if length == 0 {
                return Ok(());
            }
            self.record_write(&buffer[..length]);
            while is_silent(*self.link.fault.lock(), self.direction) {
                tokio::time::sleep(SILENCE_CHECK).await;
            }
            let delay = match *self.link.fault.lock() {
                LinkFault::Delayed(delay) => delay,
                _ => Duration::ZERO,
            };
            tokio::time::sleep(delay).await;
            self.wait_if_silenced().await;
            to.write_all(&buffer[..length]).await?;
        }
    }

    /// Never returns if the connection was silenced.
    async fn wait_if_silenced(self) {
        if self.is_silenced.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Records a call that changes an object. Such calls are short, so each starts a chunk.
    fn record_write(self, chunk: &[u8]) {
        if self.direction == Direction::Forward && chunk.starts_with(b"PUT ") {
            *self.link.last_write.lock() = Some(Instant::now());
        }
    }
}

fn is_silent(fault: LinkFault, direction: Direction) -> bool {
    match fault {
        LinkFault::Silent => true,
        LinkFault::SilentForward => direction == Direction::Forward,
        LinkFault::SilentBackward => direction == Direction::Backward,
        _ => false,
    }
}
