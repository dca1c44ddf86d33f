//! Whether a leaf is leaving. A leaving leaf gets no new work from its first leaving signal on,
//! whatever its health reports say afterwards.
//!
//! The leaving mark is cleared only when
//! - the configuration removes the leaf and adds it again, or gives it another address; or
//! - the leaf was unreachable (a poll failed or nothing could be sent) after the last signal of its
//!   own, and at least [`MIN_LEAVING_DURATION`] after the last signal from any source a poll finds
//!   it healthy and not draining: a new process. An announcement may be about the old process, so
//!   it does not reset that the leaf was unreachable; or
//! - no answer or refusal of the leaf itself was a signal, and for [`MIN_LEAVING_DURATION`] no
//!   health report and no announcement was one: the drain was cancelled. Whoever announces that a
//!   leaf is leaving repeats it well within that time for as long as it holds.

use std::time::Duration;
use tansylead_types::Moment;

/// The mark is kept at least this long after the last signal.
pub(crate) const MIN_LEAVING_DURATION: Duration = Duration::from_secs(30);

/// Source of a leaving signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeavingSignal {
    /// An answer or a refusal of the leaf itself.
    InBand,
    /// The machine list or a peer.
    Announced,
    /// A polled health report.
    Polled,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    last_signal: Moment,
    in_band: bool,
    polled: bool,
    seen_unreachable: bool,
}

/// Leaving mark of one leaf.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeavingState {
    mark: Option<Mark>,
}

impl LeavingState {
    /// Whether the leaf must get no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.mark.is_some()
    }

    /// Records a signal. Returns whether it is the first.
    pub(crate) fn on_signal(&mut self, now: Moment, signal: LeavingSignal) -> bool {
        let is_first = self.mark.is_none();
        let mark = self.mark.get_or_insert(Mark {
            last_signal: now,
            in_band: false,
            polled: false,
            seen_unreachable: false,
        });
        mark.last_signal = now;
        match signal {
            LeavingSignal::InBand => mark.in_band = true,
            LeavingSignal::Polled => mark.polled = true,
            LeavingSignal::Announced => return is_first,
        }
        mark.seen_unreachable = false;
        is_first
    }

    /// Whether the leaf itself signalled that it is leaving, and has not been unreachable since.
    pub(crate) fn is_self_reported(&self) -> bool {
        let signalled = |mark: Mark| (mark.in_band || mark.polled) && !mark.seen_unreachable;
        self.mark.is_some_and(signalled)
    }

    /// Records that the leaf was unreachable.
    pub(crate) fn on_unreachable(&mut self) {
        if let Some(mark) = &mut self.mark {
            mark.seen_unreachable = true;
        }
    }

    /// Records a health report of a healthy leaf that is not draining. Returns whether the mark
    /// was cleared.
    pub(crate) fn on_healthy_report(&mut self, now: Moment) -> bool {
        let Some(mark) = self.mark else {
            return false;
        };
        let long_enough = now.since(mark.last_signal) >= MIN_LEAVING_DURATION;
        let may_clear = mark.seen_unreachable || !mark.in_band;
        if !(long_enough && may_clear) {
            return false;
        }
        self.mark = None;
        true
    }
}
