//! The members that run, who among them watches the source, and whom each other one polls.

use rand::seq::{IteratorRandom, SliceRandom};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use tansylead_cluster::membership::MemberRecord;
use tansylead_cluster::routing::judges;
use tansylead_cluster::spread::{FeedSources, FeedTree, ReaderRanking};
use tansylead_types::{NodeId, PlaceName, ServiceName, ZoneName};

/// Minimum number of daemons that watch the source, in all regions together: each of them sees every
/// change, so more would cost calls and spread nothing sooner.
const WATCHERS: usize = 3;
/// Maximum number of daemons that poll the same daemon: it sends every change to each of them, and a large
/// change would fill the link of a small machine.
const FEED_FAN_OUT: usize = 8;
/// Peers that are tried one after another while polls fail. Those of equal rank are ordered at random each
/// time, so that a peer that knows nothing yet, such as a seed that has just started, is soon asked again.
const FEED_CANDIDATES: usize = 6;
/// Maximum number of daemons to send reports on leafs to: more would cost more than they save.
const MAXIMUM_REPORT_PEERS: usize = 32;

/// Members as one daemon sees them.
#[derive(Debug)]
pub struct ClusterView {
    node: NodeId,
    place: PlaceName,
    regions: usize,
    seeds: RefCell<Vec<SocketAddr>>,
    /// Daemons that have registered with the source.
    registered: RefCell<Vec<SocketAddr>>,
    /// Registered daemons that were not passed to membership yet.
    new_registered: RefCell<Option<Vec<SocketAddr>>>,
    members: RefCell<Vec<MemberRecord>>,
    /// The members that watch the source; computed again whenever the members change.
    watchers: RefCell<HashSet<NodeId>>,
    /// Whom this daemon polls; computed again whenever the members change.
    sources: RefCell<FeedSources>,
    joined: Cell<bool>,
    /// Incremented whenever the members change.
    members_version: Cell<u64>,
    /// Boot number of this daemon's run, as membership sends it to the others.
    boot: Cell<u64>,
}

/// Preference among members to poll; the least is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FeedRank {
    /// The parent in the tree of the own region.
    Parent,
    /// Another member of the own region that is closer to the source.
    Upstream,
    /// A watcher of another region.
    RemoteWatcher,
    /// Any other member of the own region.
    OwnRegion,
    /// Any other member.
    Remote,
}

