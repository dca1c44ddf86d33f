//! Concurrency limit of one leaf for this root: this root's share of the leaf's slots, lowered when
//! the leaf sheds load (additive increase, multiplicative decrease) and during slow start.

use std::time::Duration;
use tansylead_types::Moment;

/// The limit is multiplied by this when the leaf refuses for lack of capacity.
const DECREASE_FACTOR: f64 = 0.7;
/// All refusals within this time cause only one decrease.
const DECREASE_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the limit of a cold leaf grows from one attempt to its full share.
const SLOW_START_DURATION: Duration = Duration::from_secs(5);
/// Pause after a refusal for lack of capacity when the leaf requests none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause that a leaf can request.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Concurrency limit of one leaf.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit {
    slots: u32,
    aimd_limit: f64,
    decreased_at: Option<Moment>,
    cold_since: Option<Moment>,
    paused_until: Option<Moment>,
}

impl ConcurrencyLimit {
    /// A warm leaf with `slots` slots for this root.
    pub(crate) fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            aimd_limit: f64::from(slots),
            decreased_at: None,
            cold_since: None,
            paused_until: None,
        }
    }

    /// Changes the slots; the AIMD limit keeps its ratio to them.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots == self.slots {
            return;
        }
        let proportion = self.aimd_limit / f64::from(self.slots);
        self.slots = slots;
        self.aimd_limit = (proportion * f64::from(slots)).clamp(1.0, f64::from(slots));
    }

    /// Slots of the leaf that belong to this root.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Begins slow start and ends a pause.
    pub(crate) fn begin_slow_start(&mut self, now: Moment) {
        self.cold_since = Some(now);
        self.paused_until = None;
    }

    /// Fraction of the slots that slow start allows, from just above 0 (one slot) to 1 (all).
    pub(crate) fn slow_start_progress(&self, now: Moment) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let progress = now.since(since).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
        progress.clamp(1.0 / f64::from(self.slots), 1.0)
    }

    /// Attempts that may run at once; at least one.
    pub(crate) fn limit(&self, now: Moment) -> u32 {
        let warm_slots = f64::from(self.slots) * self.slow_start_progress(now);
        let limit = self.aimd_limit.min(warm_slots).max(1.0);
        limit as u32
    }

    /// Whether a pause after a refusal for lack of capacity has not ended.
    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Records that the leaf served an attempt.
    pub(crate) fn on_success(&mut self, now: Moment) {
        let slots = f64::from(self.slots);
        self.aimd_limit = (self.aimd_limit + 1.0 / self.aimd_limit).min(slots);
        if self.slow_start_progress(now) >= 1.0 {
            self.cold_since = None;
        }
    }

    /// Records a refusal for lack of capacity; returns when the pause it causes ends.
    pub(crate) fn on_overload(
        &mut self,
        now: Moment,
        requested_pause: Option<Duration>,
        adaptive: bool,
    ) -> Moment {
        let recent = self
            .decreased_at
            .is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if adaptive && !recent {
            self.aimd_limit = (self.aimd_limit * DECREASE_FACTOR).max(1.0);
            self.decreased_at = Some(now);
        }
        let until = now + requested_pause.unwrap_or(DEFAULT_PAUSE).min(MAX_PAUSE);
        let until = self
            .paused_until
            .map_or(until, |earlier| earlier.max(until));
        self.paused_until = Some(until);
        until
    }
}
