//! What the directory says of one leaf, and how far away it is.

use crate::directory::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{LeafId, PlaceName, ServiceName, SoftwareVersion, ZoneName};

/// One run of a leaf, as the directory knows it. Every start of a leaf has a new id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafEntry {
    /// Identity of this run.
    pub leaf: LeafId,
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
    /// Takes over the earlier of the two revisions if both entries are of one run. A run keeps its service,
    /// address and version; other changes of its entry must not make it look younger than it is.
    pub fn keep_earliest_revision(&mut self, held: &Self) {
        let is_same_run = self.leaf == held.leaf
            && self.service == held.service
            && self.address == held.address
            && self.version == held.version;
        if is_same_run {
            self.changed_at = self.changed_at.min(held.changed_at);
        }
    }

    /// Whether two entries say the same of their leaf, whatever the revision.
    pub fn says_the_same_as(&self, other: &Self) -> bool {
        let Self {
            leaf,
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
