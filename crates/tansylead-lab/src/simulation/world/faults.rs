//! The beginning and the end of faults.

use super::{Event, World};
use crate::simulation::fault::{Fault, FaultKind};
use crate::simulation::history::OutageKind;
use crate::simulation::leaf::DrainStyle;
use crate::simulation::message::Endpoint;
use crate::simulation::network::{Cut, Disturbance, target_place};
use crate::simulation::operator::OPERATORS;
use crate::simulation::topology::{DAEMONS, LEAFS, ZONES_PER_PLACE};
use std::time::Duration;

/// Period at which racing operators edit.
const RACE_PERIOD: Duration = Duration::from_millis(700);

impl World<'_> {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let planned = self.plan.faults[fault];
        *self.faults_begun.entry(planned.kind).or_default() += 1;
        self.queue
            .schedule(planned.end(), Event::FaultEnds { fault });
        let daemon = planned.target % DAEMONS;
        let leaf = planned.target % LEAFS;
        let faults = &mut self.leafs[leaf].faults;
        match planned.kind {
            FaultKind::DaemonKill => self.end_daemon(daemon),
            FaultKind::DaemonFreeze => self.freeze_daemon(daemon),
            FaultKind::DaemonStop => self.stop_daemon(daemon),
            FaultKind::RollingRestart => self.rolling_step(0),
            FaultKind::LeafKill => self.end_leaf(leaf),
            FaultKind::LeafFreeze => self.freeze(Endpoint::Leaf(leaf)),
            FaultKind::LeafDrain => self.drain_leaf(leaf, DrainStyle::Refuses),
            FaultKind::LeafDrainHealthLies => self.drain_leaf(leaf, DrainStyle::MarksAnswers),
            FaultKind::LeafDrainSilent => self.drain_leaf(leaf, DrainStyle::Silent),
            FaultKind::LeafShed => faults.sheds += 1,
            FaultKind::LeafStraggle => faults.straggles += 1,
            FaultKind::LeafHangHealthLies => faults.hangs += 1,
            FaultKind::LeafLosesVersion => self.leafs[leaf].lose_newest_version(),
            FaultKind::Repartition => self.begin_repartition(planned.target),
            FaultKind::StoreOutage => self.store.faults.outages += 1,
            FaultKind::StoreSlow => self.store.faults.slowness += 1,
            FaultKind::StoreLosesAnswers => self.store.faults.lost_answers += 1,
            FaultKind::StoreRestored => self.restore_store(),
            FaultKind::MachineListStale => self.machines.stale += 1,
            FaultKind::OperatorRace => self.race_goes_on(fault),
            kind => self.begin_network_fault(kind, &planned),
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let planned = self.plan.faults[fault];
        let daemon = planned.target % DAEMONS;
        let leaf = planned.target % LEAFS;
        let faults = &mut self.leafs[leaf].faults;
        match planned.kind {
            FaultKind::DaemonKill => self.start_daemon(daemon),
            FaultKind::DaemonFreeze => self.resume_daemon(daemon),
            FaultKind::DaemonStop => self.restart_when_ended(daemon),
            FaultKind::LeafKill => self.start_leaf(leaf),
            FaultKind::LeafFreeze => self.resume(Endpoint::Leaf(leaf)),
            FaultKind::LeafDrain | FaultKind::LeafDrainHealthLies | FaultKind::LeafDrainSilent => {
                self.end_drain(leaf, planned.at);
            }
            FaultKind::LeafShed => faults.sheds = faults.sheds.saturating_sub(1),
            FaultKind::LeafStraggle => faults.straggles = faults.straggles.saturating_sub(1),
            FaultKind::LeafHangHealthLies => self.end_hang(leaf),
            FaultKind::LeafLosesVersion => self.leafs[leaf].find_lost_versions(),
            FaultKind::StoreOutage => self.store.faults.outages -= 1,
            FaultKind::StoreSlow => self.store.faults.slowness -= 1,
            FaultKind::StoreLosesAnswers => self.store.faults.lost_answers -= 1,
            FaultKind::MachineListStale => self.machines.stale -= 1,
            FaultKind::RollingRestart
            | FaultKind::Repartition
            | FaultKind::StoreRestored
            | FaultKind::OperatorRace => {}
            kind => self.end_network_fault(kind, &planned),
        }
    }

    fn begin_network_fault(&mut self, kind: FaultKind, planned: &Fault) {
        if let Some(cut) = cut_of(kind, planned.target) {
            self.network.begin_cut(cut);
        } else if let Some(disturbance) = disturbance_of(kind) {
            self.network.begin(disturbance);
        }
    }

    fn end_network_fault(&mut self, kind: FaultKind, planned: &Fault) {
        let now = self.now();
        if let Some(cut) = cut_of(kind, planned.target) {
            self.network.end_cut(cut);
            self.note_cut(cut, planned.at, now);
        } else if let Some(disturbance) = disturbance_of(kind) {
            self.network.end(disturbance);
        }
    }

    fn note_cut(
        &mut self,
        cut: Cut,
        from: tansylead_types::Moment,
        until: tansylead_types::Moment,
    ) {
        use crate::simulation::topology::{daemon_place, daemon_zone};
        for daemon in 0..DAEMONS {
            let kind = match cut {
                Cut::Pair(left, right) if daemon == left || daemon == right => {
                    OutageKind::Partitioned
                }
                Cut::Zone(place, zone)
                    if daemon_place(daemon) == place && daemon_zone(daemon) == zone =>
                {
                    OutageKind::Unreachable
                }
                // Callers of the same place still reach it; callers that use it from elsewhere do
                // not.
                Cut::Region(place) if daemon_place(daemon) == place => OutageKind::Partitioned,
                _ => continue,
            };
            self.note_outage(daemon, kind, from, until);
        }
    }

    /// Both operators edit, and again after a while until the fault is over.
    pub(super) fn race_goes_on(&mut self, fault: usize) {
        for operator in 0..OPERATORS {
            self.operator_edits(operator);
        }
        if self.now() + RACE_PERIOD < self.plan.faults[fault].end() {
            self.queue
                .schedule_after(RACE_PERIOD, Event::RaceGoesOn { fault });
        }
    }

    fn restore_store(&mut self) {
        for call in self.store.restore_older() {
            self.break_call(call);
        }
        self.history.store_restored = true;
    }
}

fn cut_of(kind: FaultKind, target: usize) -> Option<Cut> {
    let place = target_place(target);
    match kind {
        FaultKind::CutPair => {
            let left = target % DAEMONS;
            let distance = 1 + target / DAEMONS % (DAEMONS - 1);
            Some(Cut::Pair(left, (left + distance) % DAEMONS))
        }
        FaultKind::CutZone => Some(Cut::Zone(place, target / 3 % ZONES_PER_PLACE)),
        FaultKind::CutRegion => Some(Cut::Region(place)),
        _ => None,
    }
}

fn disturbance_of(kind: FaultKind) -> Option<Disturbance> {
    match kind {
        FaultKind::PacketLoss => Some(Disturbance::Loss),
        FaultKind::PacketDuplication => Some(Disturbance::Duplication),
        FaultKind::PacketReordering => Some(Disturbance::Reordering),
        FaultKind::ConnectionBreaks => Some(Disturbance::Breaks),
        FaultKind::CrossedAnswers => Some(Disturbance::Crossing),
        _ => None,
    }
}
