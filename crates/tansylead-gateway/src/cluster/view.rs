//! The members that run, and who among them watches the source.

use rand::seq::{IteratorRandom, SliceRandom};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use tansylead_cluster::membership::MemberRecord;
use tansylead_cluster::spread::ReaderRanking;
use tansylead_types::{NodeId, PlaceName};

/// Daemons that watch the source, in all regions together, at least.
const WATCHERS: usize = 3;
/// Daemons of a region for each that watches the source, at most: a watcher passes every change on
/// to the others, and a large one would fill the link of a small machine.
const DAEMONS_PER_WATCHER: usize = 8;
/// Daemons that are told reports on leafs, at most: more would cost more than they save.
const MAXIMUM_REPORT_PEERS: usize = 32;

/// Members as one daemon sees them.
#[derive(Debug)]
pub struct ClusterView {
    node: NodeId,
    place: PlaceName,
    regions: usize,
    seeds: RefCell<Vec<SocketAddr>>,
    /// Registered daemons that membership has not been told of yet.
    hints: RefCell<Option<Vec<SocketAddr>>>,
    members: RefCell<Vec<MemberRecord>>,
    /// The members that watch the source; ranked anew whenever the members change.
    watchers: RefCell<HashSet<NodeId>>,
    joined: Cell<bool>,
}

impl ClusterView {
    /// A view of a daemon that knows of its seeds only.
    pub fn new(node: NodeId, place: PlaceName, regions: usize, seeds: Vec<SocketAddr>) -> Self {
        Self {
            node,
            place,
            regions: regions.max(1),
            seeds: RefCell::new(seeds),
            hints: RefCell::default(),
            members: RefCell::default(),
            watchers: RefCell::default(),
            joined: Cell::new(false),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Adds daemons that have registered: to join through, and to poll like seeds.
    pub fn set_hints(&self, hints: Vec<SocketAddr>) {
        let mut seeds = self.seeds.borrow_mut();
        for hint in &hints {
            if !seeds.contains(hint) {
                seeds.push(*hint);
            }
        }
        *self.hints.borrow_mut() = Some(hints);
    }

    /// Takes the registered daemons that membership has not been told of yet.
    pub fn take_hints(&self) -> Option<Vec<SocketAddr>> {
        self.hints.borrow_mut().take()
    }

    /// Replaces the members that run.
    pub fn set_members(&self, members: Vec<MemberRecord>, joined: bool) {
        *self.watchers.borrow_mut() = self.rank_watchers(&members);
        *self.members.borrow_mut() = members;
        self.joined.set(joined);
    }

    /// The first members of each region by rank.
    fn rank_watchers(&self, members: &[MemberRecord]) -> HashSet<NodeId> {
        let mut rankings: BTreeMap<&PlaceName, ReaderRanking> = BTreeMap::new();
        for member in members {
            let ranking = rankings
                .entry(&member.place)
                .or_insert_with(|| ReaderRanking::new(member.place.clone()));
            ranking.update(member);
        }
        let least = WATCHERS.div_ceil(self.regions);
        let watchers = rankings.values().flat_map(|ranking| {
            let daemons = ranking.first(usize::MAX).count();
            ranking.first(least.max(daemons.div_ceil(DAEMONS_PER_WATCHER)))
        });
        watchers.collect()
    }

    /// Whether the member table was completed from a peer, or there is nobody to join.
    pub fn is_joined(&self) -> bool {
        self.joined.get()
    }

    /// Whether this daemon watches the source.
    pub fn is_watcher(&self) -> bool {
        self.watchers.borrow().contains(&self.node)
    }

    /// Addresses to keep a long poll open at, best first: watchers of the own region, other
    /// watchers, then anybody, then seeds.
    pub fn feed_peers(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let mut ranked: Vec<(u8, SocketAddr)> = members
            .iter()
            .filter(|member| member.node() != self.node)
            .map(|member| (self.feed_rank(member), member.node().0))
            .collect();
        ranked.shuffle(&mut rand::rng());
        ranked.sort_by_key(|(rank, _)| *rank);
        let mut addresses: Vec<SocketAddr> = ranked.into_iter().map(|(_, peer)| peer).collect();
        if addresses.is_empty() {
            let seeds = self.seeds.borrow();
            let others = seeds.iter().filter(|seed| **seed != self.node.0);
            addresses.extend(others);
            addresses.shuffle(&mut rand::rng());
        }
        addresses
    }

    /// Daemons of the own region to tell reports on leafs: all of them, or some by chance if they are
    /// many.
    pub fn report_peers(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let own_region = members
            .iter()
            .filter(|member| member.place == self.place && member.node() != self.node);
        let peers = own_region.map(|member| member.node().0);
        peers.sample(&mut rand::rng(), MAXIMUM_REPORT_PEERS)
    }

    /// Whether a peer is known to run in the own region.
    pub fn is_in_own_region(&self, peer: SocketAddr) -> bool {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.node().0 == peer);
        member.is_some_and(|member| member.place == self.place)
    }

    /// Whether no member would be a better peer to poll than this one.
    pub fn is_best_feed_peer(&self, peer: SocketAddr) -> bool {
        let members = self.members.borrow();
        let others = members.iter().filter(|member| member.node() != self.node);
        let best = others.clone().map(|member| self.feed_rank(member)).min();
        let own = others.filter(|member| member.node().0 == peer);
        let own = own.map(|member| self.feed_rank(member)).min();
        best.is_none() || own == best
    }

    fn feed_rank(&self, member: &MemberRecord) -> u8 {
        let watches = self.watchers.borrow().contains(&member.node());
        match (watches, member.place == self.place) {
            (true, true) => 0,
            (true, false) => 1,
            (false, true) => 2,
            (false, false) => 3,
        }
    }
}
