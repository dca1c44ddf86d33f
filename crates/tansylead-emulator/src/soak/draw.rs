//! The faults of a soak, and how they are drawn.

use crate::leaf::LeafTrouble;
use crate::proxy::LinkTrouble;
use crate::store::StoreTrouble;
use rand::{RngExt, rngs::StdRng};
use std::time::Duration;

/// An evacuation lasts at least this long, so that it is in force for a while.
const EVACUATION_REST: Duration = Duration::from_secs(4);
/// A leaf is cold at least this long, so that all daemons know it for a while.
const COLD_REST: Duration = Duration::from_secs(4);

/// A write that is done late is done after this time, in milliseconds: within the answer limit of a daemon's
/// call, or long after it.
const WRITE_LATE_MILLIS: std::ops::Range<u64> = 50..5_000;

/// What strikes a daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum DaemonTrouble {
    /// Its process is killed.
    Killed,
    /// Its process stands still.
    Frozen,
    /// Its link to the store is cut.
    Cut,
}

/// A fault, drawn at random.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    LeafTrouble(LeafTrouble, Duration),
    LeafCrash(Duration),
    LeafLeaves,
    LeafLink(LinkTrouble, Duration),
    DaemonKilled(Duration),
    DaemonStopped,
    DaemonFrozen(Duration),
    DaemonHangUp,
    AllDaemonsKilled,
    Store(StoreTrouble, Duration),
    StoreLink(LinkTrouble, Duration),
    StoreForgets,
    Configuration,
    /// A zone is emptied for this long.
    Evacuation(Duration),
    /// A route is confined to one region for this long.
    Homes(Duration),
    /// A leaf is cold for this long.
    LeafCold(Duration),
    /// A zone is without power for this long.
    ZoneLost(Duration),
    /// A zone's leafs, and its daemons' links to the store, are cut for this long.
    ZoneCut(Duration),
    /// The daemon that writes to the store next is struck right after its write, for this long.
    NextWriter(DaemonTrouble, Duration),
    /// All open connections to the store and to leafs fall silent for good.
    ConnectionsSilent,
}

impl Fault {
    /// Whether it strikes daemons, or their links to the store.
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
            Fault::LeafTrouble(..)
            | Fault::LeafCrash(_)
            | Fault::LeafLeaves
            | Fault::LeafLink(..)
            | Fault::DaemonHangUp
            | Fault::StoreForgets
            | Fault::Configuration
            | Fault::Evacuation(_)
            | Fault::Homes(_)
            | Fault::LeafCold(_) => false,
        }
    }
}

/// Draws a fault.
pub(crate) fn draw(random: &mut StdRng) -> Fault {
    let time = Duration::from_millis(random.random_range(300..3_000));
    match random.random_range(0..22) {
        0 | 1 => Fault::LeafTrouble(draw_leaf_trouble(random), time),
        2 => Fault::LeafCrash(time),
        3 => Fault::LeafLeaves,
        4 => Fault::LeafLink(draw_link_trouble(random), time),
        5 => Fault::DaemonKilled(time),
        6 => Fault::DaemonStopped,
        7 => Fault::DaemonFrozen(time),
        8 => Fault::DaemonHangUp,
        9 | 10 => Fault::Store(draw_store_trouble(random), time),
        11 => Fault::StoreLink(draw_link_trouble(random), time),
        12 => Fault::Evacuation(EVACUATION_REST + time),
        13 => Fault::Homes(time),
        14 => Fault::LeafCold(COLD_REST + time),
        15 => Fault::ZoneLost(time),
        16 => Fault::ZoneCut(time),
        17 | 18 => Fault::NextWriter(draw_daemon_trouble(random), time),
        19 => Fault::ConnectionsSilent,
        20 => Fault::AllDaemonsKilled,
        _ if random.random_bool(0.4) => Fault::StoreForgets,
        _ => Fault::Configuration,
    }
}

fn draw_leaf_trouble(random: &mut StdRng) -> LeafTrouble {
    let share = random.random_range(0.05..0.5);
    match random.random_range(0..9) {
        0 => LeafTrouble::Paused,
        1 => LeafTrouble::Slow(random.random_range(2.0..12.0)),
        2 => LeafTrouble::Fails(share),
        3 => LeafTrouble::LosesAnswers(share),
        4 => LeafTrouble::CutsAnswers(share),
        5 => LeafTrouble::ExtraAnswers(share),
        6 => LeafTrouble::Garbles(share),
        7 => LeafTrouble::Unframed(share),
        _ => LeafTrouble::Full,
    }
}

fn draw_daemon_trouble(random: &mut StdRng) -> DaemonTrouble {
    match random.random_range(0..3) {
        0 => DaemonTrouble::Killed,
        1 => DaemonTrouble::Frozen,
        _ => DaemonTrouble::Cut,
    }
}

fn draw_link_trouble(random: &mut StdRng) -> LinkTrouble {
    match random.random_range(0..5) {
        0 => LinkTrouble::Delayed(Duration::from_millis(random.random_range(5..80))),
        1 => LinkTrouble::Silent,
        2 => LinkTrouble::SilentForward,
        3 => LinkTrouble::SilentBackward,
        _ => LinkTrouble::Refused,
    }
}

fn draw_store_trouble(random: &mut StdRng) -> StoreTrouble {
    match random.random_range(0..7) {
        0 => StoreTrouble::Silent,
        1 => StoreTrouble::Busy,
        2 => StoreTrouble::Throttled,
        3 => StoreTrouble::Reset,
        4 => StoreTrouble::Slow(Duration::from_millis(random.random_range(50..600))),
        5 => StoreTrouble::WritesLate(Duration::from_millis(
            random.random_range(WRITE_LATE_MILLIS),
        )),
        _ => StoreTrouble::LosesAnswers(0.3),
    }
}
