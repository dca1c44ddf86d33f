//! The roots of the own region as this daemon knows them: connections, and whether they answer.

use super::feed_message::{decode, encode};
use super::forwarded_query::{ForwardedQuery, ForwardedReply};
use super::peer_server::{Frames, PeerRequest, REUSE_LIMIT, frames};
use crate::clock::Clock;
use futures_util::{SinkExt, StreamExt};
use rand::seq::IndexedRandom;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansylead_cluster::membership::MemberRecord;
use tansylead_route::{
    Breaker, BreakerVerdict, DaemonCounts, QueryRunners, RootCandidate, query_roots,
};
use tansylead_types::{InstanceId, Moment, NodeId, PlaceName, StepError, ZoneName};
use tokio::net::TcpStream;

/// A root that is too busy gets no more queries from this daemon for so long: about as long as it takes those
/// that it runs to end.
const BUSY_REST: Duration = Duration::from_millis(500);

/// Why a root gave no reply.
#[derive(Debug)]
pub enum AskError {
    /// The query was not sent whole, so the root has not run it.
    NotSent(StepError),
    /// The root may have run it.
    MaybeRun(StepError),
}

/// A connection at rest.
#[derive(Debug)]
struct IdleConnection {
    frames: Frames,
    rests_since: Moment,
}

/// One run of a daemon that is a root.
#[derive(Debug)]
pub struct RootPeer {
    instance: InstanceId,
    zone: ZoneName,
    idle: RefCell<Vec<IdleConnection>>,
    breaker: RefCell<Breaker>,
    answered_at: Cell<Moment>,
    /// It has declined a query because it is too busy, and is not asked until then.
    rests_until: Cell<Moment>,
}

/// The roots of the own region.
#[derive(Debug, Default)]
pub struct QueryRoots {
    /// Roots other than this daemon; none if this daemon runs its queries itself.
    peers: RefCell<Vec<Rc<RootPeer>>>,
}

impl QueryRoots {
    /// Finds the roots among the members that run. Returns who runs queries in all regions.
    pub fn update(
        &self,
        members: &[MemberRecord],
        own: NodeId,
        region: &PlaceName,
    ) -> QueryRunners {
        let mut regions: BTreeMap<&PlaceName, Vec<RootCandidate<&MemberRecord>>> = BTreeMap::new();
        for member in members.iter().filter(|member| member.state.takes_work()) {
            regions
                .entry(&member.place)
                .or_default()
                .push(RootCandidate {
                    daemon: member,
                    capacity: member.capacity.0,
                });
        }
        let mut counted = RunnerCounts::default();
        for (place, candidates) in &regions {
            let roots = query_roots(candidates);
            let is_runner =
                |daemon: NodeId| roots.is_empty() || roots.iter().any(|root| root.node() == daemon);
            let daemons = candidates.iter().map(|candidate| candidate.daemon.node());
            let (runners, others) = daemons.partition(|daemon| is_runner(*daemon));
            counted.add(place, runners, others);
            if *place == region {
                self.set_roots(roots, own);
            }
        }
        counted.seen_by(own, region)
    }

    fn set_roots(&self, roots: Vec<&MemberRecord>, own: NodeId) {
        let is_own_root = roots.iter().any(|root| root.node() == own);
        let others: Vec<Rc<RootPeer>> = if is_own_root {
            Vec::new()
        } else {
            roots.into_iter().map(|root| self.peer(root)).collect()
        };
        let before = self.peers.replace(others).len();
        let now = self.peers.borrow().len();
        if before != now {
            log::info!(roots = now, is_own_root = is_own_root; "roots of the region changed");
        }
    }

    /// A root that is expected to answer, of the own zone if there is one; none if there is none, or
    /// this daemon runs queries itself.
    pub fn choose(&self, now: Moment, own_zone: &ZoneName) -> Option<Rc<RootPeer>> {
        let peers = self.peers.borrow();
        let usable: Vec<&Rc<RootPeer>> = peers
            .iter()
            .filter(|root| root.breaker.borrow().verdict(now) != BreakerVerdict::Avoid)
            .filter(|root| root.rests_until.get() <= now)
            .collect();
        let near: Vec<&Rc<RootPeer>> = usable
            .iter()
            .copied()
            .filter(|root| root.zone == *own_zone)
            .collect();
        let candidates = if near.is_empty() { usable } else { near };
        candidates
            .choose(&mut rand::rng())
            .map(|root| Rc::clone(root))
    }

    /// Closes all connections at rest.
    pub fn close_idle(&self) {
        for root in self.peers.borrow().iter() {
            root.idle.borrow_mut().clear();
        }
    }

    /// Closes connections that have rested too long.
    pub fn close_expired(&self, now: Moment) {
        for root in self.peers.borrow().iter() {
            let mut idle = root.idle.borrow_mut();
            idle.retain(|idle| now.since(idle.rests_since) < REUSE_LIMIT);
        }
    }

    /// What is known of a root, or a root of which nothing is known yet.
    fn peer(&self, member: &MemberRecord) -> Rc<RootPeer> {
        let peers = self.peers.borrow();
        let known = peers.iter().find(|peer| peer.instance == member.instance);
        known.map_or_else(|| Rc::new(RootPeer::new(member)), Rc::clone)
    }
}

