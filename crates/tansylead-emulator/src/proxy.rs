//! A TCP proxy on loopback that harms what passes through it.

use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
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

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    trouble: Arc<Mutex<LinkTrouble>>,
    accepting: JoinHandle<()>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Proxy {
    /// Starts a proxy at `address` in front of `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let trouble: Arc<Mutex<LinkTrouble>> = Arc::default();
        let connections: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let accepted = Arc::clone(&connections);
        let link = Arc::clone(&trouble);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if *link.lock() == LinkTrouble::Refused {
                    continue;
                }
                let passing = tokio::spawn(pass(stream, target, Arc::clone(&link)));
                let mut open = accepted.lock();
                open.retain(|connection| !connection.is_finished());
                open.push(passing);
            }
        });
        Ok(Self {
            address,
            trouble,
            accepting,
            connections,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to what passes.
    pub fn set_trouble(&self, trouble: LinkTrouble) {
        *self.trouble.lock() = trouble;
    }

    /// Ends all connections.
    pub fn reset(&self) {
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, trouble: Arc<Mutex<LinkTrouble>>) {
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (callee_read, callee_write) = callee.into_split();
    let forward = copy(caller_read, callee_write, &trouble, Direction::Forward);
    let backward = copy(callee_read, caller_write, &trouble, Direction::Backward);
    tokio::select! {
        // The end of either direction ends the connection.
        _ = forward => {}
        _ = backward => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    trouble: &Mutex<LinkTrouble>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        while is_silent(*trouble.lock(), direction) {
            tokio::time::sleep(SILENCE_CHECK).await;
        }
        let delay = match *trouble.lock() {
            LinkTrouble::Delayed(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        to.write_all(&buffer[..length]).await?;
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
