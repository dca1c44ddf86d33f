//! How long a daemon keeps polling one peer before it chooses again.

/// After this many polls the peer is chosen again in any case.
const MAXIMUM_POLLS: u32 = 30;
/// A fallback peer, used because better ones have just failed, is kept for at least this many polls.
const MINIMUM_FALLBACK_POLLS: u32 = 3;

/// Successive polls at one peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerSession {
    is_fallback: bool,
    polls: u32,
}

impl PeerSession {
    /// A session without polls yet; `is_fallback` if better peers have just failed.
    pub fn new(is_fallback: bool) -> Self {
        Self {
            is_fallback,
            polls: 0,
        }
    }

    /// Records an answered poll. Returns whether the session is over; `is_best` says whether no other
    /// peer would be better now.
    pub fn on_answer(&mut self, is_best: bool) -> bool {
        self.polls += 1;
        let may_leave = !self.is_fallback || self.polls >= MINIMUM_FALLBACK_POLLS;
        self.polls >= MAXIMUM_POLLS || (!is_best && may_leave)
    }
}