/// The daemons that run queries, and the others, with the places they run in.
#[derive(Debug, Default)]
struct RunnerCounts<'a> {
    runners: Vec<(&'a PlaceName, NodeId)>,
    others: Vec<(&'a PlaceName, NodeId)>,
}

impl<'a> RunnerCounts<'a> {
    fn add(&mut self, place: &'a PlaceName, runners: Vec<NodeId>, others: Vec<NodeId>) {
        let placed = |daemon| (place, daemon);
        self.runners.extend(runners.into_iter().map(placed));
        self.others.extend(others.into_iter().map(placed));
    }

    /// The counts as `own` sees them: it is ranked among those of its region.
    fn seen_by(self, own: NodeId, region: &PlaceName) -> QueryRunners {
        let counts = |daemons: &[(&PlaceName, NodeId)]| {
            let before = daemons
                .iter()
                .filter(|(place, daemon)| *place == region && *daemon < own);
            let rank = before.count();
            DaemonCounts::new(daemons.iter().map(|(place, _)| (*place).clone()), rank)
        };
        QueryRunners {
            runners: counts(&self.runners),
            others: counts(&self.others),
            is_runner: self.runners.iter().any(|(_, daemon)| *daemon == own),
        }
    }
}

impl RootPeer {
    fn new(member: &MemberRecord) -> Self {
        Self {
            instance: member.instance,
            zone: member.zone.clone(),
            idle: RefCell::default(),
            breaker: RefCell::default(),
            answered_at: Cell::default(),
            rests_until: Cell::default(),
        }
    }

    /// Its peer address.
    pub fn address(&self) -> SocketAddr {
        self.instance.node.0
    }

    /// Asks the root to run a query. Dropping the future ends the query there.
    pub async fn ask(
        &self,
        query: ForwardedQuery,
        connect_limit: Duration,
    ) -> Result<ForwardedReply, AskError> {
        let peer = self.address().to_string();
        let bytes =
            encode(&PeerRequest::Query(Box::new(query)), &peer).map_err(AskError::NotSent)?;
        let mut frames = self
            .connect(connect_limit)
            .await
            .map_err(AskError::NotSent)?;
        let _open = OpenQuery::begin(self);
        let sent = frames.send(bytes).await;
        // A root reads only whole messages, and this one was not written whole.
        sent.map_err(|cause| AskError::NotSent(StepError::new("ask root", &peer, cause)))?;
        let reply = match frames.next().await {
            Some(Ok(frame)) => decode(&frame, &peer).map_err(AskError::MaybeRun)?,
            Some(Err(cause)) => {
                let error = StepError::new("read root's reply", &peer, cause);
                return Err(AskError::MaybeRun(error));
            }
            None => {
                let error = StepError::new("read root's reply", &peer, "closed");
                return Err(AskError::MaybeRun(error));
            }
        };
        self.idle.borrow_mut().push(IdleConnection {
            frames,
            rests_since: Clock.now(),
        });
        Ok(reply)
    }

    /// Notes a reply to a query sent at `sent`; `timely` if it came within its objective.
    pub fn on_answer(&self, sent: Moment, timely: bool) {
        let now = Clock.now();
        self.answered_at.set(now);
        if self.breaker.borrow_mut().on_answer(now, sent, timely) {
            log::info!(root:% = self.address(); "root sound again");
        }
    }

    /// Notes that the root is too busy to run a query.
    pub fn on_busy(&self) {
        self.rests_until.set(Clock.now() + BUSY_REST);
    }

    /// Notes that a reply to a query sent at `sent` is late. Nothing is held against a root that has
    /// answered others since: it waits for leafs.
    pub fn on_overdue(&self, sent: Moment, delay: Duration) {
        if !self.is_silent_since(sent) {
            return;
        }
        // Perhaps only its connections are silent: the next query opens a new one.
        self.idle.borrow_mut().clear();
        let opened = self
            .breaker
            .borrow_mut()
            .on_overdue(Clock.now(), sent, delay);
        if opened {
            log::info!(root:% = self.address(), delay_ms = delay.as_millis() as u64; "root overdue");
        }
    }

    /// Notes that the root could not be reached, or closed a connection.
    pub fn on_unreachable(&self, delay: Duration) {
        self.idle.borrow_mut().clear();
        if self.breaker.borrow_mut().on_unreachable(Clock.now(), delay) {
            log::info!(root:% = self.address(); "root unreachable");
        }
    }

    /// Whether the root has answered nothing since a query was sent.
    pub fn is_silent_since(&self, sent: Moment) -> bool {
        self.answered_at.get() <= sent
    }

    async fn connect(&self, limit: Duration) -> Result<Frames, StepError> {
        while let Some(idle) = self.take_idle() {
            if is_open(&idle) {
                return Ok(idle);
            }
        }
        let address = self.address();
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let connected =
            connecting.map_err(|cause| StepError::new("connect to root", address, cause))?;
        let stream =
            connected.map_err(|cause| StepError::new("connect to root", address, cause))?;
        Ok(frames(stream))
    }

    fn take_idle(&self) -> Option<Frames> {
        let now = Clock.now();
        let mut idle = self.idle.borrow_mut();
        let is_fresh = |idle: &mut IdleConnection| now.since(idle.rests_since) < REUSE_LIMIT;
        idle.pop_if(is_fresh).map(|idle| idle.frames)
    }
}

/// One query at a root; ends when dropped, also if its caller leaves.
struct OpenQuery<'a> {
    root: &'a RootPeer,
    sent: Moment,
}

impl<'a> OpenQuery<'a> {
    fn begin(root: &'a RootPeer) -> Self {
        let sent = Clock.now();
        root.breaker.borrow_mut().on_sent(sent);
        Self { root, sent }
    }
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.root.breaker.borrow_mut().on_abandoned(self.sent);
    }
}

/// Whether a connection at rest is still open, as far as is known: its root sends nothing unasked.
fn is_open(frames: &Frames) -> bool {
    let mut byte = [0];
    let read = frames.get_ref().try_read(&mut byte);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
