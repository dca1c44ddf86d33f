//! How many connections to one leaf each daemon may open.
//!
//! A leaf accepts a limited number of connections from all daemons together. They are divided by
//! distance: a daemon sends most of its requests to leafs of its own region, and needs the others
//! for hedges and when near leafs fail. Daemons are ordered by region and address, each owns an
//! interval whose length is its weighted share, and takes the whole connections within it. So the
//! shares add up to no more than [`USED_SHARE`] of what the leaf accepts, rounded up. A daemon
//! needs only the member list for this, and no other coordination.

use crate::query_roots::SharingGroup;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use tansylead_types::{LeafId, PlaceName};

/// Share of a leaf's connection limit that all daemons together use.
const USED_SHARE: f64 = 0.9;
/// Weight of a daemon to which the leaf is near, relative to one that has nearer leafs. At 4 too
/// little was left for hedges to far leafs, and more answers were incomplete.
const NEAR_WEIGHT: f64 = 2.0;
const FAR_WEIGHT: f64 = 1.0;

/// Number of running daemons by region, as seen by one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DaemonCounts {
    by_region: BTreeMap<PlaceName, usize>,
    /// Number of daemons of the own region that are ordered before this one.
    rank: usize,
}

impl DaemonCounts {
    /// Counts daemons by the regions that they run in; `rank` of those in the own region are ordered
    /// before this one.
    pub fn new(regions: impl IntoIterator<Item = PlaceName>, rank: usize) -> Self {
        let mut by_region = BTreeMap::new();
        for region in regions {
            *by_region.entry(region).or_default() += 1;
        }
        Self { by_region, rank }
    }

    /// These counts, raised to at least `total` daemons spread evenly over `regions`.
    pub fn at_least(&self, total: usize, regions: &BTreeSet<PlaceName>) -> Self {
        let each = total.div_ceil(regions.len().max(1));
        let mut counts = self.clone();
        for region in regions {
            let count = counts.by_region.entry(region.clone()).or_default();
            *count = each.max(*count);
        }
        counts
    }

    /// Whether there are no daemons.
    pub fn is_empty(&self) -> bool {
        self.by_region.is_empty()
    }

    /// Number of daemons in all regions; at least one.
    pub fn total(&self) -> usize {
        self.by_region.values().sum::<usize>().max(1)
    }

    /// The whole units of `amount` that fall to this daemon in `own_region`, if all daemons divide it
    /// by the weights of their regions. The daemons are ordered by region and rank, and each takes the
    /// units within its interval. The first interval starts at an offset that differs from leaf to
    /// leaf, so that fractions of a unit fall to different daemons.
    pub(crate) fn share_of(
        &self,
        amount: f64,
        own_region: &PlaceName,
        weight: impl Fn(&PlaceName) -> f64,
        leaf: &LeafId,
    ) -> u32 {
        let own_weight = weight(own_region);
        let mut total_weight = 0.0;
        let mut weight_before = self.rank as f64 * own_weight;
        for (region, count) in &self.by_region {
            let region_weight = weight(region) * *count as f64;
            total_weight += region_weight;
            if region < own_region {
                weight_before += region_weight;
            }
        }
        let unit = amount / total_weight.max(weight_before + own_weight);
        let start = weight_before * unit + offset(leaf);
        let end = start + own_weight * unit;
        (end.floor() - start.floor()) as u32
    }
}

/// Offset of the first daemon's interval for a leaf, 0 to 1.
fn offset(leaf: &LeafId) -> f64 {
    let mut hasher = DefaultHasher::new();
    leaf.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// A leaf whose connections are divided among daemons.
#[derive(Debug, Clone, Copy)]
pub struct SharedLeaf<'a> {
    /// Identity of the leaf.
    pub leaf: &'a LeafId,
    /// Maximum number of connections that it accepts from all callers together.
    pub maximum_connections: u32,
    /// Its region, if known.
    pub region: Option<&'a PlaceName>,
    /// Regions with a leaf of its service.
    pub service_regions: &'a BTreeSet<PlaceName>,
}

/// One daemon's share of a leaf's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Concurrent connections; at least one.
    pub connections: u32,
    /// Whether no whole connection falls to the daemon: the leaf is used only if no other can be.
    pub is_reserve: bool,
}

impl SharedLeaf<'_> {
    /// The share of a daemon in `own_region`, if all daemons divide the connections.
    pub fn share(&self, own_region: &PlaceName, daemons: &DaemonCounts) -> ConnectionShare {
        self.share_among(
            own_region,
            SharingGroup {
                daemons,
                share: 1.0,
            },
        )
    }

    /// The share of a daemon in `own_region`, if the daemons of `group` divide the group's share.
    pub fn share_among(&self, own_region: &PlaceName, group: SharingGroup<'_>) -> ConnectionShare {
        let usable = f64::from(self.maximum_connections) * USED_SHARE * group.share;
        let weight = |region: &PlaceName| self.weight(region);
        let connections = group
            .daemons
            .share_of(usable, own_region, weight, self.leaf);
        ConnectionShare {
            connections: connections.max(1),
            is_reserve: connections == 0,
        }
    }

    /// Weight of the daemons in a region. A region without a leaf of the service depends on the leafs
    /// of other regions as if they were near.
    fn weight(&self, region: &PlaceName) -> f64 {
        let is_near = self.region == Some(region) || !self.service_regions.contains(region);
        if is_near { NEAR_WEIGHT } else { FAR_WEIGHT }
    }
}
