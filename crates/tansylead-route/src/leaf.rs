//! What the directory says of one leaf, and how far away it is.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{LeafId, PlaceName, ServiceName, SoftwareVersion, ZoneName};

/// When a run of a leaf started, by the leaf's own clock: Unix time in milliseconds. Of two runs under one id
/// the one that started later is the later one, even if the time of day was set between: a run whose clock is
/// behind is not used until its entry is the only one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunStart(pub u64);

/// Names one run of a leaf.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeafRun {
    /// Identity of the leaf.
    pub leaf: LeafId,
    /// Tells this run from others under the same id; none if the source does not tell.
    pub started: Option<RunStart>,
}

impl From<LeafId> for LeafRun {
    /// The only run of a leaf, as far as the source tells.
    fn from(leaf: LeafId) -> Self {
        Self {
            leaf,
            started: None,
        }
    }
}

/// One run of a leaf, as the directory knows it. A start of a leaf may have the id of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafEntry {
    /// Identity of the leaf.
    pub leaf: LeafId,
    /// Tells this run from others under the same id; none if the source does not tell.
    pub started: Option<RunStart>,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Where it listens. Addresses are used again by other leafs.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Requests it works on at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: LeafPhase,
    /// How much longer it is slow after its start, when the entry was written.
    pub warmup_left: Duration,
    /// Version of its software, if the source tells one.
    pub version: Option<SoftwareVersion>,
    /// Revision of the source at which this entry was last changed, as far as the source tells; the earliest
    /// that was heard of this run.
    pub changed_at: Revision,
}

impl LeafEntry {
    /// The run.
    pub fn run(&self) -> LeafRun {
        LeafRun {
            leaf: self.leaf.clone(),
            started: self.started,
        }
    }

    /// Whether both entries are of one run, which keeps its service, address and version.
    pub fn is_same_run_as(&self, other: &Self) -> bool {
        self.leaf == other.leaf
            && self.started == other.started
            && self.service == other.service
            && self.address == other.address
            && self.version == other.version
    }

    /// Whether this entry is of a run that was over when the other one's began.
    pub fn is_of_earlier_run_than(&self, other: &Self) -> bool {
        self.leaf == other.leaf && self.started < other.started
    }

    /// Takes over from an earlier entry of the same run what later ones cannot take back: the revision, so that
    /// other changes do not make the run look younger than it is, and that it leaves, which an older copy of
    /// the source may not know.
    pub fn keep_from(&mut self, held: &Self) {
        if !self.is_same_run_as(held) {
            return;
        }
        self.changed_at = self.changed_at.min(held.changed_at);
        if held.phase == LeafPhase::Draining {
            self.phase = LeafPhase::Draining;
        }
    }

    /// Whether two entries say the same of their leaf, whatever the revision.
    pub fn says_the_same_as(&self, other: &Self) -> bool {
        let Self {
            leaf,
            started,
            service,
            address,
            zone,
            slots,
            phase,
            warmup_left,
            version,
            changed_at: _,
        } = self;
        *leaf == other.leaf
            && *started == other.started
            && *service == other.service
            && *address == other.address
            && *zone == other.zone
            && *slots == other.slots
            && *phase == other.phase
            && *warmup_left == other.warmup_left
            && *version == other.version
    }
}

/// Whether a leaf takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafPhase {
    /// In service.
    Ready,
    /// Leaving: gets nothing new.
    Draining,
}

/// Distance between a daemon and a leaf; nearer sorts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Same zone.
    Zone,
    /// Same region, another zone.
    Region,
    /// Another region.
    Remote,
}

/// Where a leaf stands as seen from one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeafLocation {
    /// Distance from the daemon.
    pub distance: Distance,
    /// Region of the leaf's zone; none if the zone is in no known region.
    pub region: Option<PlaceName>,
}

/// Where a daemon stands among the zones of the deployment.
#[derive(Debug, Clone)]
pub struct Locality {
    zone: ZoneName,
    regions: BTreeMap<ZoneName, PlaceName>,
}

impl Locality {
    /// The daemon's zone, and the region of each zone.
    pub fn new(zone: ZoneName, regions: BTreeMap<ZoneName, PlaceName>) -> Self {
        Self { zone, regions }
    }

    /// Region of a zone, if the zone is known.
    pub fn region(&self, zone: &ZoneName) -> Option<&PlaceName> {
        self.regions.get(zone)
    }

    /// Region of the daemon, if its zone is known.
    pub fn own_region(&self) -> Option<&PlaceName> {
        self.region(&self.zone)
    }

    /// All regions of the deployment.
    pub fn all_regions(&self) -> BTreeSet<PlaceName> {
        self.regions.values().cloned().collect()
    }

    /// Where a leaf of this zone stands.
    pub fn locate(&self, zone: &ZoneName) -> LeafLocation {
        LeafLocation {
            distance: self.distance(zone),
            region: self.region(zone).cloned(),
        }
    }

    /// Distance to a zone; an unknown zone counts as remote.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        if *zone == self.zone {
            return Distance::Zone;
        }
        let own = self.regions.get(&self.zone);
        if own.is_some() && own == self.regions.get(zone) {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}
