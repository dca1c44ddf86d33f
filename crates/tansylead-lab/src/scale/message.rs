//! What the scale run says to the processes of hollow daemons: JSON over HTTP.

use serde::{Deserialize, Serialize};
use tansylead_types::{NodeId, Settings};

/// Path that starts daemons.
pub const START_PATH: &str = "/lab/start";
/// Path that ends one daemon without goodbye.
pub const KILL_PATH: &str = "/lab/kill";
/// Path that names the member whose loss is to be noted.
pub const WATCH_PATH: &str = "/lab/watch";
/// Path of the observations and counters.
pub const REPORT_PATH: &str = "/lab/report";

/// Starts daemons, all at once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// Settings of each.
    pub daemons: Vec<Settings>,
    /// Members that make the cluster whole, all processes together.
    pub expected_members: usize,
}

/// Names a member, to end it or to note its loss.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct MemberRequest {
    /// The member.
    pub node: NodeId,
}

/// Says that a request was carried out.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Done {
    /// Daemons that run.
    pub running: usize,
}

/// A revision put in force by one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Revision.
    pub revision: u64,
    /// Revision that was in force before.
    pub previous: u64,
    /// When, in microseconds of the wall clock.
    pub at_micros: u64,
}

/// A member's loss as noted by one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The member.
    pub node: NodeId,
    /// When, in microseconds of the wall clock.
    pub at_micros: u64,
}

/// Counters of all daemons of a process together, since their start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Bytes of gossip packets received.
    pub udp_in: u64,
    /// Bytes of gossip packets sent.
    pub udp_out: u64,
    /// Bytes of control frames received over TCP.
    pub tcp_in: u64,
    /// Bytes of control frames sent over TCP.
    pub tcp_out: u64,
    /// Gossip packets received.
    pub packets_in: u64,
    /// Gossip packets sent.
    pub packets_out: u64,
    /// Reads of the store.
    pub store_reads: u64,
    /// Suspicions raised.
    pub suspicions: u64,
}

impl Totals {
    /// Both together.
    pub fn plus(self, other: Totals) -> Totals {
        Totals {
            udp_in: self.udp_in + other.udp_in,
            udp_out: self.udp_out + other.udp_out,
            tcp_in: self.tcp_in + other.tcp_in,
            tcp_out: self.tcp_out + other.tcp_out,
            packets_in: self.packets_in + other.packets_in,
            packets_out: self.packets_out + other.packets_out,
            store_reads: self.store_reads + other.store_reads,
            suspicions: self.suspicions + other.suspicions,
        }
    }

    /// What was added since an earlier reading.
    pub fn since(self, earlier: Totals) -> Totals {
        Totals {
            udp_in: self.udp_in.saturating_sub(earlier.udp_in),
            udp_out: self.udp_out.saturating_sub(earlier.udp_out),
            tcp_in: self.tcp_in.saturating_sub(earlier.tcp_in),
            tcp_out: self.tcp_out.saturating_sub(earlier.tcp_out),
            packets_in: self.packets_in.saturating_sub(earlier.packets_in),
            packets_out: self.packets_out.saturating_sub(earlier.packets_out),
            store_reads: self.store_reads.saturating_sub(earlier.store_reads),
            suspicions: self.suspicions.saturating_sub(earlier.suspicions),
        }
    }
}

/// What one process of hollow daemons has seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HollowReport {
    /// Daemons that run.
    pub running: usize,
    /// Counters.
    pub totals: Totals,
    /// When each daemon first saw the whole cluster.
    pub whole_at_micros: Vec<u64>,
    /// When each daemon first had joined and held a configuration.
    pub ready_at_micros: Vec<u64>,
    /// Revisions as each daemon put them in force.
    pub in_force: Vec<InForce>,
    /// Losses of watched members.
    pub losses: Vec<Loss>,
    /// Roots over all placements, as the first daemon sees them.
    pub root_slots: usize,
}
