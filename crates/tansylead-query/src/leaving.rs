//! Whether a leaf is leaving. A leaving leaf gets no new work from the moment the first sign is
//! seen, whatever its health says afterwards.
//!
//! The mark is forgotten only when
//! - the configuration removes the leaf and adds it again, or gives it another address; or
//! - the leaf was seen to be gone (a poll failed or nothing could be sent), and at least
//!   [`SHORTEST_LEAVE`] after the last sign a poll finds it healthy and not draining: a new life; or
//! - the only signs were its own health reports, and for [`SHORTEST_LEAVE`] they have said
//!   otherwise: the drain was called off.

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
    only_polled: bool,
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
        let polled = sign == LeavingSign::Polled;
        let Some(mark) = &mut self.mark else {
            self.mark = Some(Mark {
                last_sign: now,
                only_polled: polled,
                seen_gone: false,
            });
            return true;
        };
        mark.last_sign = now;
        mark.only_polled &= polled;
        mark.seen_gone = false;
        false
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
        let evidence = mark.seen_gone || mark.only_polled;
        if !(long_enough && evidence) {
            return false;
        }
        self.mark = None;
        true
    }
}
