//! Whether a leaf is leaving. A leaving leaf gets no new work from the moment the first sign is
//! seen, whatever its health says afterwards.
//!
//! The mark is forgotten only when
//! - the configuration removes the leaf and adds it again, or gives it another address; or
//! - the leaf was seen to be gone (a poll failed or nothing could be sent) after its own last sign,
//!   and at least [`SHORTEST_LEAVE`] after the last sign of anyone a poll finds it healthy and not
//!   draining: a new life. An announcement may be about the old life, so it does not undo that the
//!   leaf was seen to be gone; or
//! - no answer or refusal of the leaf itself was a sign, and for [`SHORTEST_LEAVE`] no health report
//!   and no announcement was one: the drain was called off. Whoever announces that a leaf is leaving
//!   repeats it well within that time for as long as it holds.

use std::time::Duration;
use tansylead_types::Moment;

/// The mark is kept at least this long after the last sign.
pub(crate) const SHORTEST_LEAVE: Duration = Duration::from_secs(30);

/// Where a sign came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeavingSign {
    /// An answer or a refusal of the leaf itself.
    InBand,
    /// The machine list or a peer.
    Announced,
    /// A polled health report.
    Polled,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    last_sign: Moment,
    in_band: bool,
    polled: bool,
    seen_gone: bool,
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

    /// Notes a sign. Returns whether it is the first.
    pub(crate) fn on_sign(&mut self, now: Moment, sign: LeavingSign) -> bool {
        let is_first = self.mark.is_none();
        let mark = self.mark.get_or_insert(Mark {
            last_sign: now,
            in_band: false,
            polled: false,
            seen_gone: false,
        });
        mark.last_sign = now;
        match sign {
            LeavingSign::InBand => mark.in_band = true,
            LeavingSign::Polled => mark.polled = true,
            LeavingSign::Announced => return is_first,
        }
        mark.seen_gone = false;
        is_first
    }

    /// Whether the leaf itself said so, and has not been seen to be gone since.
    pub(crate) fn is_own_word(&self) -> bool {
        let said = |mark: Mark| (mark.in_band || mark.polled) && !mark.seen_gone;
        self.mark.is_some_and(said)
    }

    /// Notes that the leaf could not be reached.
    pub(crate) fn on_unreachable(&mut self) {
        if let Some(mark) = &mut self.mark {
            mark.seen_gone = true;
        }
    }

    /// Notes a health report of a healthy leaf that is not draining. Returns whether the mark
    /// was forgotten.
    pub(crate) fn on_healthy_report(&mut self, now: Moment) -> bool {
        let Some(mark) = self.mark else {
            return false;
        };
        let long_enough = now.since(mark.last_sign) >= SHORTEST_LEAVE;
        let evidence = mark.seen_gone || !mark.in_band;
        if !(long_enough && evidence) {
            return false;
        }
        self.mark = None;
        true
    }
}
