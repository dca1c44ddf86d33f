//! The closed set of faults, and one fault of a schedule.

use std::fmt;
use std::time::Duration;
use tansylead_types::Moment;

/// Kinds of faults that a schedule can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// A daemon dies and is started again with empty memory.
    DaemonKill,
    /// A daemon is suspended, then wakes with old timers and queued packets.
    DaemonFreeze,
    /// A planned stop of a daemon, which is started again later.
    DaemonStop,
    /// Planned stops of all daemons, one after the other.
    RollingRestart,
    /// A leaf dies and comes back cold.
    LeafKill,
    /// A leaf is suspended, then goes on.
    LeafFreeze,
    /// A leaf drains: it refuses new work and says so everywhere.
    LeafDrain,
    /// A leaf drains without refusing work; only its answers carry the mark, its health lies.
    LeafDrainHealthLies,
    /// A leaf drains without any sign of its own; only the machine list says so.
    LeafDrainSilent,
    /// A leaf refuses all work for lack of capacity.
    LeafShed,
    /// A leaf takes many times longer.
    LeafStraggle,
    /// A leaf accepts work and never answers, while its health says that all is well.
    LeafHangHealthLies,
    /// A leaf loses the index version in use; its health still lists it.
    LeafLosesVersion,
    /// A new index version with other shards replaces the old one while queries run.
    Repartition,
    /// The store does not answer.
    StoreOutage,
    /// The store answers late.
    StoreSlow,
    /// The store performs requests, but its answers are lost.
    StoreLosesAnswers,
    /// The store goes back to an older state, as after a restore from a backup.
    StoreRestored,
    /// The machine list stops following the machines.
    MachineListStale,
    /// Two daemons cannot reach one another.
    CutPair,
    /// A zone is cut off from everything else.
    CutZone,
    /// A region is cut off from the other regions and from the platform.
    CutRegion,
    /// Datagrams are lost, and connections lose time with retransmission.
    PacketLoss,
    /// Datagrams arrive twice.
    PacketDuplication,
    /// Messages are delayed and overtake one another.
    PacketReordering,
    /// Connections break while a request is under way.
    ConnectionBreaks,
    /// Answers of leafs reach the attempt of another query.
    CrossedAnswers,
    /// Two operators edit the table at once, again and again.
    OperatorRace,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 28] = [
        FaultKind::DaemonKill,
        FaultKind::DaemonFreeze,
        FaultKind::DaemonStop,
        FaultKind::RollingRestart,
        FaultKind::LeafKill,
        FaultKind::LeafFreeze,
        FaultKind::LeafDrain,
        FaultKind::LeafDrainHealthLies,
        FaultKind::LeafDrainSilent,
        FaultKind::LeafShed,
        FaultKind::LeafStraggle,
        FaultKind::LeafHangHealthLies,
        FaultKind::LeafLosesVersion,
        FaultKind::Repartition,
        FaultKind::StoreOutage,
        FaultKind::StoreSlow,
        FaultKind::StoreLosesAnswers,
        FaultKind::StoreRestored,
        FaultKind::MachineListStale,
        FaultKind::CutPair,
        FaultKind::CutZone,
        FaultKind::CutRegion,
        FaultKind::PacketLoss,
        FaultKind::PacketDuplication,
        FaultKind::PacketReordering,
        FaultKind::ConnectionBreaks,
        FaultKind::CrossedAnswers,
        FaultKind::OperatorRace,
    ];

    /// Shortest and longest time that the fault lasts, in milliseconds.
    pub fn duration_millis(self) -> std::ops::Range<u64> {
        match self {
            FaultKind::DaemonKill | FaultKind::LeafKill => 200..12_000,
            FaultKind::DaemonFreeze => 300..15_000,
            FaultKind::LeafFreeze => 200..8_000,
            FaultKind::ConnectionBreaks | FaultKind::CrossedAnswers => 500..5_000,
            FaultKind::LeafDrain
            | FaultKind::LeafDrainHealthLies
            | FaultKind::LeafDrainSilent
            | FaultKind::Repartition => 6_000..12_000,
            _ => 1_000..15_000,
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// One fault of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it begins.
    pub at: Moment,
    /// How long it lasts.
    pub duration: Duration,
    /// Chooses what it happens to; taken modulo the number of possible targets.
    pub target: usize,
}

impl Fault {
    /// When it is over.
    pub fn end(&self) -> Moment {
        self.at + self.duration
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {:.3} s for {:.3} s, target {}",
            self.kind,
            self.at.0 as f64 / 1e6,
            self.duration.as_secs_f64(),
            self.target
        )
    }
}
