//! A leaf's entry in the directory, and the distance of a leaf from a daemon.

use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{LeafId, PlaceName, ServiceName, SoftwareVersion, ZoneName};

/// When a run of a leaf started, by the leaf's own clock: Unix time in milliseconds. Of two runs with one id
/// the one with the greater start is the later one, even if the clock was set back between them: a run whose
/// clock is behind is not used until its entry is the only one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunStart(pub u64);

/// Identifies one run of a leaf.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeafRun {
    /// Identity of the leaf.
    pub leaf: LeafId,
    /// Distinguishes this run from others with the same id; none if the source does not report it.
    pub started: Option<RunStart>,
}

impl From<LeafId> for LeafRun {
    /// The run of a leaf whose starts the source does not report.
    fn from(leaf: LeafId) -> Self {
        Self {
            leaf,
            started: None,
        }
    }
}

/// Directory entry of one run of a leaf. A restarted leaf may have the id of the earlier run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafEntry {
    /// Identity of the leaf.
    pub leaf: LeafId,
    /// Distinguishes this run from others with the same id; none if the source does not report it.
    pub started: Option<RunStart>,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on. Other leafs may reuse it later.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: ZoneName,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: LeafPhase,
    /// Remaining warm-up time after its start, when the entry was written.
    pub warmup_left: Duration,
    /// Version of its software, if the source reports one.
    pub version: Option<SoftwareVersion>,
    /// Revision of the source at which this entry was last changed, as far as the source reports it. The
    /// earliest one received for this run is kept.
    pub changed_at: Revision,
}

impl LeafEntry {
    /// The run that this entry describes.
    pub fn run(&self) -> LeafRun {
        LeafRun {
            leaf: self.leaf.clone(),
            started: self.started,
        }
    }

    /// Whether both entries are of the same run: a run never changes its service, address or version.
    pub fn is_same_run_as(&self, other: &Self) -> bool {
        self.leaf == other.leaf
            && self.started == other.started
            && self.service == other.service
            && self.address == other.address
            && self.version == other.version
    }

    /// Whether this entry is of a run that had ended when the other one's started.
    pub fn is_of_earlier_run_than(&self, other: &Self) -> bool {
        self.leaf == other.leaf && self.started < other.started
    }

    /// Copies from an earlier entry of the same run what must not be undone: the revision, so that other
    /// changes do not make the run look newer than it is, and the draining phase, which an older copy of the
    /// source may not contain.
    pub fn inherit_from(&mut self, held: &Self) {
        if !self.is_same_run_as(held) {
            return;
        }
        self.changed_at = self.changed_at.min(held.changed_at);
        if held.phase == LeafPhase::Draining {
            self.phase = LeafPhase::Draining;
        }
    }

    /// Whether two entries are equal except for the revision.
    pub fn has_same_content_as(&self, other: &Self) -> bool {
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
    /// Leaving: gets no new requests.
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

/// Location of a leaf relative to one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeafLocation {
    /// Distance from the daemon.
    pub distance: Distance,
    /// Region of the leaf's zone; none if the zone is in no known region.
    pub region: Option<PlaceName>,
}

/// Location of a daemon among the zones of the deployment.
#[derive(Debug, Clone)]
pub struct Locality {
    zone: ZoneName,
    regions: BTreeMap<ZoneName, PlaceName>,
}

impl Locality {
    /// Creates it from the daemon's zone and the region of each zone.
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

    /// Location of a leaf in this zone.
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
