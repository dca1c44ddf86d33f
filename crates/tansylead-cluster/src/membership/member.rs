//! The records that daemons exchange about each other, and which of two records is newer.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tansylead_types::{InstanceId, NodeId, PlaceName, ZoneName};

/// State of a member. The order of the variants is the order of precedence between records with the
/// same instance and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// In service.
    Alive,
    /// Did not answer probes; treated as live until the suspicion times out.
    Suspect,
    /// Announced that it is stopping; gets no new work.
    Leaving,
    /// Declared failed: a suspicion timed out.
    Failed,
    /// Announced that it has stopped.
    Left,
}

impl MemberState {
    /// Whether the process is believed to run (alive, suspect or leaving).
    pub fn is_running(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }

    /// Whether the member may be given new work (alive or suspect).
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Capacity of a daemon's machine, in thousandths of a processor core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Capacity(pub u16);

impl Capacity {
    /// A whole core.
    pub const CORE: Self = Self(1_000);
}

/// What is known about one daemon, at one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The run of the daemon.
    pub instance: InstanceId,
    /// Increased only by the daemon itself, to refute a record about it or to change its state.
    pub incarnation: u64,
    /// Place it runs in.
    pub place: PlaceName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// HTTP address for callers.
    pub caller_address: SocketAddr,
    /// Capacity of its machine.
    pub capacity: Capacity,
    /// State.
    pub state: MemberState,
}

/// Precedence of a record among those of the same node; the greater one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    boot: u64,
    incarnation: u64,
    state: MemberState,
}

impl MemberRecord {
    /// Address of the daemon.
    pub fn node(&self) -> NodeId {
        self.instance.node
    }

    /// Precedence among records of the same node.
    pub fn precedence(&self) -> Precedence {
        Precedence {
            boot: self.instance.boot,
            incarnation: self.incarnation,
            state: self.state,
        }
    }
}

/// What a daemon knows about itself before it joins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalMember {
    /// This run of this daemon.
    pub instance: InstanceId,
    /// Place.
    pub place: PlaceName,
    /// Zone.
    pub zone: ZoneName,
    /// HTTP address for callers.
    pub caller_address: SocketAddr,
    /// Capacity of its machine.
    pub capacity: Capacity,
}

impl LocalMember {
    /// The daemon's first record of itself.
    pub fn record(self) -> MemberRecord {
        MemberRecord {
            instance: self.instance,
            incarnation: 0,
            place: self.place,
            zone: self.zone,
            caller_address: self.caller_address,
            capacity: self.capacity,
            state: MemberState::Alive,
        }
    }
}
