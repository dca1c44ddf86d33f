//! Answers other daemons' long polls.

use super::feed_message::{FeedReply, FeedRequest, WordAges, encode, millis};
use crate::clock::Clock;
use crate::state::Gateway;
use std::time::Duration;
use tansylead_route::{Configuration, DirectoryDelta, RollOuts};
use tansylead_types::StepError;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_util::bytes::Bytes;

/// Configurations on their way to peers at a time. All at once they would fill the link of a small
/// machine, and requests to leafs would wait behind them.
const CONFIGURATIONS_AT_A_TIME: usize = 2;
/// A reply of so many bytes is logged: more than the changes of some leafs.
const LARGE_REPLY_BYTES: usize = 4 * 1024;
/// A directory of no more entries is sent whole to whoever lacks it: it takes no more than a configuration.
const SMALL_DIRECTORY: usize = 500;
/// Longest wait that a request may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Whose turn it is to send configurations.
#[derive(Debug)]
pub(super) struct FeedTurns(Semaphore);

impl Default for FeedTurns {
    fn default() -> Self {
        Self(Semaphore::new(CONFIGURATIONS_AT_A_TIME))
    }
}

/// The bytes of the reply to a poll, and the turn to send them, which lasts until it is dropped.
pub(super) async fn answer_poll<'a>(
    gateway: &Gateway,
    turns: &'a FeedTurns,
    request: &FeedRequest,
    peer: &str,
) -> Result<(Bytes, Option<SemaphorePermit<'a>>), StepError> {
    if request.cluster != gateway.settings.cluster {
        return Err(StepError::new("serve feed", peer, "another cluster"));
    }
    let reply = answer(gateway, request).await;
    let turn = match reply.configuration {
        Some(_) => turns.0.acquire().await.ok(),
        None => None,
    };
    let bytes = encode(&reply, peer)?;
    note_large_reply(peer, &reply, bytes.len());
    Ok((bytes, turn))
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
    let told = reply.evacuated.as_ref();
    told.is_some_and(|told| told.is_update_for(held))
}

/// Also if the orders have not changed, but are known as far as the asking daemon needs them.
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
    let directory = gateway.directory().delta_after(request.revision);
    let directory = directory.filter(|delta| {
        let is_large = matches!(delta, DirectoryDelta::Everything { entries, .. } if entries.len() > SMALL_DIRECTORY);
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
        ages: WordAges::of(gateway),
        waited_millis: millis(waited),
    }
}
