//! Effects of faults on single processes: suspension, planned stops, leaving leafs.

use super::{Event, World};
use crate::simulation::history::{LeavingPeriod, OutageKind};
use crate::simulation::leaf::DrainStyle;
use crate::simulation::message::Endpoint;
use crate::simulation::topology::{DAEMONS, DAEMONS_PER_PLACE, leaf_address};
use rand::RngExt;
use std::time::Duration;
use tansylead_types::Moment;
use tansylead_types::store::MachineState;

/// A leaf that has left comes back after this time.
const LEAF_RETURNS_AFTER: Duration = Duration::from_secs(1);
/// Period of looking whether a daemon that was stopped has ended.
const ENDED_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Share of resumed processes whose timers fire before they read what has arrived.
const TIMERS_FIRST_SHARE: f64 = 0.5;
/// Time between a restart and the next wave of a rolling restart.
const WAVE_INTERVAL: Duration = Duration::from_secs(3);

impl World<'_> {
    pub(super) fn freeze(&mut self, endpoint: Endpoint) {
        if let Some(host) = self.hosts.get_mut(&endpoint) {
            host.frozen += 1;
        }
    }

    /// The process wakes: what came meanwhile is handled now, in order of arrival. Timers that were
    /// due are handled before or after it.
    pub(super) fn resume(&mut self, endpoint: Endpoint) {
        let Some(host) = self.hosts.get_mut(&endpoint) else {
            return;
        };
        host.frozen = host.frozen.saturating_sub(1);
        if host.frozen > 0 {
            return;
        }
        let now = self.queue.now();
        let mut events = std::mem::take(&mut host.inbox);
        if self.random.random_bool(TIMERS_FIRST_SHARE) {
            events.sort_by_key(|event| !matches!(event, Event::DaemonWakes { .. }));
        }
        for event in events {
            self.queue.schedule(now, event);
        }
    }

    pub(super) fn freeze_daemon(&mut self, daemon: usize) {
        let now = self.now();
        self.frozen_since.insert(daemon, now);
        self.freeze(Endpoint::Daemon(daemon));
    }

    pub(super) fn resume_daemon(&mut self, daemon: usize) {
        let until = self.now();
        if let Some(from) = self.frozen_since.remove(&daemon) {
            self.note_outage(daemon, OutageKind::Frozen, from, until);
        }
        self.resume(Endpoint::Daemon(daemon));
    }

    pub(super) fn stop_daemon(&mut self, daemon: usize) {
        let now = self.now();
        self.history.planned_stops.push((daemon, now));
        self.with_daemon(daemon, |daemon, clocks, outbox| {
            daemon.begin_stop(clocks, outbox)
        });
    }

    pub(super) fn restart_when_ended(&mut self, daemon: usize) {
        if self.daemons[daemon].is_none() {
            self.start_daemon(daemon);
        } else {
            let event = Event::RestartWhenEnded { daemon };
            self.queue.schedule_after(ENDED_CHECK_PERIOD, event);
        }
    }

    /// One daemon of each place is stopped, then the next, until all were.
    pub(super) fn rolling_step(&mut self, wave: usize) {
        let daemons = (0..DAEMONS).filter(|daemon| daemon % DAEMONS_PER_PLACE + 1 == wave);
        let previous: Vec<usize> = daemons.collect();
        if previous
            .iter()
            .any(|daemon| self.daemons[*daemon].is_some())
            && !previous.is_empty()
        {
            let stopping = previous.iter().any(|daemon| self.is_stopping(*daemon));
            if stopping {
                let event = Event::RollingStep { wave };
                return self.queue.schedule_after(ENDED_CHECK_PERIOD, event);
            }
        }
        for daemon in previous {
            self.start_daemon(daemon);
        }
        if wave >= DAEMONS_PER_PLACE {
            return;
        }
        for daemon in (0..DAEMONS).filter(|daemon| daemon % DAEMONS_PER_PLACE == wave) {
            let event = Event::PlannedStop { daemon };
            self.queue.schedule_after(WAVE_INTERVAL, event);
        }
        let event = Event::RollingStep { wave: wave + 1 };
        self.queue
            .schedule_after(WAVE_INTERVAL + ENDED_CHECK_PERIOD, event);
    }

    fn is_stopping(&self, daemon: usize) -> bool {
        self.daemons[daemon]
            .as_ref()
            .is_some_and(|state| state.is_stopping())
    }

    pub(super) fn drain_leaf(&mut self, leaf: usize, style: DrainStyle) {
        let now = self.now();
        self.leafs[leaf].faults.drains = Some(style);
        self.machines
            .note(now, leaf_address(leaf), Some(MachineState::Leaving));
    }

    /// A leaf that was leaving is gone, and comes back later as a new run.
    pub(super) fn end_drain(&mut self, leaf: usize, from: Moment) {
        let until = self.now();
        self.history
            .leaving_periods
            .push(LeavingPeriod { leaf, from, until });
        self.end_leaf(leaf);
        self.queue
            .schedule_after(LEAF_RETURNS_AFTER, Event::LeafStarts { leaf });
    }

    /// A leaf that hung is replaced: what it held is lost.
    pub(super) fn end_hang(&mut self, leaf: usize) {
        let faults = &mut self.leafs[leaf].faults;
        faults.hangs = faults.hangs.saturating_sub(1);
        self.end_leaf(leaf);
        self.queue
            .schedule_after(LEAF_RETURNS_AFTER, Event::LeafStarts { leaf });
    }
}
