//! The views that the cluster task publishes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tansylead_cluster::membership::{MemberRecord, MemberState, MembershipCounters};
use tansylead_cluster::routing::Candidate;
use tansylead_cluster::spread::{NotReadyReason, StoreState};
use tansylead_types::{NodeId, PlaceName};

/// Members as this daemon sees them.
#[derive(Debug, Clone, Default)]
pub struct MemberView {
    /// Members that may be given new work, ordered by address: alive or suspect, in a reachable
    /// place.
    pub live: Vec<MemberRecord>,
    /// Members believed to run in a reachable place: the live ones and those that are leaving.
    pub present: Vec<MemberRecord>,
    /// Live members that do not answer probes: they stay in serving sets for a while, but get
    /// queries only if no other root is left.
    pub suspects: BTreeSet<NodeId>,
    /// Whether this daemon has joined the cluster.
    pub joined: bool,
    candidates: BTreeMap<PlaceName, Arc<Vec<Candidate>>>,
}

impl MemberView {
    /// The view that follows this one. Candidates of a place that did not change are shared.
    pub fn next(&self, present: Vec<MemberRecord>, joined: bool) -> Self {
        let live = present.iter().filter(|member| member.state.takes_work());
        let live: Vec<MemberRecord> = live.cloned().collect();
        let suspected = live
            .iter()
            .filter(|member| member.state == MemberState::Suspect);
        let suspects = suspected.map(MemberRecord::node).collect();
        let mut by_place: BTreeMap<PlaceName, Vec<Candidate>> = BTreeMap::new();
        for member in &live {
            let candidate = Candidate {
                node: member.node(),
                place: member.place.clone(),
                zone: member.zone.clone(),
            };
            by_place
                .entry(member.place.clone())
                .or_default()
                .push(candidate);
        }
        let shared = |(place, candidates): (PlaceName, Vec<Candidate>)| {
            let known = self.candidates.get(&place);
            let kept = known.filter(|known| ***known == candidates).cloned();
            (place, kept.unwrap_or_else(|| Arc::new(candidates)))
        };
        Self {
            live,
            present,
            suspects,
            joined,
            candidates: by_place.into_iter().map(shared).collect(),
        }
    }

    /// The live members of a place as candidates for serving sets.
    pub fn candidates(&self, place: &PlaceName) -> Arc<Vec<Candidate>> {
        self.candidates.get(place).cloned().unwrap_or_default()
    }
}

/// State of membership and configuration spread, for readiness, `status` and metrics.
#[derive(Debug, Clone)]
pub struct ClusterStatus {
    /// Why there is no configuration; `None` if there is one.
    pub not_ready: Option<NotReadyReason>,
    /// What is known of the store.
    pub store: StoreState,
    /// Running members, leaving ones included.
    pub running: usize,
    /// Counters of membership.
    pub counters: MembershipCounters,
    /// Another daemon run holds this daemon's address.
    pub replaced: bool,
}

impl Default for ClusterStatus {
    fn default() -> Self {
        let not_yet = || "not yet asked".to_owned();
        Self {
            not_ready: Some(NotReadyReason {
                store: not_yet(),
                peers: not_yet(),
            }),
            store: StoreState::NotReading,
            running: 0,
            counters: MembershipCounters::default(),
            replaced: false,
        }
    }
}
