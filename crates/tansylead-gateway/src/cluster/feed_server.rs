//! Answers other daemons' long polls.

use super::feed_message::{FeedReply, FeedRequest, WordAges, decode, encode, framing, millis};
use crate::clock::Clock;
use crate::listener::{accept_each, bind};
use crate::state::Gateway;
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{Configuration, DirectoryDelta};
use tansylead_types::StepError;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

/// A connection without a request for this long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Configurations on their way to peers at a time. All at once they would fill the link of a small
/// machine, and requests to leafs would wait behind them.
const CONFIGURATIONS_AT_A_TIME: usize = 2;
/// Longest time for one reply to be taken by its peer.
const SEND_LIMIT: Duration = Duration::from_millis(800);
/// A reply of so many bytes is logged: more than the changes of some leafs.
const LARGE_REPLY_BYTES: usize = 4 * 1024;
/// Longest wait that a request may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Serves long polls until the task is ended.
pub async fn serve_feed(gateway: Rc<Gateway>) -> Result<(), StepError> {
    let address = gateway.settings.peer_address;
    let listener = bind(address, "listen for peers").await?;
    let turns = Rc::new(Semaphore::new(CONFIGURATIONS_AT_A_TIME));
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
    turns: &Semaphore,
    stream: TcpStream,
    peer: &str,
) -> Result<(), StepError> {
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, framing());
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_LIMIT, frames.next()).await {
        let request: FeedRequest = decode(&frame, peer)?;
        if request.cluster != gateway.settings.cluster {
            return Err(StepError::new("serve feed", peer, "another cluster"));
        }
        let reply = answer(&gateway, &request).await;
        let _turn = match reply.configuration {
            Some(_) => turns.acquire().await.ok(),
            None => None,
        };
        let bytes = encode(&reply, peer)?;
        note_large_reply(peer, &reply, bytes.len());
        let sending = frames.send(bytes);
        // A peer that takes nothing must not keep others from their turn.
        let sent = tokio::time::timeout(SEND_LIMIT, sending).await;
        let sent = sent.map_err(|cause| StepError::new("send feed reply", peer, cause))?;
        sent.map_err(|cause| StepError::new("send feed reply", peer, cause))?;
    }
    Ok(())
}

/// Whole states fill the links of small machines: who sent them to whom explains late requests.
fn note_large_reply(peer: &str, reply: &FeedReply, bytes: usize) {
    if bytes < LARGE_REPLY_BYTES {
        return;
    }
    let brings_configuration = reply.configuration.is_some();
    let brings_directory = matches!(reply.directory, Some(DirectoryDelta::Everything { .. }));
    log::info!(peer = peer, bytes = bytes, configuration = brings_configuration, whole_directory = brings_directory; "large feed reply");
}

/// Answers at once if there is news, or a word that is fresher than the asking daemon's; that may
/// have come while its request was on the way. Otherwise the next change is waited for.
async fn answer(gateway: &Gateway, request: &FeedRequest) -> FeedReply {
    let arrived = Clock.now();
    let wait = Duration::from_millis(request.wait_millis.into()).min(LONGEST_WAIT);
    let mut changes = gateway.changes();
    changes.mark_unchanged();
    let news = reply(gateway, request, Duration::ZERO);
    let is_newer = news.configuration.is_some()
        || news.directory.is_some()
        || has_news_of_evacuations(&news, request);
    if is_newer || news.ages.is_fresher_than(request.ages) {
        return news;
    }
    let _ = tokio::time::timeout(wait, changes.changed()).await;
    reply(gateway, request, Clock.now().since(arrived))
}

fn has_news_of_evacuations(reply: &FeedReply, request: &FeedRequest) -> bool {
    let held = request.evacuated.as_ref();
    let told = reply.evacuated.as_ref();
    told.is_some_and(|told| told.is_news_for(held))
}

fn reply(gateway: &Gateway, request: &FeedRequest, waited: Duration) -> FeedReply {
    let active = gateway.active();
    let held = active.as_ref().map(|active| &active.configuration);
    let newer = held.filter(|held| request.version.is_none_or(|version| held.version > version));
    let configuration = newer.map(|held| Configuration::clone(held));
    let directory = gateway.directory().delta_after(request.revision);
    let directory = directory.filter(|delta| {
        let is_whole = matches!(delta, DirectoryDelta::Everything { .. });
        !is_whole || request.wants_whole_directory
    });
    let revision = gateway.directory().revision();
    FeedReply {
        configuration,
        directory,
        version: gateway.version(),
        revision,
        evacuated: gateway.evacuated(),
        ages: WordAges::of(gateway),
        waited_millis: millis(waited),
    }
}
