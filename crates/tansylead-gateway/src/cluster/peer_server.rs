//! Serves other daemons: long polls for news, and queries over shards that they forward.

use super::accounted_codec::{AccountedCodec, ReceivedFrame};
use super::feed_message::{FeedRequest, decode, encode, framing};
use super::feed_server::{SendPermits, answer_poll};
use super::forwarded_query::{ForwardedQuery, ForwardedReply};
use super::query_server::run_forwarded;
use crate::listener::{accept_each, bind};
use crate::metrics::ForwardedResult;
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
/// A connection that was idle for longer is not used for another request: its server may be about to close it.
pub(super) const REUSE_LIMIT: Duration = Duration::from_secs(5);
/// Time in which a peer must accept one reply.
const SEND_LIMIT: Duration = Duration::from_millis(800);

/// Frames on a connection between daemons.
pub(super) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames on a connection that another daemon has opened.
type AccountedFrames = Framed<TcpStream, AccountedCodec>;

/// What a daemon asks another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerRequest {
    /// Poll of older builds, whose revisions have no era. It is refused, since their revisions cannot be compared
    /// with ours. Those builds do not know the later variants, and refuse polls of this build in turn.
    PollWithoutEra,
    /// Asks to run a query over shards.
    Query(Box<ForwardedQuery>),
    /// Poll of older builds, whose directories have one position for pages of different age. It is refused, since such
    /// a directory may lack changes before its position.
    PollWithoutPages,
    /// Asks for news of configuration, leafs, evacuations and roll-outs.
    Feed(Box<FeedRequest>),
}

/// A connection to another daemon that is silent for this long ends. On idle connections the system sends
/// keepalive probes after half of it, which costs little: there are few connections.
const PEER_SILENCE: Duration = Duration::from_secs(2);

/// Frames over a connection that was just opened or accepted.
pub(super) fn frames(stream: TcpStream) -> Frames {
    prepare(&stream);
    Framed::new(stream, framing())
}

fn prepare(stream: &TcpStream) {
    // Without this option answers are only slower.
    let _ = stream.set_nodelay(true);
    end_after_silence(stream, PEER_SILENCE);
}

/// Serves other daemons until the task is ended.
pub async fn serve_peers(gateway: Rc<Gateway>) -> Result<(), StepError> {
    let address = gateway.settings.peer_address;
    let listener = bind(address, "listen for peers").await?;
    let permits = Rc::new(SendPermits::default());
    accept_each(listener, |stream, peer| {
        let gateway = Rc::clone(&gateway);
        let permits = Rc::clone(&permits);
        spawn_local(async move {
            // A peer whose connection fails opens a new one.
            let _ = serve(gateway, &permits, stream, &peer.to_string()).await;
        });
    })
    .await;
    Ok(())
}

async fn serve(
    gateway: Rc<Gateway>,
    permits: &SendPermits,
    stream: TcpStream,
    peer: &str,
) -> Result<(), StepError> {
    prepare(&stream);
    let mut frames = Framed::new(stream, AccountedCodec::new(&gateway.memory));
    while let Ok(Some(Ok(received))) = tokio::time::timeout(IDLE_LIMIT, frames.next()).await {
        let (frame, _charge) = match received {
            ReceivedFrame::Whole(frame, charge) => (frame, charge),
            ReceivedFrame::PassedOver => {
                gateway.metrics.on_forwarded(ForwardedResult::NoMemoryHere);
                send(&mut frames, encode(&ForwardedReply::Busy, peer)?, peer).await?;
                continue;
            }
        };
        let request = decode(&frame, peer)?;
        drop(frame);
        match request {
            PeerRequest::PollWithoutEra | PeerRequest::PollWithoutPages => {
                log::warn!(peer = peer; "poll of an older build refused");
                return Err(StepError::new("serve feed", peer, "its build is older"));
            }
            PeerRequest::Feed(request) => {
                let (reply, _permit) = answer_poll(&gateway, permits, &request, peer).await?;
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

/// Runs a query until it ends or the forwarding daemon disconnects, which ends its attempts.
async fn run_while_connected(
    gateway: &Rc<Gateway>,
    frames: &mut AccountedFrames,
    query: ForwardedQuery,
    peer: &str,
) -> Result<ForwardedReply, StepError> {
    tokio::select! {
        reply = run_forwarded(gateway, query, peer) => reply,
        // The forwarding daemon sends nothing before it has its reply.
        _ = frames.next() => Err(StepError::new("run forwarded query", peer, "its daemon has gone")),
    }
}

async fn send(frames: &mut AccountedFrames, bytes: Bytes, peer: &str) -> Result<(), StepError> {
    // A peer that accepts no data must not keep the permit from others.
    let sent = tokio::time::timeout(SEND_LIMIT, frames.send(bytes)).await;
    let sent = sent.map_err(|cause| StepError::new("send reply to peer", peer, cause))?;
    sent.map_err(|cause| StepError::new("send reply to peer", peer, cause))
}
