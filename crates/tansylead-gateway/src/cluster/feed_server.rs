//! Answers other daemons' long polls.

use super::feed_message::{FeedReply, FeedRequest, TopicAges, encode, millis};
use crate::clock::Clock;
use crate::state::Gateway;
use std::time::Duration;
use tansylead_route::{Configuration, DirectoryDelta, RollOuts};
use tansylead_types::StepError;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_util::bytes::Bytes;

/// Configurations that are sent to peers at the same time. Sending all at once would fill the link of a small
/// machine, and requests to leafs would wait behind them.
const CONCURRENT_CONFIGURATIONS: usize = 2;
/// A reply of at least this size is logged: it is more than the changes of a few leafs.
const LARGE_REPLY_BYTES: usize = 4 * 1024;
/// A directory of at most this many entries is sent whole to any daemon that lacks it: it is no larger than a
/// configuration.
const SMALL_DIRECTORY_ENTRIES: usize = 500;
/// Longest wait for news that a request may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Permits to send configurations.
#[derive(Debug)]
pub(super) struct SendPermits(Semaphore);

impl Default for SendPermits {
    fn default() -> Self {
        Self(Semaphore::new(CONCURRENT_CONFIGURATIONS))
    }
}

/// The bytes of the reply to a poll; with a configuration also the permit to send them, to be held until they are
/// sent.
pub(super) async fn answer_poll<'a>(
    gateway: &Gateway,
    permits: &'a SendPermits,
    request: &FeedRequest,
    peer: &str,
) -> Result<(Bytes, Option<SemaphorePermit<'a>>), StepError> {
    if request.cluster != gateway.settings.cluster {
        return Err(StepError::new("serve feed", peer, "another cluster"));
    }
    let reply = answer(gateway, request).await;
    let permit = match reply.configuration {
        Some(_) => permits.0.acquire().await.ok(),
        None => None,
    };
    let bytes = encode(&reply, peer)?;
    log_large_reply(peer, &reply, bytes.len());
    Ok((bytes, permit))
}

/// Logs large replies. Full states fill the links of small machines: the log shows why requests were late.
fn log_large_reply(peer: &str, reply: &FeedReply, bytes: usize) {
    if bytes < LARGE_REPLY_BYTES {
        return;
    }
    let brings_configuration = reply.configuration.is_some();
    let brings_directory = matches!(reply.directory, Some(DirectoryDelta::Everything { .. }));
    log::info!(peer = peer, bytes = bytes, configuration = brings_configuration, whole_directory = brings_directory; "large feed reply");
}

/// Answers at once if there is news, or if the data of this daemon is fresher than that of the polling one, which
/// can happen while the request is in flight. Otherwise waits for the next change.
async fn answer(gateway: &Gateway, request: &FeedRequest) -> FeedReply {
    let arrived = Clock.now();
    let wait = Duration::from_millis(request.wait_millis.into()).min(LONGEST_WAIT);
    let mut changes = gateway.changes();
    changes.mark_unchanged();
    let news = reply(gateway, request, Duration::ZERO);
    let is_newer = news.configuration.is_some()
        || news.directory.is_some()
        || has_news_of_evacuations(&news, request)
        || has_news_of_roll_outs(&news, request);
    if is_newer || news.ages.is_fresher_than(request.ages) {
        return news;
    }
    let _ = tokio::time::timeout(wait, changes.changed()).await;
    reply(gateway, request, Clock.now().since(arrived))
}

fn has_news_of_evacuations(reply: &FeedReply, request: &FeedRequest) -> bool {
    let held = request.evacuated.as_ref();
    let offered = reply.evacuated.as_ref();
    offered.is_some_and(|offered| offered.is_update_for(held))
}

/// Also true if the orders have not changed, but are known up to the revision that the polling daemon needs.
fn has_news_of_roll_outs(reply: &FeedReply, request: &FeedRequest) -> bool {
    let at = reply.roll_outs_held.map(|held| held.at);
    let needed = request.roll_outs_needed_up_to;
    reply.roll_outs.is_some() || needed.is_some_and(|needed| at >= Some(needed))
}

fn reply(gateway: &Gateway, request: &FeedRequest, waited: Duration) -> FeedReply {
    let active = gateway.active();
    let held = active.as_ref().map(|active| &active.configuration);
    let newer = held.filter(|held| request.version.is_none_or(|version| held.version > version));
    let configuration = newer.map(|held| Configuration::clone(held));
    let directory = gateway
        .directory()
        .delta_for(request.directory_position.as_ref());
    let directory = directory.filter(|delta| {
        let is_large = matches!(delta, DirectoryDelta::Everything { entries, .. } if entries.len() > SMALL_DIRECTORY_ENTRIES);
        !is_large || request.wants_whole_directory
    });
    let revision = gateway.directory().revision();
    let roll_outs = gateway.roll_outs();
    let roll_outs_held = roll_outs.as_ref().map(RollOuts::mark);
    FeedReply {
        configuration,
        directory,
        version: gateway.version(),
        revision,
        evacuated: gateway.evacuated(),
        roll_outs: roll_outs.filter(|held| held.is_update_for(request.roll_outs)),
        roll_outs_held,
        ages: TopicAges::of(gateway),
        waited_millis: millis(waited),
    }
}
