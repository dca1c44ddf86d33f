//! The faults of a soak, and how they are drawn.

use crate::leaf::LeafFault;
use crate::proxy::LinkFault;
use crate::store::StoreFault;
use rand::{RngExt, rngs::StdRng};
use std::time::Duration;

/// Minimum duration of an evacuation, so that it is in force on all daemons for some time.
const MINIMUM_EVACUATION: Duration = Duration::from_secs(4);
/// Minimum time for which a leaf is cold, so that all daemons know it for some time.
const MINIMUM_COLD: Duration = Duration::from_secs(4);

/// Delay of writes that are executed late, in milliseconds: from within the answer limit of a daemon's call to long
/// after it.
const WRITE_LATE_MILLIS: std::ops::Range<u64> = 50..5_000;

/// Fault of a daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum DaemonFault {
    /// Its process is killed.
    Killed,
    /// Its process is suspended.
    Frozen,
    /// Its link to the store is cut.
    Cut,
}

/// A fault, drawn at random.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    Leaf(LeafFault, Duration),
    LeafCrash(Duration),
    LeafLeaves,
    LeafLink(LinkFault, Duration),
    DaemonKilled(Duration),
    DaemonStopped,
    DaemonFrozen(Duration),
    DaemonHangUp,
    AllDaemonsKilled,
    Store(StoreFault, Duration),
    StoreLink(LinkFault, Duration),
    HistoryDiscarded,
    Configuration,
    /// A zone is evacuated for this long.
    Evacuation(Duration),
    /// A route is restricted to one region for this long.
    Homes(Duration),
    /// A leaf is cold for this long.
    LeafCold(Duration),
    /// A zone has no power for this long.
    ZoneLost(Duration),
    /// A zone's leafs, and its daemons' links to the store, are cut for this long.
    ZoneCut(Duration),
    /// The daemon that writes to the store next gets this fault right after its write, for this long.
    NextWriter(DaemonFault, Duration),
    /// All open connections to the store and to leafs become silent permanently.
    ConnectionsSilent,
}

impl Fault {
    /// Whether it affects daemons or their links to the store.
    pub(crate) fn is_core(self) -> bool {
        match self {
            Fault::DaemonKilled(_)
            | Fault::DaemonStopped
            | Fault::DaemonFrozen(_)
            | Fault::AllDaemonsKilled
            | Fault::Store(..)
            | Fault::StoreLink(..)
            | Fault::ZoneLost(_)
            | Fault::ZoneCut(_)
            | Fault::NextWriter(..)
            | Fault::ConnectionsSilent => true,
            Fault::Leaf(..)
            | Fault::LeafCrash(_)
            | Fault::LeafLeaves
            | Fault::LeafLink(..)
            | Fault::DaemonHangUp
            | Fault::HistoryDiscarded
            | Fault::Configuration
            | Fault::Evacuation(_)
            | Fault::Homes(_)
            | Fault::LeafCold(_) => false,
        }
    }
}

/// Draws a fault.
pub(crate) fn draw(random: &mut StdRng) -> Fault {
    let duration = Duration::from_millis(random.random_range(300..3_000));
    match random.random_range(0..22) {
        0 | 1 => Fault::Leaf(draw_leaf_fault(random), duration),
        2 => Fault::LeafCrash(duration),
        3 => Fault::LeafLeaves,
        4 => Fault::LeafLink(draw_link_fault(random), duration),
        5 => Fault::DaemonKilled(duration),
        6 => Fault::DaemonStopped,
        7 => Fault::DaemonFrozen(duration),
        8 => Fault::DaemonHangUp,
        9 | 10 => Fault::Store(draw_store_fault(random), duration),
        11 => Fault::StoreLink(draw_link_fault(random), duration),
        12 => Fault::Evacuation(MINIMUM_EVACUATION + duration),
        13 => Fault::Homes(duration),
        14 => Fault::LeafCold(MINIMUM_COLD + duration),
        15 => Fault::ZoneLost(duration),
        16 => Fault::ZoneCut(duration),
        17 | 18 => Fault::NextWriter(draw_daemon_fault(random), duration),
        19 => Fault::ConnectionsSilent,
        20 => Fault::AllDaemonsKilled,
        _ if random.random_bool(0.4) => Fault::HistoryDiscarded,
        _ => Fault::Configuration,
    }
}

fn draw_leaf_fault(random: &mut StdRng) -> LeafFault {
    let share = random.random_range(0.05..0.5);
    match random.random_range(0..9) {
        0 => LeafFault::Paused,
        1 => LeafFault::Slow(random.random_range(2.0..12.0)),
        2 => LeafFault::Fails(share),
        3 => LeafFault::LosesAnswers(share),
        4 => LeafFault::CutsAnswers(share),
        5 => LeafFault::ExtraAnswers(share),
        6 => LeafFault::Garbles(share),
        7 => LeafFault::Unframed(share),
        _ => LeafFault::Full,
    }
}

fn draw_daemon_fault(random: &mut StdRng) -> DaemonFault {
    match random.random_range(0..3) {
        0 => DaemonFault::Killed,
        1 => DaemonFault::Frozen,
        _ => DaemonFault::Cut,
    }
}

fn draw_link_fault(random: &mut StdRng) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Delayed(Duration::from_millis(random.random_range(5..80))),
        1 => LinkFault::Silent,
        2 => LinkFault::SilentForward,
        3 => LinkFault::SilentBackward,
        _ => LinkFault::Refused,
    }
}

fn draw_store_fault(random: &mut StdRng) -> StoreFault {
    match random.random_range(0..7) {
        0 => StoreFault::Silent,
        1 => StoreFault::Busy,
        2 => StoreFault::Throttled,
        3 => StoreFault::Reset,
        4 => StoreFault::Slow(Duration::from_millis(random.random_range(50..600))),
        5 => StoreFault::WritesLate(Duration::from_millis(
            random.random_range(WRITE_LATE_MILLIS),
        )),
        _ => StoreFault::LosesAnswers(0.3),
    }
}
