//! Schedules a reader's reads of the store and derives the store's state from the results.
//!
//! Invariant: at most one read is open; failures are retried with jittered exponential backoff.

use super::settings::SpreadSettings;
use super::state::StoreState;
use rand::{Rng, RngExt};
use std::time::Duration;
use tansylead_types::Moment;

/// One read to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StoreRead {
    pub(super) after: u64,
    pub(super) hold: bool,
}

/// State of this daemon's reads of the store.
#[derive(Debug)]
pub(super) struct StoreReader {
    active: bool,
    open: Option<StoreRead>,
    next_read: Moment,
    next_full_read: Moment,
    /// Revision up to which the store was read; `None` before the first answer.
    position: Option<u64>,
    failures: u32,
    state: StoreState,
}

impl StoreReader {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            active: false,
            open: None,
            next_read: now,
            next_full_read: now,
            position: None,
            failures: 0,
            state: StoreState::NotReading,
        }
    }

    pub(super) fn state(&self) -> &StoreState {
        &self.state
    }

    pub(super) fn is_active(&self) -> bool {
        self.active
    }

    /// Starts reading after `delay`.
    pub(super) fn start(&mut self, now: Moment, delay: Duration) {
        self.active = true;
        self.position = None;
        self.failures = 0;
        self.state = StoreState::Unknown;
        self.next_read = now + delay;
        self.next_full_read = now;
    }

    /// Stops reading; returns whether a read was open.
    pub(super) fn stop(&mut self) -> bool {
        self.active = false;
        self.state = StoreState::NotReading;
        self.open.take().is_some()
    }

    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        (self.active && self.open.is_none()).then_some(self.next_read)
    }

    /// The read that is due now, if any, marked as open.
    pub(super) fn take_due(
        &mut self,
        now: Moment,
        settings: &SpreadSettings,
        random: &mut impl Rng,
    ) -> Option<StoreRead> {
        if self.next_wakeup()? > now {
            return None;
        }
        let read = match self.position {
            Some(position) if now < self.next_full_read => StoreRead {
                after: position,
                hold: true,
            },
            _ => StoreRead {
                after: 0,
                hold: false,
            },
        };
        if !read.hold {
            let period = settings.full_read_period;
            self.next_full_read = now + period.mul_f64(random.random_range(0.5..1.5));
        }
        self.open = Some(read);
        self.next_read = now + settings.read_interval;
        Some(read)
    }

    /// Closes the open read if its `after` is this one; returns whether it was.
    pub(super) fn finish(&mut self, after: u64) -> bool {
        let matches = self.open.is_some_and(|read| read.after == after);
        if matches {
            self.open = None;
        }
        matches
    }

    /// Handles an answer with the store's revision; `held` is the replica's revision after applying
    /// the answer.
    pub(super) fn on_success(
        &mut self,
        now: Moment,
        store_revision: u64,
        held: u64,
        settings: &SpreadSettings,
        random: &mut impl Rng,
    ) {
        if self.failures > 0 {
            let delay = settings.recovery_spread.mul_f64(random.random());
            self.next_full_read = self.next_full_read.min(now + delay);
        }
        self.failures = 0;
        if self
            .position
            .is_some_and(|position| store_revision < position)
        {
            self.next_full_read = now;
        }
        self.position = Some(store_revision);
        self.state = if store_revision < held {
            StoreState::Behind { store_revision }
        } else {
            StoreState::Current
        };
        self.next_read = self.next_read.max(now);
    }

    /// Handles a failed read.
    pub(super) fn on_failure(
        &mut self,
        now: Moment,
        error: String,
        settings: &SpreadSettings,
        random: &mut impl Rng,
    ) {
        const MAXIMUM_DOUBLINGS: u32 = 10;
        let factor = 2_u32.pow(self.failures.min(MAXIMUM_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let backoff = (settings.store_retry * factor).min(settings.store_retry_limit);
        self.next_read = now + backoff.mul_f64(random.random_range(0.5..1.5));
        self.state = StoreState::Failing { error };
    }
}
