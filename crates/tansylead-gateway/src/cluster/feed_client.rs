//! Keeps a long poll open at one other daemon and applies what is newer.

use super::feed_message::{FeedReply, FeedRequest, TopicAges, decode, encode, is_fresher, millis};
use super::peer_server::{Frames, PeerRequest, frames};
use super::peer_session::PeerSession;
use super::view::ClusterView;
use crate::clock::Clock;
use crate::source::Topic;
use crate::state::Gateway;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{EvacuatedZones, Revision, RollOutsMark};
use tansylead_types::{Moment, StepError};
use tokio::net::TcpStream;

/// A poll without news is answered after this time.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Time limit of a round trip to a peer, and of connecting.
const ROUND_TRIP_LIMIT: Duration = Duration::from_millis(600);
/// A daemon that knows no leafs asks daemons of other regions for all of them only after this time: by then it has
/// found those of its own region, if there are any.
const NEAR_DIRECTORY_WAIT: Duration = Duration::from_secs(1);
/// Backoff after a failure, times a random factor of 0.5 to 1.5.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// The long poll at another daemon.
#[derive(Debug)]
pub struct PeerFeed {
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    /// Consecutive failures; also how many of the best peers to skip.
    failures: usize,
    /// Whether the last reply showed that the peer holds changes of the leaf directory that it did not send.
    lacks_changes: Cell<bool>,
}

impl PeerFeed {
    /// A feed that polls no peer yet.
    pub fn new(gateway: Rc<Gateway>, view: Rc<ClusterView>) -> Self {
        Self {
            gateway,
            view,
            failures: 0,
            lacks_changes: Cell::new(false),
        }
    }

    /// Runs until its task is ended.
    pub async fn run(mut self) {
        loop {
            let peers = self.view.feed_peers();
            if peers.is_empty() {
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            }
            let peer = peers[self.failures % peers.len()];
            match self.poll_peer(peer).await {
                Ok(()) => self.failures = 0,
                Err(error) => {
                    log::debug!(error:% = error; "feed of a peer failed");
                    self.failures += 1;
                    let factor = rand::random_range(0.5..1.5);
                    tokio::time::sleep(RETRY_BACKOFF.mul_f64(factor)).await;
                }
            }
        }
    }

