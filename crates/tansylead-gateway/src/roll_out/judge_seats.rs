//! The judges of one roll-out as one reporter sees them: who answers, and whom it follows.
//!
//! A reporter follows the best-ranked judge that answers it. A judge that leaves a report without an answer for
//! too long is silent until it answers again.

use super::message::GrantMessage;
use std::time::Duration;
use tansylead_route::Grant;
use tansylead_types::{Moment, NodeId};

/// A judge that has not answered for this long is followed no more: three busy periods, so that two datagrams
/// in a row may be lost.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// The same, counted from the first report without an answer; it follows the last answer by a busy period.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(400);

/// The last answer of a judge.
#[derive(Debug, Clone, Copy)]
struct Answer {
    place: (u64, u32),
    grant: Grant,
    came: Moment,
}

#[derive(Debug)]
struct Seat {
    judge: NodeId,
    answer: Option<Answer>,
    /// When the first report was sent that no answer has followed.
    unanswered_since: Option<Moment>,
}

impl Seat {
    fn new(judge: NodeId) -> Self {
        Self {
            judge,
            answer: None,
            unanswered_since: None,
        }
    }

    fn answers(&self, now: Moment) -> bool {
        let is_silent = |since| now.since(since) > UNANSWERED_LIMIT;
        self.answer.is_some() && !self.unanswered_since.is_some_and(is_silent)
    }
}

/// A grant of the judge that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedGrant {
    /// The judge.
    pub judge: NodeId,
    /// What it grants, valid from now on.
    pub grant: Grant,
}

/// The judges of one roll-out, best first.
#[derive(Debug, Default)]
pub struct JudgeSeats {
    seats: Vec<Seat>,
    followed: Option<NodeId>,
    /// Whether the last answer of the judge that is followed was handed on.
    is_handed_on: bool,
}

impl JudgeSeats {
    /// Replaces the judges; those that stay keep what is known of them.
    pub fn set_judges(&mut self, judges: &[NodeId]) {
        if judges.iter().eq(self.seats.iter().map(|seat| &seat.judge)) {
            return;
        }
        let mut held = std::mem::take(&mut self.seats);
        let seats = judges.iter().map(|judge| {
            let place = held.iter().position(|seat| seat.judge == *judge);
            place.map_or_else(|| Seat::new(*judge), |place| held.swap_remove(place))
        });
        self.seats = seats.collect();
    }

    /// Notes that a report was sent to all judges.
    pub fn on_reported(&mut self, now: Moment) {
        for seat in &mut self.seats {
            seat.unanswered_since.get_or_insert(now);
        }
    }

    /// Takes in an answer. Returns whether it is newer than the last one of this judge.
    pub fn on_answer(&mut self, now: Moment, message: &GrantMessage) -> bool {
        let mut seats = self.seats.iter_mut();
        let Some(seat) = seats.find(|seat| seat.judge == message.judge) else {
            return false;
        };
        let held = seat.answer.map(|answer| answer.place);
        if held.is_some_and(|held| held >= message.place()) {
            return false;
        }
        seat.unanswered_since = None;
        seat.answer = Some(Answer {
            place: message.place(),
            grant: message.grant,
            came: now,
        });
        if self.followed == Some(message.judge) {
            self.is_handed_on = false;
        }
        true
    }

    /// Chooses the judge to follow. Returns whether it is another one than before.
    pub fn choose(&mut self, now: Moment) -> bool {
        let best = self.seats.iter().find(|seat| seat.answers(now));
        let best = best.map(|seat| seat.judge);
        let has_changed = best != self.followed;
        if has_changed {
            self.followed = best;
            self.is_handed_on = false;
        }
        has_changed
    }

    /// The judge that is followed.
    pub fn followed(&self) -> Option<NodeId> {
        self.followed
    }

    /// Whether the judge ranked first owes an answer.
    pub fn first_owes_answer(&self) -> bool {
        let first = self.seats.first();
        first.is_some_and(|seat| seat.unanswered_since.is_some())
    }

    /// Takes the grant of the judge that is followed, unless it was taken before or is valid no more.
    pub fn take_grant(&mut self, now: Moment) -> Option<FollowedGrant> {
        if self.is_handed_on {
            return None;
        }
        let judge = self.followed?;
        let seat = self.seats.iter().find(|seat| seat.judge == judge)?;
        let answer = seat.answer?;
        self.is_handed_on = true;
        let valid = answer.grant.valid.checked_sub(now.since(answer.came))?;
        let grant = Grant {
            valid,
            ..answer.grant
        };
        Some(FollowedGrant { judge, grant })
    }
}
