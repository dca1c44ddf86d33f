//! Calls to peers, over one connection per peer that is opened on first use.

use super::link::{Call, LinkCommand, LinkLimits, run_link};
pub use super::link::{CallError, ForwardAllowance};
use super::message::{Hello, PeerNotice, PeerRequest, PeerResponse, RequestNumber};
use super::traffic::TrafficCounters;
use crate::clock::Clock;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tansylead_types::{Moment, NodeId, StepError};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// Limits of all links.
#[derive(Debug, Clone)]
pub struct PeerClientLimits {
    /// Time allowed for connecting and the handshake.
    pub connect: Duration,
    /// A connection without requests for this long is closed.
    pub idle: Duration,
    /// Maximum number of commands waiting to be written to one peer.
    pub maximum_waiting: usize,
}

impl Default for PeerClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(60),
            maximum_waiting: 1_024,
        }
    }
}

/// Sends requests and notices to peers.
#[derive(Debug)]
pub struct PeerClient {
    hello: Arc<Hello>,
    limits: PeerClientLimits,
    traffic: TrafficCounters,
    links: Mutex<HashMap<NodeId, mpsc::Sender<LinkCommand>>>,
    next_number: AtomicU64,
}

impl PeerClient {
    /// A client that introduces itself with `hello`.
    pub fn new(hello: Hello, limits: PeerClientLimits, traffic: TrafficCounters) -> Self {
        Self {
            hello: Arc::new(hello),
            limits,
            traffic,
            links: Mutex::new(HashMap::new()),
            next_number: AtomicU64::new(1),
        }
    }

    /// Sends a request to a peer and waits for its response until the deadline. Dropping the future
    /// cancels the request at the peer.
    pub async fn call(
        &self,
        peer: NodeId,
        request: PeerRequest,
        deadline: Moment,
    ) -> Result<PeerResponse, CallError> {
        let allowance = ForwardAllowance::default();
        self.call_within(peer, request, deadline, allowance).await
    }

    /// Like [`PeerClient::call`]; the time left that is sent to the peer is shorter by the
    /// allowance.
    pub async fn call_within(
        &self,
        peer: NodeId,
        request: PeerRequest,
        deadline: Moment,
        allowance: ForwardAllowance,
    ) -> Result<PeerResponse, CallError> {
        const STEP: &str = "call peer";
        let number = RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (reply, response) = oneshot::channel();
        let call = Box::new(Call {
            number,
            request,
            deadline,
            allowance,
            reply,
        });
        let link = self
            .send(peer, LinkCommand::Call(call))
            .map_err(|cause| CallError::NotSent(StepError::new(STEP, peer, cause)))?;
        let mut guard = CancelGuard {
            number,
            link: Some(link),
        };
        let waiting = tokio::time::timeout(Clock.time_left(deadline), response);
        match waiting.await {
            Ok(Ok(result)) => {
                guard.link = None;
                result
            }
            Ok(Err(_)) => {
                guard.link = None;
                let cause = "the connection ended";
                Err(CallError::MaybeReceived(StepError::new(STEP, peer, cause)))
            }
            Err(_) => {
                let cause = "no response before the deadline";
                Err(CallError::MaybeReceived(StepError::new(STEP, peer, cause)))
            }
        }
    }

    /// Sends a notice; it may be lost.
    pub fn notify(&self, peer: NodeId, notice: PeerNotice) {
        let _ = self.send(peer, LinkCommand::Notify(Box::new(notice)));
    }

    /// Passes a command to the link of a peer, starting one if there is none.
    fn send(
        &self,
        peer: NodeId,
        command: LinkCommand,
    ) -> Result<mpsc::Sender<LinkCommand>, &'static str> {
        let mut links = self.links.lock();
        let known = links.get(&peer).filter(|link| !link.is_closed()).cloned();
        let link = known.unwrap_or_else(|| {
            let link = self.start_link(peer);
            links.insert(peer, link.clone());
            link
        });
        drop(links);
        match link.try_send(command) {
            Ok(()) => Ok(link),
            Err(TrySendError::Full(_)) => Err("too many requests wait for the connection"),
            Err(TrySendError::Closed(_)) => Err("the connection has just ended"),
        }
    }

    fn start_link(&self, peer: NodeId) -> mpsc::Sender<LinkCommand> {
        let (sender, commands) = mpsc::channel(self.limits.maximum_waiting);
        let limits = LinkLimits {
            connect: self.limits.connect,
            idle: self.limits.idle,
        };
        let (hello, traffic) = (Arc::clone(&self.hello), self.traffic.clone());
        tokio::spawn(run_link(peer, hello, limits, traffic, commands));
        sender
    }

    /// Removes links that have ended, so that departed peers use no memory.
    pub fn remove_ended_links(&self) {
        self.links.lock().retain(|_, link| !link.is_closed());
    }
}

/// Cancels a request whose response is no longer wanted.
struct CancelGuard {
    number: RequestNumber,
    link: Option<mpsc::Sender<LinkCommand>>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(link) = self.link.take() {
            let _ = link.try_send(LinkCommand::Cancel(self.number));
        }
    }
}
