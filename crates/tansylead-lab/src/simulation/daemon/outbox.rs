//! What a simulated daemon asks the world to do.

use crate::simulation::message::{CallId, Endpoint, Request, Response};
use std::time::Duration;
use tansylead_cluster::membership::GossipPacket;
use tansylead_types::{NodeId, StoredObject};

/// One thing to do.
#[derive(Debug)]
pub enum DaemonAction {
    /// Send a datagram.
    Datagram {
        /// To whom.
        to: NodeId,
        /// Contents.
        packet: Box<GossipPacket>,
    },
    /// Send a request over a connection.
    Open {
        /// Names the call.
        call: CallId,
        /// To whom.
        to: Endpoint,
        /// Contents.
        request: Request,
        /// Longest time to wait.
        limit: Duration,
    },
    /// Give a call up and close its connection.
    Cancel(CallId),
    /// Answer a call of another process.
    Respond(CallId, Response),
    /// The operators' table in force has changed; for the history only.
    TableInForce(Box<StoredObject>),
    /// End the process.
    Exit,
}

/// Collects actions and names calls.
#[derive(Debug)]
pub struct Outbox<'a> {
    /// Actions in order.
    pub actions: Vec<DaemonAction>,
    next_call: &'a mut u64,
}

impl<'a> Outbox<'a> {
    /// An empty outbox; `next_call` is shared by all processes.
    pub fn new(next_call: &'a mut u64) -> Self {
        Self {
            actions: Vec::new(),
            next_call,
        }
    }

    /// Opens a call.
    pub fn open(&mut self, to: Endpoint, request: Request, limit: Duration) -> CallId {
        let call = self.reserve();
        self.actions.push(DaemonAction::Open {
            call,
            to,
            request,
            limit,
        });
        call
    }

    /// A name for something that is no call of the world.
    pub fn reserve(&mut self) -> CallId {
        let call = CallId(*self.next_call);
        *self.next_call += 1;
        call
    }

    /// Answers a call.
    pub fn respond(&mut self, call: CallId, response: Response) {
        self.actions.push(DaemonAction::Respond(call, response));
    }

    /// Gives a call up.
    pub fn cancel(&mut self, call: CallId) {
        self.actions.push(DaemonAction::Cancel(call));
    }
}
