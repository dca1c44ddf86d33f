//! Connections to one leaf: bounded in number, reused, and opened ahead of need. Owned by one root,
//! so without locks.

use std::net::SocketAddr;
use std::sync::Arc;
use tansylead_http::HttpConnection;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Connections to one leaf.
#[derive(Debug)]
pub struct LeafPool {
    address: SocketAddr,
    idle: Vec<HttpConnection>,
    permits: Arc<Semaphore>,
    capacity: usize,
    warming: usize,
}

impl LeafPool {
    /// An empty pool that opens at most `capacity` connections at once.
    pub fn new(address: SocketAddr, capacity: usize) -> Self {
        Self {
            address,
            idle: Vec::new(),
            permits: Arc::new(Semaphore::new(capacity)),
            capacity,
            warming: 0,
        }
    }

    /// Address of the leaf.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Maximum number of connections at once.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.capacity - self.permits.available_permits()
    }

    /// The most recently used open idle connection.
    pub fn take_idle(&mut self) -> Option<HttpConnection> {
        while let Some(connection) = self.idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Permission to open one more connection; `None` if the limit is reached.
    pub fn permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// The semaphore behind [`LeafPool::permit`].
    pub fn permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Takes back a connection whose last answer was read completely.
    pub fn give_back(&mut self, connection: HttpConnection) {
        if !connection.is_closed() {
            self.idle.push(connection);
        }
    }

    /// Permits for the connections to open now so that `target` are open, in use or idle, or being
    /// opened.
    pub fn permits_to_warm(&mut self, target: usize) -> Vec<OwnedSemaphorePermit> {
        self.idle.retain(|connection| !connection.is_closed());
        let present = self.open_connections().max(self.idle.len() + self.warming);
        let missing = target.min(self.capacity).saturating_sub(present);
        let permits: Vec<_> = (0..missing).map_while(|_| self.permit()).collect();
        self.warming += permits.len();
        permits
    }

    /// Records the end of opening one connection ahead of need.
    pub fn on_warmed(&mut self, connection: Option<HttpConnection>) {
        self.warming = self.warming.saturating_sub(1);
        if let Some(connection) = connection {
            self.give_back(connection);
        }
    }
}
