//! Determines whether a leaf process has ended, after a connection to it was lost during a request.
//!
//! A lost answer alone shows little: the leaf may have closed the connection, or the network may have failed.
//! If its address refuses a new connection, the process is gone; so it is if its entry disappears or
//! another run takes the address. An answer to a request that was sent later shows that it is alive.

use super::leaf_state::LeafState;
use crate::clock::Clock;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::{ConnectOptions, HttpConnection};
use tansylead_types::Moment;
use tokio::net::TcpStream;

/// Time for the address to refuse or accept a connection: several round trips to another region.
const PROBE_LIMIT: Duration = Duration::from_millis(150);
/// How long the entry of an ended leaf lasts at most: three heartbeats of little more than a second,
/// and the time until this daemon learns of it.
const ENTRY_LIMIT: Duration = Duration::from_secs(6);
/// An answer this soon after the loss may have been in transit when the leaf ended.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(100);
/// Period at which entry and answers are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Evidence that a leaf has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndEvidence {
    /// Its address refuses connections.
    Refused,
    /// Its entry is gone, or another run has its address.
    EntryGone,
}

impl EndEvidence {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::EntryGone => "entry_gone",
        }
    }
}

/// Result of opening a connection to the leaf's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The process is gone.
    Refused,
    /// Connections are accepted there, or there was no reply.
    Open,
}

/// Opens a connection to the leaf's address, in place of the one that was lost. If it is established, it is
/// kept for the next request.
pub async fn probe(leaf: &Rc<LeafState>) -> Probe {
    let address = leaf.entry().address;
    let connecting = tokio::time::timeout(PROBE_LIMIT, TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(stream)) => {
            let options = ConnectOptions::within(PROBE_LIMIT);
            if let Ok(connection) = HttpConnection::from_stream(stream, address, options, ()).await
            {
                leaf.give_back(connection, None);
            }
            Probe::Open
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::Open,
    }
}

/// Waits until the leaf's entry shows that it has ended since `lost`; none if it answers again, or its entry
/// outlasts `ENTRY_LIMIT`.
pub async fn watch_entry(leaf: &LeafState, lost: Moment) -> Option<EndEvidence> {
    while Clock.now().since(lost) < ENTRY_LIMIT
        && !leaf.has_answered_since(lost + TRANSIT_TOLERANCE)
    {
        if leaf.has_vanished() {
            return Some(EndEvidence::EntryGone);
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    None
}
