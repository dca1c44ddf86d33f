//! Answers other daemons' long polls.

use super::feed_message::{FeedReply, FeedRequest, decode, encode, framing, millis};
use crate::listener::{accept_each, bind};
use crate::source::Topic;
use crate::state::Gateway;
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{Configuration, DirectoryDelta};
use tansylead_types::StepError;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

/// A connection without a request for this long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Longest wait that a request may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Serves long polls until the task is ended.
pub async fn serve_feed(gateway: Rc<Gateway>) -> Result<(), StepError> {
    let address = gateway.settings.peer_address;
    let listener = bind(address, "listen for peers").await?;
    accept_each(listener, |stream, peer| {
        let gateway = Rc::clone(&gateway);
        spawn_local(async move {
            // A peer that goes away comes back by itself.
            let _ = serve(gateway, stream, &peer.to_string()).await;
        });
    })
    .await;
    Ok(())
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, peer: &str) -> Result<(), StepError> {
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, framing());
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_LIMIT, frames.next()).await {
        let request: FeedRequest = decode(&frame, peer)?;
        if request.cluster != gateway.settings.cluster {
            return Err(StepError::new("serve feed", peer, "another cluster"));
        }
        let reply = answer(&gateway, &request).await;
        let sent = frames.send(encode(&reply, peer)?).await;
        sent.map_err(|cause| StepError::new("send feed reply", peer, cause))?;
    }
    Ok(())
}

async fn answer(gateway: &Gateway, request: &FeedRequest) -> FeedReply {
    let wait = Duration::from_millis(request.wait_millis.into()).min(LONGEST_WAIT);
    let mut changes = gateway.changes();
    changes.mark_unchanged();
    let news = reply(gateway, request);
    if news.configuration.is_some() || news.directory.is_some() {
        return news;
    }
    let _ = tokio::time::timeout(wait, changes.changed()).await;
    reply(gateway, request)
}

fn reply(gateway: &Gateway, request: &FeedRequest) -> FeedReply {
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
        configuration_age_millis: gateway.age(Topic::Configuration).map(millis),
        leafs_age_millis: gateway.age(Topic::Leafs).map(millis),
    }
}
