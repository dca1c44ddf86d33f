//! Queues of messages about roll-outs between the roll-out task and the socket. They are bounded: messages beyond
//! the bound are dropped, like lost datagrams, and counted.

use super::message::RollOutMessage;
use std::cell::{Cell, RefCell};
use tansylead_types::NodeId;
use tokio::sync::Notify;

/// Bound of the queue of each direction: the messages of a judge in a large fleet in one second.
const MAXIMUM_QUEUED: usize = 512;

/// The queue of one direction.
#[derive(Debug)]
struct MessageQueue<M> {
    messages: RefCell<Vec<M>>,
    added: Notify,
}

impl<M> MessageQueue<M> {
    fn new() -> Self {
        Self {
            messages: RefCell::default(),
            added: Notify::new(),
        }
    }

    fn add(&self, message: M, dropped: &Cell<u64>) {
        let mut messages = self.messages.borrow_mut();
        if messages.len() >= MAXIMUM_QUEUED {
            dropped.set(dropped.get() + 1);
            return;
        }
        messages.push(message);
        self.added.notify_one();
    }
}

/// The queues of one daemon.
#[derive(Debug)]
pub struct RollOutLink {
    to_peers: MessageQueue<(NodeId, RollOutMessage)>,
    from_peers: MessageQueue<RollOutMessage>,
    dropped: Cell<u64>,
}

impl Default for RollOutLink {
    fn default() -> Self {
        Self {
            to_peers: MessageQueue::new(),
            from_peers: MessageQueue::new(),
            dropped: Cell::new(0),
        }
    }
}

impl RollOutLink {
    /// Queues a message to a peer.
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

    /// Queues messages from a peer.
    pub fn receive(&self, messages: Vec<RollOutMessage>) {
        for message in messages {
            self.from_peers.add(message, &self.dropped);
        }
    }

    /// Waits until there are messages from peers.
    pub async fn received(&self) {
        self.from_peers.added.notified().await;
    }

    /// Takes all messages from peers out.
    pub fn take_received(&self) -> Vec<RollOutMessage> {
        self.from_peers.messages.take()
    }

    /// Number of messages that were dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.take()
    }
}
