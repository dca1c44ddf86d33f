//! How many attempts one leaf may run for this root: this root's share of its slots, lowered
//! when the leaf sheds load (multiplicative decrease, additive increase) and while it is cold.

use std::time::Duration;
use tansylead_types::Moment;

/// The limit is multiplied by this when the leaf refuses for lack of capacity.
const DECREASE_FACTOR: f64 = 0.7;
/// A decrease counts once for all refusals within this time.
const DECREASE_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a cold leaf grows from one attempt to its full share.
const SLOW_START_DURATION: Duration = Duration::from_secs(5);
/// Pause after a refusal for lack of capacity when the leaf names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause taken from a leaf's word.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Concurrency of one leaf.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit {
    slots: u32,
    adapted: f64,
    decreased_at: Option<Moment>,
    cold_since: Option<Moment>,
    paused_until: Option<Moment>,
}

impl ConcurrencyLimit {
    /// A warm leaf with that many slots for this root.
    pub(crate) fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            adapted: f64::from(slots),
            decreased_at: None,
            cold_since: None,
            paused_until: None,
        }
    }

    /// Changes the slots; the adapted limit keeps its proportion.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots == self.slots {
            return;
        }
        let proportion = self.adapted / f64::from(self.slots);
        self.slots = slots;
        self.adapted = (proportion * f64::from(slots)).clamp(1.0, f64::from(slots));
    }

    /// Slots of the leaf that belong to this root.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Starts slow start.
    pub(crate) fn begin_slow_start(&mut self, now: Moment) {
        self.cold_since = Some(now);
        self.paused_until = None;
    }

    /// How warm the leaf is, from just above 0 to 1.
    pub(crate) fn warmth(&self, now: Moment) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let progress = now.since(since).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
        progress.clamp(1.0 / f64::from(self.slots), 1.0)
    }

    /// Attempts that may run at once; at least one.
    pub(crate) fn limit(&self, now: Moment) -> u32 {
        let warm_slots = f64::from(self.slots) * self.warmth(now);
        let limit = self.adapted.min(warm_slots).max(1.0);
        limit as u32
    }

    /// Whether the leaf asked for a pause that has not ended.
    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Notes that the leaf served an attempt.
    pub(crate) fn on_success(&mut self, now: Moment) {
        let slots = f64::from(self.slots);
        self.adapted = (self.adapted + 1.0 / self.adapted).min(slots);
        if self.warmth(now) >= 1.0 {
            self.cold_since = None;
        }
    }

    /// Notes a refusal for lack of capacity; returns when the pause it causes ends.
    pub(crate) fn on_overload(
        &mut self,
        now: Moment,
        asked: Option<Duration>,
        adaptive: bool,
    ) -> Moment {
        let recent = self
            .decreased_at
            .is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if adaptive && !recent {
            self.adapted = (self.adapted * DECREASE_FACTOR).max(1.0);
            self.decreased_at = Some(now);
        }
        let until = now + asked.unwrap_or(DEFAULT_PAUSE).min(LONGEST_PAUSE);
        let until = self
            .paused_until
            .map_or(until, |earlier| earlier.max(until));
        self.paused_until = Some(until);
        until
    }
}
