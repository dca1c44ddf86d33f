//! How long a daemon keeps polling one peer before it chooses anew.

/// After this many polls the choice is made anew in any case.
const LONGEST_TURN: u32 = 30;
/// A peer that is not the best, since better ones have failed lately, is kept for this many polls.
const SUBSTITUTE_TURN: u32 = 3;

/// The polls at one peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerTurn {
    is_substitute: bool,
    polls: u32,
}

impl PeerTurn {
    /// A turn that begins; `is_substitute` if better peers have failed just before.
    pub fn new(is_substitute: bool) -> Self {
        Self {
            is_substitute,
            polls: 0,
        }
    }

    /// Notes a poll that was answered. Returns whether the turn is over; `is_best` says whether no
    /// other peer would be better now.
    pub fn on_answer(&mut self, is_best: bool) -> bool {
        self.polls += 1;
        let may_leave = !self.is_substitute || self.polls >= SUBSTITUTE_TURN;
        self.polls >= LONGEST_TURN || (!is_best && may_leave)
    }
}
