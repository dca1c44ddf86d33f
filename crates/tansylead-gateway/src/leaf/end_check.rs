//! Tells whether a leaf has ended, after a connection to it was lost under a request.
//!
//! A lost answer alone says little: the leaf may have closed the connection, or the way may have broken.
//! That its address refuses a new connection says that the process is gone; so does its entry, if it goes or
//! another run takes the address. An answer to a request that was sent later says that it lives.

use super::leaf_state::LeafState;
use crate::clock::Clock;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::{ConnectOptions, HttpConnection};
use tansylead_types::Moment;
use tokio::net::TcpStream;

/// Time for the address to refuse or accept a connection: several ways to another region and back.
const PROBE_LIMIT: Duration = Duration::from_millis(150);
/// How long the entry of a leaf that ended stands at most: three heartbeats of little more than a second,
/// and the way of the news.
const ENTRY_LIMIT: Duration = Duration::from_secs(6);
/// An answer that comes this soon after the loss may have been under way when the leaf ended.
const UNDER_WAY: Duration = Duration::from_millis(100);
/// Period at which entry and answers are looked at.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// What showed that a leaf has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndSign {
    /// Its address refuses connections.
    Refused,
    /// Its entry is gone, or its address is another run's.
    EntryGone,
}

impl EndSign {
    /// Name, for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::EntryGone => "entry_gone",
        }
    }
}

/// What a new connection to the leaf's address tells at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The process is gone.
    Refused,
    /// Somebody accepts connections there, or nothing was heard.
    Open,
}

/// Asks the leaf's address for a new connection, in place of the one that was lost. One that comes up is
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

/// Waits until the leaf's entry or its answers tell whether it has ended since `lost`.
pub async fn watch_entry(leaf: &LeafState, lost: Moment) -> Option<EndSign> {
    while Clock.now().since(lost) < ENTRY_LIMIT && !leaf.has_answered_since(lost + UNDER_WAY) {
        if leaf.has_vanished() {
            return Some(EndSign::EntryGone);
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    None
}