    async fn poll_peer(&self, peer: SocketAddr) -> Result<(), StepError> {
        let connecting = tokio::time::timeout(ROUND_TRIP_LIMIT, TcpStream::connect(peer)).await;
        let connected =
            connecting.map_err(|cause| StepError::new("connect to peer", peer, cause))?;
        let stream = connected.map_err(|cause| StepError::new("connect to peer", peer, cause))?;
        let mut frames = frames(stream);
        let mut session = PeerSession::new(self.failures > 0);
        loop {
            let asked_at = Clock.now();
            let reply = self.poll(&mut frames, peer).await?;
            let came_at_once = reply.waited_millis == 0;
            let was_useful = self.apply_reply(reply, asked_at, peer)?;
            if came_at_once && !was_useful {
                // The peer regards what it holds as news, and would answer each poll at once.
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
            if session.on_answer(self.view.is_best_feed_peer(peer)) {
                return Ok(());
            }
        }
    }

    async fn poll(&self, frames: &mut Frames, peer: SocketAddr) -> Result<FeedReply, StepError> {
        let name = peer.to_string();
        let request = FeedRequest {
            cluster: self.gateway.settings.cluster.clone(),
            version: self.gateway.version(),
            directory_position: self.gateway.directory().position().cloned(),
            evacuated: self.gateway.evacuated(),
            roll_outs: self.gateway.roll_outs_mark(),
            roll_outs_needed_up_to: self.gateway.needed_roll_outs(),
            ages: TopicAges::of(&self.gateway),
            wants_whole_directory: self.wants_whole_directory(peer),
            wait_millis: millis(POLL_WAIT),
        };
        let exchange = async {
            let sent = frames
                .send(encode(&PeerRequest::Feed(Box::new(request)), &name)?)
                .await;
            sent.map_err(|cause| StepError::new("send feed request", peer, cause))?;
            match frames.next().await {
                Some(Ok(frame)) => decode(&frame, &name),
                Some(Err(cause)) => Err(StepError::new("read feed reply", peer, cause)),
                None => Err(StepError::new("read feed reply", peer, "closed")),
            }
        };
        let limit = POLL_WAIT + ROUND_TRIP_LIMIT;
        let replied = tokio::time::timeout(limit, exchange).await;
        replied.map_err(|cause| StepError::new("poll peer", peer, cause))?
    }

    /// Whole directories are large and traffic between regions is expensive: a daemon of another region is asked for
    /// one only if changes cannot bring the own directory up to date. A daemon that has no directory first
    /// gives those of its own region time to provide one.
    fn wants_whole_directory(&self, peer: SocketAddr) -> bool {
        let gateway = &self.gateway;
        let limit = gateway.settings.bounds.staleness_limit();
        let is_unknown =
            gateway.directory().revision().is_none() && gateway.uptime() > NEAR_DIRECTORY_WAIT;
        let is_stale = gateway.age(Topic::Leafs).is_some_and(|age| age > limit);
        let cannot_follow = is_unknown || is_stale || self.lacks_changes.get();
        cannot_follow || self.view.is_in_own_region(peer)
    }

    /// Applies what is newer. Returns whether anything was newer, or confirmed more recently.
    fn apply_reply(
        &self,
        mut reply: FeedReply,
        asked_at: Moment,
        peer: SocketAddr,
    ) -> Result<bool, StepError> {
        let gateway = &self.gateway;
        let held = HeldVersions::of(gateway);
        if let Some(configuration) = reply.configuration.take() {
            gateway.apply_configuration(configuration);
        }
        if let Some(delta) = reply.directory.take() {
            gateway.apply_directory(delta);
        }
        if let Some(zones) = reply.evacuated.clone() {
            gateway.apply_evacuations(zones);
        }
        if let Some(roll_outs) = reply.roll_outs.take() {
            gateway.apply_roll_outs(roll_outs);
        }
        if let Some(mark) = reply.roll_outs_held {
            gateway.advance_roll_outs(mark);
        }
        let is_fresher = self.confirm(&reply, asked_at);
        let is_newer = HeldVersions::of(gateway) != held;
        let limit = gateway.settings.bounds.staleness_limit();
        let topics = gateway.settings.bounds.topics().iter().copied();
        let must_be_fresh = topics.filter(|topic| gateway.must_be_fresh(*topic));
        if reply.ages.is_any_older_than(limit, must_be_fresh) {
            return Err(StepError::new("poll peer", peer, "its word is old"));
        }
        Ok(is_newer || is_fresher)
    }

    /// Confirms the topics of which the peer holds the same as this daemon after its reply was applied: a peer that
    /// holds more may have left changes out. Daemons that poll this one are notified at once: if they
    /// learned of the confirmation at their next poll, data would be older by a whole poll for each daemon
    /// between them and the source. Returns whether any topic was confirmed more recently than before.
    fn confirm(&self, reply: &FeedReply, asked_at: Moment) -> bool {
        let gateway = &self.gateway;
        let waited = Duration::from_millis(reply.waited_millis.into());
        let round_trip = Clock.now().since(asked_at).saturating_sub(waited);
        let mut is_news = false;
        if reply.version == gateway.version() {
            is_news |= self.confirm_topic(Topic::Configuration, reply.ages, round_trip);
        }
        let revision = gateway.directory().revision();
        if reply.revision == revision {
            is_news |= self.confirm_topic(Topic::Leafs, reply.ages, round_trip);
        }
        if holds_the_same_zones(reply, gateway) {
            is_news |= self.confirm_topic(Topic::Evacuations, reply.ages, round_trip);
        }
        if holds_the_same_orders(reply, gateway) {
            is_news |= self.confirm_topic(Topic::RollOuts, reply.ages, round_trip);
        }
        self.lacks_changes.set(reply.revision > revision);
        if is_news {
            gateway.announce_confirmation();
        }
        is_news
    }

    /// Confirms a topic with the age that the peer reported when it replied, plus `round_trip` as the longest time
    /// for which the reply was in flight. Returns whether the data is fresher than before, by enough to be
    /// worth passing on.
    fn confirm_topic(&self, topic: Topic, ages: TopicAges, round_trip: Duration) -> bool {
        let age = ages.age(topic).map(|age| age + round_trip);
        let held = self.gateway.age(topic);
        if let Some(age) = age {
            self.gateway.confirm(topic, Clock.now() - age);
        }
        is_fresher(age, held)
    }
}

/// Versions and revisions of the topics that a daemon holds.
#[derive(Debug, PartialEq)]
struct HeldVersions {
    version: Option<u64>,
    revision: Option<Revision>,
    evacuated: Option<EvacuatedZones>,
    roll_outs: Option<RollOutsMark>,
}

impl HeldVersions {
    fn of(gateway: &Gateway) -> Self {
        Self {
            version: gateway.version(),
            revision: gateway.directory().revision(),
            evacuated: gateway.evacuated(),
            roll_outs: gateway.roll_outs_mark(),
        }
    }
}

/// Whether the peer and this daemon hold the same orders to roll out.
fn holds_the_same_orders(reply: &FeedReply, gateway: &Gateway) -> bool {
    let of_peer = reply.roll_outs_held.map(|held| held.digest);
    of_peer.is_some() && of_peer == gateway.roll_outs_mark().map(|held| held.digest)
}

/// Whether the same zones are being emptied according to the peer and to this daemon.
fn holds_the_same_zones(reply: &FeedReply, gateway: &Gateway) -> bool {
    let of_peer = reply.evacuated.as_ref().map(|evacuated| &evacuated.zones);
    let held = gateway.evacuated();
    of_peer.is_some() && of_peer == held.as_ref().map(|held| &held.zones)
}
