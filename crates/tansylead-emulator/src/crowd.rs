//! Crowds of clients that keep to no time and hold on to what they have: they send bodies, heads and connections that
//! do not end, and read answers slowly or not at all.

mod client;

use crate::configuration::RoutePlan;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

use client::CrowdClient;

/// Prefix of the ids of a crowd's requests. Leafs answer them, and the oracle does not check them.
pub const CROWD_ID_PREFIX: &str = "crowd-";
/// Item whose answer has the stated number of bytes.
const SIZED_ITEM: &str = "answer-of-";
/// Pause between the arrivals of two clients: faster ones would overflow the queue of new connections.
const ARRIVAL_GAP: Duration = Duration::from_millis(1);
/// Of so many clients, one ends its message, reads the answer and begins again.
const FINISHING_EACH: usize = 8;

/// How the clients of a crowd misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehaviour {
    /// A body with a length, sent at once but for its last byte.
    WholeBody,
    /// A body with a length, sent in pieces of this size but for its last byte.
    BodyInPieces {
        /// Size of a piece.
        bytes: usize,
    },
    /// A body in chunks of this size, without the end.
    ChunkedBody {
        /// Size of a chunk.
        bytes: usize,
    },
    /// Whole requests whose answers are read slowly.
    SlowReading,
    /// Whole requests whose answers are not read.
    NoReading,
    /// A head of this size that does not end.
    EndlessHead {
        /// Bytes sent.
        bytes: usize,
    },
    /// A connection on which nothing is sent.
    Silence,
    /// Several whole requests with bodies, one behind the other, whose answers are not read.
    Pipelining {
        /// Requests of a client.
        requests: usize,
    },
    /// A chunk whose extension does not end.
    EndlessChunkExtension,
    /// A body whose trailers do not end.
    EndlessTrailers,
}

impl Misbehaviour {
    /// All kinds, for random draws.
    pub const ALL: [Self; 11] = [
        Self::WholeBody,
        Self::BodyInPieces { bytes: 4 * 1024 },
        Self::ChunkedBody { bytes: 16 * 1024 },
        Self::ChunkedBody { bytes: 1 },
        Self::SlowReading,
        Self::NoReading,
        Self::EndlessHead { bytes: 7 * 1024 },
        Self::Silence,
        Self::Pipelining { requests: 4 },
        Self::EndlessChunkExtension,
        Self::EndlessTrailers,
    ];
}

/// A crowd.
#[derive(Debug, Clone)]
pub struct CrowdPlan {
    /// What its clients do.
    pub misbehaviour: Misbehaviour,
    /// Number of clients.
    pub clients: usize,
    /// Size of a request's body.
    pub body_bytes: usize,
    /// Size of an answer that is read slowly or not at all.
    pub answer_bytes: usize,
    /// Route of its requests.
    pub route: RoutePlan,
}

/// A crowd at one daemon; its clients leave when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<()>,
    count: usize,
    arrived: Arc<AtomicUsize>,
}

impl Crowd {
    /// Sends the crowd to a daemon.
    pub fn start(plan: &CrowdPlan, daemon: SocketAddr) -> Self {
        let arrived: Arc<AtomicUsize> = Arc::default();
        let mut clients = JoinSet::new();
        for number in 0..plan.clients {
            let client = CrowdClient {
                plan: plan.clone(),
                daemon,
                start: ARRIVAL_GAP * number as u32,
                finishes: number % FINISHING_EACH == FINISHING_EACH - 1,
            };
            clients.spawn(client.run(Arc::clone(&arrived)));
        }
        Self {
            clients,
            count: plan.clients,
            arrived,
        }
    }

    /// Waits until each client has sent what it sends, or was refused; false if that takes longer than `limit`.
    pub async fn wait_until_arrived(&self, limit: Duration) -> bool {
        const PERIOD: Duration = Duration::from_millis(50);
        let deadline = Instant::now() + limit;
        while self.arrived.load(Ordering::Relaxed) < self.count {
            if Instant::now() > deadline {
                return false;
            }
            tokio::time::sleep(PERIOD).await;
        }
        true
    }

    /// Closes all connections of the crowd.
    pub async fn leave(mut self) {
        self.clients.shutdown().await;
    }
}

/// Path of a request whose answer has this many bytes.
pub fn sized_item(bytes: usize) -> String {
    format!("{SIZED_ITEM}{bytes}")
}

/// Size of the answer that a path asks for.
pub(crate) fn answer_bytes(path: &str) -> Option<usize> {
    let (_, bytes) = path.split_once(SIZED_ITEM)?;
    bytes.parse().ok()
}
