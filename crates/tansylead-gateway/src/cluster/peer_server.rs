//! Serves other daemons: long polls for news, and queries over shards that they hand on.

use super::feed_message::{FeedRequest, decode, encode, framing};
use super::feed_server::{FeedTurns, answer_poll};
use super::forwarded_query::{ForwardedQuery, ForwardedReply};
use super::query_server::run_forwarded;
use crate::listener::{accept_each, bind};
use crate::state::Gateway;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::end_after_silence;
use tansylead_types::StepError;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio_util::bytes::Bytes;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// A connection without a request for this long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// A connection that rested longer is not used for another request: its server may be about to close it.
pub(super) const REUSE_LIMIT: Duration = Duration::from_secs(5);
/// Longest time for one reply to be taken by its peer.
const SEND_LIMIT: Duration = Duration::from_millis(800);

/// Frames on a connection between daemons.
pub(super) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// What a daemon asks another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerRequest {
    /// What builds send whose positions in the source know no eras: it is refused, since their numbers and ours
    /// cannot be compared. Those builds know no later entry of this list, and refuse a poll in turn.
    PollWithoutEra,
    /// To run a query over shards.
    Query(Box<ForwardedQuery>),
    /// For news of configuration, leafs and evacuations.
    Feed(FeedRequest),
}

/// A connection to another daemon that is silent this long ends. Connections at rest are asked by the system
/// after half of it, which costs little: there are few.
const PEER_SILENCE: Duration = Duration::from_secs(2);

/// Frames over a connection that was just made or accepted.
pub(super) fn frames(stream: TcpStream) -> Frames {
    // An option that cannot be set only makes answers slower.
    let _ = stream.set_nodelay(true);
    end_after_silence(&stream, PEER_SILENCE);
    Framed::new(stream, framing())
}

/// Serves other daemons until the task is ended.
pub async fn serve_peers(gateway: Rc<Gateway>) -> Result<(), StepError> {
    let address = gateway.settings.peer_address;
    let listener = bind(address, "listen for peers").await?;
    let turns = Rc::new(FeedTurns::default());
    accept_each(listener, |stream, peer| {
        let gateway = Rc::clone(&gateway);
        let turns = Rc::clone(&turns);
        spawn_local(async move {
            // A peer that goes away comes back by itself.
            let _ = serve(gateway, &turns, stream, &peer.to_string()).await;
        });
    })
    .await;
    Ok(())
}

async fn serve(
    gateway: Rc<Gateway>,
    turns: &FeedTurns,
    stream: TcpStream,
    peer: &str,
) -> Result<(), StepError> {
    let mut frames = frames(stream);
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_LIMIT, frames.next()).await {
        match decode(&frame, peer)? {
            PeerRequest::PollWithoutEra => {
                log::warn!(peer = peer; "poll of a build that knows no eras refused");
                return Err(StepError::new(
                    "serve feed",
                    peer,
                    "its build knows no eras",
                ));
            }
            PeerRequest::Feed(request) => {
                let (reply, _turn) = answer_poll(&gateway, turns, &request, peer).await?;
                send(&mut frames, reply, peer).await?;
            }
            PeerRequest::Query(query) => {
                let reply = run_while_connected(&gateway, &mut frames, *query, peer).await?;
                send(&mut frames, encode(&reply, peer)?, peer).await?;
            }
        }
    }
    Ok(())
}

/// Runs a query until it has ended or the asking daemon has gone, which ends its attempts.
async fn run_while_connected(
    gateway: &Rc<Gateway>,
    frames: &mut Frames,
    query: ForwardedQuery,
    peer: &str,
) -> Result<ForwardedReply, StepError> {
    tokio::select! {
        reply = run_forwarded(gateway, query, peer) => reply,
        // The asking daemon sends nothing before it has its reply.
        _ = frames.next() => Err(StepError::new("run forwarded query", peer, "its daemon has gone")),
    }
}

async fn send(frames: &mut Frames, bytes: Bytes, peer: &str) -> Result<(), StepError> {
    // A peer that takes nothing must not keep others from their turn.
    let sent = tokio::time::timeout(SEND_LIMIT, frames.send(bytes)).await;
    let sent = sent.map_err(|cause| StepError::new("send reply to peer", peer, cause))?;
    sent.map_err(|cause| StepError::new("send reply to peer", peer, cause))
}
