//! Whether one leaf may be used: by its entry, its zone, and what it bears while it is cold. What its
//! version says is `roll_out::ServiceVersions`.

use crate::clock::Clock;
use std::cell::{Cell, Ref, RefCell};
use std::time::Duration;
use tansylead_route::{ColdLeafLimit, Eligibility, EntryState, LeafEntry, LeafPhase};
use tansylead_types::Moment;

/// What decides whether a leaf may be used.
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

    /// Takes in an entry that is new or has come back. A leaf that said it was leaving stays so.
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

    /// Notes that the entry is missing. Returns whether that says anything new.
    pub(super) fn set_missing(&self, now: Moment, source_was_away: bool) -> bool {
        let is_news = self.entry_state.get() != EntryState::Replaced;
        if is_news {
            self.entry_state.set(EntryState::Missing {
                since: now,
                source_was_away,
            });
        }
        is_news
    }

    /// Notes that only an older copy of the source lists the leaf.
    pub(super) fn set_doubtful(&self, now: Moment) {
        if self.entry_state.get() != EntryState::Replaced {
            self.entry_state.set(EntryState::Doubtful { since: now });
        }
    }

    /// Notes that another run of a leaf has the address.
    pub(super) fn set_replaced(&self) {
        self.entry_state.set(EntryState::Replaced);
    }

    /// Whether the leaf said that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.entry.borrow().phase == LeafPhase::Draining
    }

    /// Whether the entry went without a word of leaving, while the source could be heard.
    pub(super) fn has_vanished(&self) -> bool {
        let said_so = self.is_leaving();
        match self.entry_state.get() {
            EntryState::Listed | EntryState::Doubtful { .. } => false,
            EntryState::Replaced => !said_so,
            EntryState::Missing {
                source_was_away, ..
            } => !said_so && !source_was_away,
        }
    }

    /// Whether the directory lists the leaf.
    pub(super) fn is_listed(&self) -> bool {
        matches!(
            self.entry_state.get(),
            EntryState::Listed | EntryState::Doubtful { .. }
        )
    }

    /// Notes whether the leaf's zone is being emptied.
    pub(super) fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.set(is_evacuated);
    }

    /// Whether the leaf bears another request; always, unless it is cold.
    pub(super) fn has_room(&self, now: Moment) -> bool {
        self.cold_limit.get().has_room(now)
    }

    /// Whether the leaf is cold.
    pub(super) fn is_cold(&self, now: Moment) -> bool {
        self.cold_limit.get().is_cold(now)
    }

    /// Sets this daemon's part of the requests of a second that the leaf bears while it is cold; none
    /// if there is no bound.
    pub(super) fn set_cold_share(&self, part: Option<u32>) {
        let mut limit = self.cold_limit.get();
        limit.set_share(part);
        self.cold_limit.set(limit);
    }

    /// Notes that a request is handed to a connection.
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
