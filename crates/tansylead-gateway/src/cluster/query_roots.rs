//! The roots of the own region as this daemon sees them: connections, and whether they answer.

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
    Breaker, BreakerVerdict, DaemonCounts, MemoryUse, QueryRunners, RootCandidate, query_roots,
};
use tansylead_types::{InstanceId, Moment, NodeId, PlaceName, StepError, ZoneName};
use tokio::net::TcpStream;

/// A root that is too busy gets no more queries from this daemon for this long: about the time in which the
/// queries that it runs end.
const BUSY_PAUSE: Duration = Duration::from_millis(500);

/// Why a root gave no reply.
#[derive(Debug)]
pub enum ForwardError {
    /// The query was not sent completely, so the root has not run it.
    NotSent(StepError),
    /// The root may have run it.
    MaybeRun(StepError),
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    frames: Frames,
    idle_since: Moment,
}

/// One run of a daemon that is a root.
#[derive(Debug)]
pub struct RootPeer {
    instance: InstanceId,
    zone: ZoneName,
    idle: RefCell<Vec<IdleConnection>>,
    breaker: RefCell<Breaker>,
    answered_at: Cell<Moment>,
    /// It has declined a query because it was too busy, and gets none until then.
    busy_until: Cell<Moment>,
}

/// The roots of the own region.
#[derive(Debug, Default)]
pub struct QueryRoots {
    /// Roots other than this daemon; empty if this daemon runs its queries itself.
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
        counted.into_query_runners(own, region)
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

    /// A random root that is expected to answer, of the own zone if there is one; none if there is no such root,
    /// or this daemon runs its queries itself.
    pub fn choose(&self, now: Moment, own_zone: &ZoneName) -> Option<Rc<RootPeer>> {
        let peers = self.peers.borrow();
        let usable: Vec<&Rc<RootPeer>> = peers
            .iter()
            .filter(|root| root.breaker.borrow().verdict(now) != BreakerVerdict::Avoid)
            .filter(|root| root.busy_until.get() <= now)
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

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for root in self.peers.borrow().iter() {
            root.idle.borrow_mut().clear();
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: Moment) {
        for root in self.peers.borrow().iter() {
            let mut idle = root.idle.borrow_mut();
            idle.retain(|idle| now.since(idle.idle_since) < REUSE_LIMIT);
        }
    }

    /// The known state of a root, or a new one if nothing is known yet.
    fn peer(&self, member: &MemberRecord) -> Rc<RootPeer> {
        let peers = self.peers.borrow();
        let known = peers.iter().find(|peer| peer.instance == member.instance);
        known.map_or_else(|| Rc::new(RootPeer::new(member)), Rc::clone)
    }
}

/// The daemons that run queries, and the others, each with its place.
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

    /// The counts for the daemon `own`, with its rank among those of its region.
    fn into_query_runners(self, own: NodeId, region: &PlaceName) -> QueryRunners {
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
            busy_until: Cell::default(),
        }
    }

    /// Its peer address.
    pub fn address(&self) -> SocketAddr {
        self.instance.node.0
    }

    /// Forwards a query to the root. Dropping the future ends the query there.
    pub async fn forward(
        &self,
        query: ForwardedQuery,
        connect_limit: Duration,
    ) -> Result<ForwardedReply, ForwardError> {
        let peer = self.address().to_string();
        let is_small = query.data_bytes() <= MemoryUse::SMALL_BYTES;
        let bytes =
            encode(&PeerRequest::Query(Box::new(query)), &peer).map_err(ForwardError::NotSent)?;
        let mut frames = self
            .connect(connect_limit)
            .await
            .map_err(ForwardError::NotSent)?;
        let _open = OpenQuery::begin(self);
        let sent = frames.send(bytes).await;
        // A root processes only complete messages, and this one was not written completely.
        sent.map_err(|cause| ForwardError::NotSent(StepError::new("query root", &peer, cause)))?;
        let reply = match frames.next().await {
            Some(Ok(frame)) => decode(&frame, &peer).map_err(ForwardError::MaybeRun)?,
            Some(Err(cause)) => {
                let error = StepError::new("read root's reply", &peer, cause);
                return Err(ForwardError::MaybeRun(error));
            }
            None => {
                let error = StepError::new("read root's reply", &peer, "closed");
                return Err(ForwardError::MaybeRun(error));
            }
        };
        // A connection keeps buffers as large as its largest message.
        if is_small {
            self.idle.borrow_mut().push(IdleConnection {
                frames,
                idle_since: Clock.now(),
            });
        }
        Ok(reply)
    }

    /// Records a reply to a query sent at `sent`; `timely` if it came within its objective.
    pub fn on_answer(&self, sent: Moment, timely: bool) {
        let now = Clock.now();
        self.answered_at.set(now);
        if self.breaker.borrow_mut().on_answer(now, sent, timely) {
            log::info!(root:% = self.address(); "root sound again");
        }
    }

    /// Records that the root is too busy to run a query.
    pub fn on_busy(&self) {
        self.busy_until.set(Clock.now() + BUSY_PAUSE);
    }

    /// Records that a reply to a query sent at `sent` is late. This does not count against a root that has
    /// answered other queries since: it waits for leafs.
    pub fn on_overdue(&self, sent: Moment, delay: Duration) {
        if !self.is_silent_since(sent) {
            return;
        }
        // Perhaps only its connections have failed silently: the next query opens a new one.
        self.idle.borrow_mut().clear();
        let opened = self
            .breaker
            .borrow_mut()
            .on_overdue(Clock.now(), sent, delay);
        if opened {
            log::info!(root:% = self.address(), delay_ms = delay.as_millis() as u64; "root overdue");
        }
    }

    /// Records that the root could not be reached, or closed a connection.
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
        let is_fresh = |idle: &mut IdleConnection| now.since(idle.idle_since) < REUSE_LIMIT;
        idle.pop_if(is_fresh).map(|idle| idle.frames)
    }
}

/// One query at a root. Dropping it, also because its caller disconnects, tells the circuit breaker that it ended.
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

/// Whether an idle connection is still open, as far as is known: its root sends nothing unrequested.
fn is_open(frames: &Frames) -> bool {
    let mut byte = [0];
    let read = frames.get_ref().try_read(&mut byte);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
