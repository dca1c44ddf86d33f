//! Keeps a long poll open at one other daemon and takes in what is newer.

use super::feed_message::{FeedReply, FeedRequest, WordAges, decode, encode, is_fresher, millis};
use super::peer_server::{Frames, PeerRequest, frames};
use super::peer_turn::PeerTurn;
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
/// Time for the way to a peer and back, and for connecting.
const WAY_LIMIT: Duration = Duration::from_millis(600);
/// A daemon that knows no leafs asks far daemons for all of them after this time only: by then it has found those
/// of its own region, if there are any.
const NEAR_DIRECTORY_WAIT: Duration = Duration::from_secs(1);
/// Wait after a failure, times a random factor of 0.5 to 1.5.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// The long poll at another daemon.
#[derive(Debug)]
pub struct PeerFeed {
    gateway: Rc<Gateway>,
    view: Rc<ClusterView>,
    /// Failures in a row; also how many of the best peers to pass over.
    failures: usize,
    /// Whether the last reply told of changes of the leaf directory that it did not bring.
    lacks_changes: Cell<bool>,
}

impl PeerFeed {
    /// A feed that polls nobody yet.
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
                tokio::time::sleep(RETRY_WAIT).await;
                continue;
            }
            let peer = peers[self.failures % peers.len()];
            match self.poll_peer(peer).await {
                Ok(()) => self.failures = 0,
                Err(error) => {
                    log::debug!(error:% = error; "feed of a peer failed");
                    self.failures += 1;
                    let factor = rand::random_range(0.5..1.5);
                    tokio::time::sleep(RETRY_WAIT.mul_f64(factor)).await;
                }
            }
        }
    }

    async fn poll_peer(&self, peer: SocketAddr) -> Result<(), StepError> {
        let connecting = tokio::time::timeout(WAY_LIMIT, TcpStream::connect(peer)).await;
        let connected =
            connecting.map_err(|cause| StepError::new("connect to peer", peer, cause))?;
        let stream = connected.map_err(|cause| StepError::new("connect to peer", peer, cause))?;
        let mut frames = frames(stream);
        let mut turn = PeerTurn::new(self.failures > 0);
        loop {
            let asked = Clock.now();
            let reply = self.poll(&mut frames, peer).await?;
            let came_at_once = reply.waited_millis == 0;
            let was_useful = self.take_in(reply, asked, peer)?;
            if came_at_once && !was_useful {
                // The peer thinks that it has news, and would answer at once again and again.
                tokio::time::sleep(RETRY_WAIT).await;
            }
            if turn.on_answer(self.view.is_best_feed_peer(peer)) {
                return Ok(());
            }
        }
    }

    async fn poll(&self, frames: &mut Frames, peer: SocketAddr) -> Result<FeedReply, StepError> {
        let name = peer.to_string();
        let request = FeedRequest {
            cluster: self.gateway.settings.cluster.clone(),
            version: self.gateway.version(),
            revision: self.gateway.directory().revision(),
            evacuated: self.gateway.evacuated(),
            roll_outs: self.gateway.roll_outs_mark(),
            roll_outs_needed_up_to: self.gateway.needed_roll_outs(),
            ages: WordAges::of(&self.gateway),
            wants_whole_directory: self.wants_whole_directory(peer),
            wait_millis: millis(POLL_WAIT),
        };
        let exchange = async {
            let sent = frames
                .send(encode(&PeerRequest::Feed(request), &name)?)
                .await;
            sent.map_err(|cause| StepError::new("send feed request", peer, cause))?;
            match frames.next().await {
                Some(Ok(frame)) => decode(&frame, &name),
                Some(Err(cause)) => Err(StepError::new("read feed reply", peer, cause)),
                None => Err(StepError::new("read feed reply", peer, "closed")),
            }
        };
        let limit = POLL_WAIT + WAY_LIMIT;
        let replied = tokio::time::timeout(limit, exchange).await;
        replied.map_err(|cause| StepError::new("poll peer", peer, cause))?
    }

    /// Whole directories are large and bytes between regions dear: from far away only if what is held
    /// cannot be brought up to date by changes, and a daemon that knows none gives those of its own region the
    /// time to bring one.
    fn wants_whole_directory(&self, peer: SocketAddr) -> bool {
        let gateway = &self.gateway;
        let limit = gateway.settings.bounds.word_limit();
        let is_unknown =
            gateway.directory().revision().is_none() && gateway.uptime() > NEAR_DIRECTORY_WAIT;
        let is_old = gateway.age(Topic::Leafs).is_some_and(|age| age > limit);
        let cannot_follow = is_unknown || is_old || self.lacks_changes.get();
        cannot_follow || self.view.is_in_own_region(peer)
    }

    /// Takes in what is newer. Returns whether anything was, or the word was fresher.
    fn take_in(
        &self,
        mut reply: FeedReply,
        asked: Moment,
        peer: SocketAddr,
    ) -> Result<bool, StepError> {
        let gateway = &self.gateway;
        let held = Held::of(gateway);
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
        let is_fresher = self.confirm(&reply, asked);
        let is_newer = Held::of(gateway) != held;
        let limit = gateway.settings.bounds.word_limit();
        let topics = gateway.settings.bounds.topics().iter().copied();
        let must_be_fresh = topics.filter(|topic| gateway.must_be_fresh(*topic));
        if reply.ages.is_any_older_than(limit, must_be_fresh) {
            return Err(StepError::new("poll peer", peer, "its word is old"));
        }
        Ok(is_newer || is_fresher)
    }

    /// The peer's word confirms what is held here only if the peer holds the same, now that its reply
    /// was taken in: one that holds more may have left changes out. Daemons that poll this one are
    /// told at once: at their next poll the word would be older by a whole poll for each daemon on the
    /// way from the source. Returns whether the word is fresher than what was held.
    fn confirm(&self, reply: &FeedReply, asked: Moment) -> bool {
        let gateway = &self.gateway;
        let waited = Duration::from_millis(reply.waited_millis.into());
        let way = Clock.now().since(asked).saturating_sub(waited);
        let mut is_news = false;
        if reply.version == gateway.version() {
            is_news |= self.confirm_topic(Topic::Configuration, reply.ages, way);
        }
        let revision = gateway.directory().revision();
        if reply.revision == revision {
            is_news |= self.confirm_topic(Topic::Leafs, reply.ages, way);
        }
        if holds_the_same_zones(reply, gateway) {
            is_news |= self.confirm_topic(Topic::Evacuations, reply.ages, way);
        }
        if holds_the_same_orders(reply, gateway) {
            is_news |= self.confirm_topic(Topic::RollOuts, reply.ages, way);
        }
        self.lacks_changes.set(reply.revision > revision);
        if is_news {
            gateway.announce_confirmation();
        }
        is_news
    }

    /// Takes in a word that was as old as told when it left, and has been on its way for `way` at
    /// most. Returns whether it is fresher than what was held, by as much as is worth passing on.
    fn confirm_topic(&self, topic: Topic, ages: WordAges, way: Duration) -> bool {
        let age = ages.age(topic).map(|age| age + way);
        let held = self.gateway.age(topic);
        if let Some(age) = age {
            self.gateway.confirm(topic, Clock.now() - age);
        }
        is_fresher(age, held)
    }
}

/// What a daemon holds of each topic.
#[derive(Debug, PartialEq)]
struct Held {
    version: Option<u64>,
    revision: Option<Revision>,
    evacuated: Option<EvacuatedZones>,
    roll_outs: Option<RollOutsMark>,
}

impl Held {
    fn of(gateway: &Gateway) -> Self {
        Self {
            version: gateway.version(),
            revision: gateway.directory().revision(),
            evacuated: gateway.evacuated(),
            roll_outs: gateway.roll_outs_mark(),
        }
    }
}

/// Whether the same orders to roll out stand by what the peer holds and by what is held here.
fn holds_the_same_orders(reply: &FeedReply, gateway: &Gateway) -> bool {
    let told = reply.roll_outs_held.map(|held| held.digest);
    told.is_some() && told == gateway.roll_outs_mark().map(|held| held.digest)
}

/// Whether the same zones are being emptied by what the peer holds and by what is held here.
fn holds_the_same_zones(reply: &FeedReply, gateway: &Gateway) -> bool {
    let told = reply.evacuated.as_ref().map(|told| &told.zones);
    let held = gateway.evacuated();
    told.is_some() && told == held.as_ref().map(|held| &held.zones)
}
