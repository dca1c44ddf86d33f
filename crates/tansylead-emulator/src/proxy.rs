//! A TCP proxy on loopback that harms what passes through it.

use crate::addresses::bind;
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

/// Bytes passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Period at which a silenced direction looks whether it may go on.
const SILENCE_CHECK: Duration = Duration::from_millis(20);

/// What happens to what passes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LinkTrouble {
    /// Nothing.
    #[default]
    None,
    /// Each chunk waits this long.
    Delayed(Duration),
    /// Nothing passes, in either direction; it passes once this has ended.
    Silent,
    /// Nothing passes towards the callee.
    SilentForward,
    /// Nothing passes towards the caller.
    SilentBackward,
    /// New connections are closed at once.
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Direction {
    Forward,
    Backward,
}

/// What the connections of a proxy share.
#[derive(Debug, Default)]
struct Link {
    trouble: Mutex<LinkTrouble>,
    /// When a call that changes an object passed last.
    last_write: Mutex<Option<Instant>>,
}

/// A connection that passes through a proxy.
#[derive(Debug)]
struct Connection {
    passing: JoinHandle<()>,
    /// Nothing passes any more, not even the end of the connection.
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
                    () = until(&mut closing, true) => {
                        drop(listener);
                        until(&mut closing, false).await;
                        listener = match bind(address).await {
                            Ok(listener) => listener,
                            Err(_) => return,
                        };
                        continue;
                    }
                };
                if *accepting_link.trouble.lock() == LinkTrouble::Refused {
                    continue;
                }
                let is_silenced = Arc::default();
                let passed = pass(
                    stream,
                    target,
                    Arc::clone(&accepting_link),
                    Arc::clone(&is_silenced),
                );
                let mut open = accepted.lock();
                open.retain(|connection| !connection.passing.is_finished());
                open.push(Connection {
                    passing: tokio::spawn(passed),
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
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to what passes.
    pub fn set_trouble(&self, trouble: LinkTrouble) {
        *self.link.trouble.lock() = trouble;
    }

    /// Silences all connections that are open now, both ways and for good; new ones work.
    pub fn silence_established(&self) {
        for connection in self.connections.lock().iter() {
            connection.is_silenced.store(true, Ordering::Relaxed);
        }
    }

    /// While this is set, the address refuses connections, as that of a process that has ended does.
    pub fn closed(&self) -> Arc<watch::Sender<bool>> {
        Arc::clone(&self.is_closed)
    }

    /// When a call that changes an object passed last.
    pub fn last_write(&self) -> Option<Instant> {
        *self.link.last_write.lock()
    }

    /// Ends all connections.
    pub fn reset(&self) {
        for connection in self.connections.lock().drain(..) {
            connection.passing.abort();
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

/// Waits until the address is closed, or open.
async fn until(closing: &mut watch::Receiver<bool>, is_closed: bool) {
    // A proxy that is gone needs nothing more.
    let _ = closing.wait_for(|now| *now == is_closed).await;
}

async fn pass(
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
    let forward = Copying {
        link: &link,
        is_silenced: &is_silenced,
        direction: Direction::Forward,
    };
    let backward = Copying {
        direction: Direction::Backward,
        ..forward
    };
    tokio::select! {
        // The end of either direction ends the connection.
        _ = forward.copy(caller_read, callee_write) => {}
        _ = backward.copy(callee_read, caller_write) => {}
    }
}

/// One direction of one connection.
#[derive(Debug, Clone, Copy)]
struct Copying<'a> {
    link: &'a Link,
    is_silenced: &'a AtomicBool,
    direction: Direction,
}

impl Copying<'_> {
    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            self.wait_if_silenced().await;
            let length = read?;
            if length == 0 {
                return Ok(());
            }
            self.note_write(&buffer[..length]);
            while is_silent(*self.link.trouble.lock(), self.direction) {
                tokio::time::sleep(SILENCE_CHECK).await;
            }
            let delay = match *self.link.trouble.lock() {
                LinkTrouble::Delayed(delay) => delay,
                _ => Duration::ZERO,
            };
            tokio::time::sleep(delay).await;
            self.wait_if_silenced().await;
            to.write_all(&buffer[..length]).await?;
        }
    }

    /// Never returns on a connection that was silenced.
    async fn wait_if_silenced(self) {
        if self.is_silenced.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Notes a call that changes an object. Such calls are short, so they begin a chunk.
    fn note_write(self, chunk: &[u8]) {
        if self.direction == Direction::Forward && chunk.starts_with(b"PUT ") {
            *self.link.last_write.lock() = Some(Instant::now());
        }
    }
}

fn is_silent(trouble: LinkTrouble, direction: Direction) -> bool {
    match trouble {
        LinkTrouble::Silent => true,
        LinkTrouble::SilentForward => direction == Direction::Forward,
        LinkTrouble::SilentBackward => direction == Direction::Backward,
        _ => false,
    }
}