impl ClusterView {
    /// A view of a daemon that knows of its seeds only.
    pub fn new(node: NodeId, place: PlaceName, regions: usize, seeds: Vec<SocketAddr>) -> Self {
        Self {
            node,
            place,
            regions: regions.max(1),
            seeds: RefCell::new(seeds),
            registered: RefCell::default(),
            new_registered: RefCell::default(),
            members: RefCell::default(),
            watchers: RefCell::default(),
            sources: RefCell::default(),
            joined: Cell::new(false),
            members_version: Cell::new(0),
            boot: Cell::new(0),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Sets the daemons that have registered, to join through and to poll like seeds.
    pub fn set_registered(&self, registered: Vec<SocketAddr>) {
        self.registered.borrow_mut().clone_from(&registered);
        *self.new_registered.borrow_mut() = Some(registered);
    }

    /// Takes the registered daemons that were not passed to membership yet.
    pub fn take_new_registered(&self) -> Option<Vec<SocketAddr>> {
        self.new_registered.borrow_mut().take()
    }

    /// Replaces the members that run.
    pub fn set_members(&self, members: Vec<MemberRecord>, joined: bool) {
        let trees = self.feed_trees(&members);
        let watchers = trees.values().flat_map(FeedTree::readers);
        *self.watchers.borrow_mut() = watchers.collect();
        let own_tree = trees.get(&self.place);
        let sources = own_tree.map(|tree| tree.sources(self.node));
        *self.sources.borrow_mut() = sources.unwrap_or_default();
        *self.members.borrow_mut() = members;
        self.members_version.set(self.members_version.get() + 1);
        self.joined.set(joined);
    }

    /// A number that is incremented whenever the members change.
    pub fn members_version(&self) -> u64 {
        self.members_version.get()
    }

    /// The members that run, this daemon included.
    pub fn member_nodes(&self) -> Vec<NodeId> {
        let members = self.members.borrow();
        members.iter().map(MemberRecord::node).collect()
    }

    /// The judges of the roll-outs of a service, best first.
    pub fn judges(&self, service: &ServiceName) -> Vec<NodeId> {
        judges(service, self.members.borrow().iter())
    }

    /// Sets the boot number of this daemon's run, as membership sends it to the others: later runs have greater ones.
    pub fn set_boot(&self, boot: u64) {
        self.boot.set(boot);
    }

    /// This daemon's run.
    pub fn boot(&self) -> u64 {
        self.boot.get()
    }

    /// The tree of each region.
    fn feed_trees(&self, members: &[MemberRecord]) -> BTreeMap<PlaceName, FeedTree> {
        let mut rankings: BTreeMap<PlaceName, ReaderRanking> = BTreeMap::new();
        for member in members {
            let ranking = rankings
                .entry(member.place.clone())
                .or_insert_with(|| ReaderRanking::new(member.place.clone()));
            ranking.update(member);
        }
        let watchers = WATCHERS.div_ceil(self.regions);
        let trees = rankings.into_iter();
        trees
            .map(|(place, ranking)| (place, FeedTree::new(&ranking, watchers, FEED_FAN_OUT)))
            .collect()
    }

    /// Whether the member table was completed from a peer, or there is no peer to join.
    pub fn is_joined(&self) -> bool {
        self.joined.get()
    }

    /// Whether no other daemon is known to run.
    pub fn is_alone(&self) -> bool {
        let members = self.members.borrow();
        members.iter().all(|member| member.node() == self.node)
    }

    /// Whether this daemon watches the source. Before it has joined it cannot rank the members: then it
    /// watches if it is a seed, since the others poll seeds until they have joined.
    pub fn is_watcher(&self) -> bool {
        if self.joined.get() {
            self.watchers.borrow().contains(&self.node)
        } else {
            self.seeds.borrow().contains(&self.node.0)
        }
    }

    /// A few addresses to keep a long poll open at, best first; before this daemon has joined the
    /// others, seeds and registered daemons come first.
    pub fn feed_peers(&self) -> Vec<SocketAddr> {
        let mut peers = Vec::new();
        if !self.joined.get() || self.is_alone() {
            peers = self.entry_points();
        }
        let members = self.ranked_members();
        let others = members.into_iter().filter(|peer| !peers.contains(peer));
        let others: Vec<SocketAddr> = others.collect();
        peers.extend(others);
        peers.truncate(FEED_CANDIDATES);
        peers
    }

    /// Seeds in random order, then registered daemons in random order; in each group those first that are known
    /// to run in the own region. What all daemons of a large fleet read through them when they start is large,
    /// and traffic between regions is expensive.
    fn entry_points(&self) -> Vec<SocketAddr> {
        let mut points: Vec<SocketAddr> = Vec::new();
        for list in [&self.seeds, &self.registered] {
            let mut list = list.borrow().clone();
            list.shuffle(&mut rand::rng());
            list.sort_by_key(|point| !self.is_in_own_region(*point));
            list.retain(|point| *point != self.node.0 && !points.contains(point));
            points.extend(list);
        }
        points
    }

    fn is_entry_point(&self, peer: SocketAddr) -> bool {
        self.seeds.borrow().contains(&peer) || self.registered.borrow().contains(&peer)
    }

    /// The other members, best first.
    fn ranked_members(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let mut ranked: Vec<(FeedRank, SocketAddr)> = members
            .iter()
            .filter(|member| member.node() != self.node)
            .map(|member| (self.feed_rank(member), member.node().0))
            .collect();
        ranked.shuffle(&mut rand::rng());
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Daemons of the own region to send reports on leafs to: all of them, or a random sample if they are
    /// many.
    pub fn report_peers(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let own_region = members
            .iter()
            .filter(|member| member.place == self.place && member.node() != self.node);
        let peers = own_region.map(|member| member.node().0);
        peers.sample(&mut rand::rng(), MAXIMUM_REPORT_PEERS)
    }

    /// A random sample of the other daemons.
    pub fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let others = members.iter().filter(|member| member.node() != self.node);
        let peers = others.map(|member| member.node().0);
        peers.sample(&mut rand::rng(), count)
    }

    /// `count` daemons to inform about requests that callers may repeat: those of the own zone first, to which callers
    /// mostly return, then others at random.
    pub fn near_peers(&self, zone: &ZoneName, count: usize) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let mut others: Vec<&MemberRecord> = members
            .iter()
            .filter(|member| member.node() != self.node)
            .collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|member| member.zone != *zone);
        let nearest = others.into_iter().take(count);
        nearest.map(|member| member.node().0).collect()
    }

    /// Whether a peer is known to run in the own region.
    pub fn is_in_own_region(&self, peer: SocketAddr) -> bool {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.node().0 == peer);
        member.is_some_and(|member| member.place == self.place)
    }

    /// Whether no member is a better peer to poll than this one.
    pub fn is_best_feed_peer(&self, peer: SocketAddr) -> bool {
        if !self.joined.get() {
            let seeds = self.seeds.borrow();
            let has_near = seeds.iter().any(|seed| self.is_in_own_region(*seed));
            return self.is_entry_point(peer) && (!has_near || self.is_in_own_region(peer));
        }
        let members = self.members.borrow();
        let others = members.iter().filter(|member| member.node() != self.node);
        let best = others.clone().map(|member| self.feed_rank(member)).min();
        let own = others.filter(|member| member.node().0 == peer);
        let own = own.map(|member| self.feed_rank(member)).min();
        best.is_none() || own == best
    }

    fn feed_rank(&self, member: &MemberRecord) -> FeedRank {
        let node = member.node();
        let sources = self.sources.borrow();
        if sources.parent == Some(node) {
            return FeedRank::Parent;
        }
        if sources.upstream.contains(&node) {
            return FeedRank::Upstream;
        }
        let is_own_region = member.place == self.place;
        if !is_own_region && self.watchers.borrow().contains(&node) {
            return FeedRank::RemoteWatcher;
        }
        if is_own_region {
            FeedRank::OwnRegion
        } else {
            FeedRank::Remote
        }
    }
}
