//! Idle connections to one leaf, bounded and warmed. Owned by one root; no locks.

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

    /// Most connections at once.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Connections open or being opened.
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

    /// Leave to open one more connection; none when the bound is reached.
    pub fn permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// The semaphore behind [`LeafPool::permit`].
    pub fn permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Takes back a connection whose last answer was read whole.
    pub fn give_back(&mut self, connection: HttpConnection) {
        if !connection.is_closed() {
            self.idle.push(connection);
        }
    }

    /// Permits for the connections to open now so that `wanted` are idle or being opened.
    pub fn permits_to_warm(&mut self, wanted: usize) -> Vec<OwnedSemaphorePermit> {
        self.idle.retain(|connection| !connection.is_closed());
        let present = self.open_connections().max(self.idle.len() + self.warming);
        let missing = wanted.min(self.capacity).saturating_sub(present);
        let permits: Vec<_> = (0..missing).map_while(|_| self.permit()).collect();
        self.warming += permits.len();
        permits
    }

    /// Notes the end of one warming.
    pub fn warmed(&mut self, connection: Option<HttpConnection>) {
        self.warming = self.warming.saturating_sub(1);
        if let Some(connection) = connection {
            self.give_back(connection);
        }
    }
}
