//! Whether one leaf may be used, by its entry, its zone, and its limit while it is cold. Whether its version may
//! be used is decided by `roll_out::ServiceVersions`.

use crate::clock::Clock;
use std::cell::{Cell, Ref, RefCell};
use std::time::Duration;
use tansylead_route::{ColdLeafLimit, Eligibility, EntryState, LeafEntry, LeafPhase};
use tansylead_types::Moment;

/// The conditions under which a leaf may be used.
#[derive(Debug)]
pub(super) struct LeafAvailability {
    entry: RefCell<LeafEntry>,
    entry_state: Cell<EntryState>,
    /// Whether the leaf's zone is being emptied.
    is_evacuated: Cell<bool>,
    cold_limit: Cell<ColdLeafLimit>,
}

impl LeafAvailability {
    /// A leaf that is listed.
    pub(super) fn new(entry: LeafEntry) -> Self {
        let mut cold_limit = ColdLeafLimit::default();
        cold_limit.on_reported_cold(Clock.now(), entry.warmup_left);
        Self {
            entry: RefCell::new(entry),
            entry_state: Cell::default(),
            is_evacuated: Cell::new(false),
            cold_limit: Cell::new(cold_limit),
        }
    }

    /// The directory's entry.
    pub(super) fn entry(&self) -> Ref<'_, LeafEntry> {
        self.entry.borrow()
    }

    /// Applies an entry that is new or has come back. A leaf that announced it is leaving stays leaving.
    pub(super) fn update(&self, mut entry: LeafEntry) {
        if self.entry.borrow().phase == LeafPhase::Draining {
            entry.phase = LeafPhase::Draining;
        }
        if entry.warmup_left != self.entry.borrow().warmup_left {
            let mut limit = self.cold_limit.get();
            limit.on_reported_cold(Clock.now(), entry.warmup_left);
            self.cold_limit.set(limit);
        }
        *self.entry.borrow_mut() = entry;
        self.entry_state
            .set(self.entry_state.get().after_received());
    }

    /// Records that the entry is missing. Returns false if it does not matter, as another run has replaced the leaf.
    pub(super) fn set_missing(&self, now: Moment, source_was_away: bool) -> bool {
        let is_current = self.entry_state.get() != EntryState::Replaced;
        if is_current {
            self.entry_state.set(EntryState::Missing {
                since: now,
                source_was_away,
            });
        }
        is_current
    }

    /// Records that only an older copy of the source lists the leaf.
    pub(super) fn set_doubtful(&self, now: Moment) {
        if self.entry_state.get() != EntryState::Replaced {
            self.entry_state.set(EntryState::Doubtful { since: now });
        }
    }

    /// Records that another run of a leaf has the address.
    pub(super) fn set_replaced(&self) {
        self.entry_state.set(EntryState::Replaced);
    }

    /// Whether the leaf announced that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.entry.borrow().phase == LeafPhase::Draining
    }

    /// Whether the entry disappeared unannounced while the source was available, or another run replaced the leaf.
    pub(super) fn has_vanished(&self) -> bool {
        let is_leaving = self.is_leaving();
        match self.entry_state.get() {
            EntryState::Listed | EntryState::Doubtful { .. } => false,
            EntryState::Replaced => !is_leaving,
            EntryState::Missing {
                source_was_away, ..
            } => !is_leaving && !source_was_away,
        }
    }

    /// Whether the directory lists the leaf.
    pub(super) fn is_listed(&self) -> bool {
        matches!(
            self.entry_state.get(),
            EntryState::Listed | EntryState::Doubtful { .. }
        )
    }

    /// Sets whether the leaf's zone is being emptied.
    pub(super) fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.set(is_evacuated);
    }

    /// Whether the leaf can take another request; always, unless it is cold.
    pub(super) fn has_room(&self, now: Moment) -> bool {
        self.cold_limit.get().has_room(now)
    }

    /// Whether the leaf is cold.
    pub(super) fn is_cold(&self, now: Moment) -> bool {
        self.cold_limit.get().is_cold(now)
    }

    /// Sets this daemon's share of the requests per second that the leaf can take while it is cold; none
    /// if there is no limit.
    pub(super) fn set_cold_share(&self, share: Option<u32>) {
        let mut limit = self.cold_limit.get();
        limit.set_share(share);
        self.cold_limit.set(limit);
    }

    /// Records that a request is handed to a connection.
    pub(super) fn on_sent(&self, now: Moment) {
        let mut limit = self.cold_limit.get();
        limit.on_sent(now);
        self.cold_limit.set(limit);
    }

    /// How the leaf may be used, by its entry and its zone.
    pub(super) fn eligibility(&self, now: Moment, grace: Duration) -> Eligibility {
        if self.is_evacuated.get() {
            return Eligibility::Ineligible;
        }
        match self.entry.borrow().phase {
            LeafPhase::Draining => Eligibility::Ineligible,
            LeafPhase::Ready => self.entry_state.get().eligibility(now, grace),
        }
    }
}
