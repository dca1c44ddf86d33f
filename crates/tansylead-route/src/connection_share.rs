//! How many connections of one leaf a daemon takes for itself.
//!
//! A leaf accepts a limited number of connections from all daemons together. They are shared by
//! nearness: a daemon sends most of its requests to leafs of its own region, and needs the others
//! for hedges and when near leafs fail. The daemons are lined up by region and address, and each
//! takes the whole connections within its stretch of the line; so the parts add up to no more than
//! [`USED_SHARE`] of what the leaf accepts, rounded up, without any coordination but the members
//! that each daemon knows.

use crate::query_roots::SharingKind;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use tansylead_types::{LeafId, PlaceName};

/// Share of a leaf's connections that all daemons together use.
const USED_SHARE: f64 = 0.9;
/// Weight of a daemon to which the leaf is near, relative to one that has nearer leafs. At 4 too
/// little was left for hedges to far leafs, and more answers were incomplete (measured).
const NEAR_WEIGHT: f64 = 2.0;
const FAR_WEIGHT: f64 = 1.0;

/// Daemons that run, by region, as one of them sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DaemonCounts {
    by_region: BTreeMap<PlaceName, usize>,
    /// Daemons of the own region that come before this one.
    rank: usize,
}

impl DaemonCounts {
    /// Counts daemons by the regions that they run in; `rank` of those in the own region come
    /// before this one.
    pub fn new(regions: impl IntoIterator<Item = PlaceName>, rank: usize) -> Self {
        let mut by_region = BTreeMap::new();
        for region in regions {
            *by_region.entry(region).or_default() += 1;
        }
        Self { by_region, rank }
    }

    /// The same daemons, but at least `total` of them, spread evenly over `regions`.
    pub fn at_least(&self, total: usize, regions: &BTreeSet<PlaceName>) -> Self {
        let each = total.div_ceil(regions.len().max(1));
        let mut counts = self.clone();
        for region in regions {
            let count = counts.by_region.entry(region.clone()).or_default();
            *count = each.max(*count);
        }
        counts
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_region.is_empty()
    }

    /// All daemons; at least one.
    pub fn total(&self) -> usize {
        self.by_region.values().sum::<usize>().max(1)
    }

    /// The whole units of `amount`, which all daemons share by the weights of their regions, that fall
    /// to the viewing daemon in `own_region`. The daemons stand in a line, by region and rank, and each
    /// takes the units within its stretch of it. Where the line starts differs from leaf to leaf, so
    /// that fractions of a unit fall to different daemons.
    pub(crate) fn part(
        &self,
        amount: f64,
        own_region: &PlaceName,
        weight: impl Fn(&PlaceName) -> f64,
        leaf: &LeafId,
    ) -> u32 {
        let own_weight = weight(own_region);
        let mut all_weights = 0.0;
        let mut weights_before = self.rank as f64 * own_weight;
        for (region, count) in &self.by_region {
            let weights = weight(region) * *count as f64;
            all_weights += weights;
            if region < own_region {
                weights_before += weights;
            }
        }
        let unit = amount / all_weights.max(weights_before + own_weight);
        let start = weights_before * unit + offset(leaf);
        let end = start + own_weight * unit;
        (end.floor() - start.floor()) as u32
    }
}

/// Where the line of daemons starts for a leaf, 0 to 1.
fn offset(leaf: &LeafId) -> f64 {
    let mut hasher = DefaultHasher::new();
    leaf.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// What the share of a leaf's connections depends on, beside the daemons.
#[derive(Debug, Clone, Copy)]
pub struct SharedLeaf<'a> {
    /// The leaf.
    pub leaf: &'a LeafId,
    /// Connections it accepts from all callers together.
    pub maximum_connections: u32,
    /// Its region, if known.
    pub region: Option<&'a PlaceName>,
    /// Regions with a leaf of its service.
    pub service_regions: &'a BTreeSet<PlaceName>,
}

/// A daemon's part of a leaf's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Connections at a time; at least one.
    pub connections: u32,
    /// Whether even one connection is more than the part allows: the leaf is used only if no
    /// other can be.
    pub is_reserve: bool,
}

impl SharedLeaf<'_> {
    /// The part of a daemon in `own_region`, where all daemons share alike.
    pub fn share(&self, own_region: &PlaceName, daemons: &DaemonCounts) -> ConnectionShare {
        self.share_among(own_region, SharingKind { daemons, part: 1.0 })
    }

    /// The part of a daemon in `own_region`, where daemons of its kind share a part among them.
    pub fn share_among(&self, own_region: &PlaceName, kind: SharingKind<'_>) -> ConnectionShare {
        let usable = f64::from(self.maximum_connections) * USED_SHARE * kind.part;
        let weight = |region: &PlaceName| self.weight(region);
        let connections = kind.daemons.part(usable, own_region, weight, self.leaf);
        ConnectionShare {
            connections: connections.max(1),
            is_reserve: connections == 0,
        }
    }

    /// A daemon whose region has no leaf of the service depends on the others as if they were near.
    fn weight(&self, region: &PlaceName) -> f64 {
        let is_near = self.region == Some(region) || !self.service_regions.contains(region);
        if is_near { NEAR_WEIGHT } else { FAR_WEIGHT }
    }
}
