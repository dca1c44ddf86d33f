//! Messages about roll-outs on their way between the task that makes them and the socket. Bounded: what is too
//! much is dropped, like a datagram on its way, and counted.

use super::message::RollOutMessage;
use std::cell::{Cell, RefCell};
use tansylead_types::NodeId;
use tokio::sync::Notify;

/// Messages that wait in one direction, at most: those of one second of a judge in a large fleet.
const MAXIMUM_WAITING: usize = 512;

/// Messages of one direction.
#[derive(Debug)]
struct Waiting<M> {
    messages: RefCell<Vec<M>>,
    added: Notify,
}

impl<M> Waiting<M> {
    fn new() -> Self {
        Self {
            messages: RefCell::default(),
            added: Notify::new(),
        }
    }

    fn add(&self, message: M, dropped: &Cell<u64>) {
        let mut messages = self.messages.borrow_mut();
        if messages.len() >= MAXIMUM_WAITING {
            dropped.set(dropped.get() + 1);
            return;
        }
        messages.push(message);
        self.added.notify_one();
    }
}

/// The link of one daemon.
#[derive(Debug)]
pub struct RollOutLink {
    to_peers: Waiting<(NodeId, RollOutMessage)>,
    from_peers: Waiting<RollOutMessage>,
    dropped: Cell<u64>,
}

impl Default for RollOutLink {
    fn default() -> Self {
        Self {
            to_peers: Waiting::new(),
            from_peers: Waiting::new(),
            dropped: Cell::new(0),
        }
    }
}

impl RollOutLink {
    /// Adds a message to a peer.
    pub fn send(&self, to: NodeId, message: RollOutMessage) {
        self.to_peers.add((to, message), &self.dropped);
    }

    /// Waits until there are messages to peers.
    pub async fn to_send(&self) {
        self.to_peers.added.notified().await;
    }

    /// Takes all messages to peers out.
    pub fn take_to_send(&self) -> Vec<(NodeId, RollOutMessage)> {
        self.to_peers.messages.take()
    }

    /// Adds messages of a peer.
    pub fn receive(&self, messages: Vec<RollOutMessage>) {
        for message in messages {
            self.from_peers.add(message, &self.dropped);
        }
    }

    /// Waits until there are messages of peers.
    pub async fn received(&self) {
        self.from_peers.added.notified().await;
    }

    /// Takes all messages of peers out.
    pub fn take_received(&self) -> Vec<RollOutMessage> {
        self.from_peers.messages.take()
    }

    /// Messages that were dropped since this was last asked.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.take()
    }
}
