//! Selection of the judge that a reporter follows in one roll-out.
//!
//! A reporter follows the best-ranked judge that answers it. A judge that does not answer a report for too long
//! counts as silent until it answers again.

use super::message::GrantMessage;
use std::time::Duration;
use tansylead_route::Grant;
use tansylead_types::{Moment, NodeId};

/// A judge that has not answered for this long is no longer followed: three busy periods, so that two datagrams
/// in a row may be lost.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// The same limit, counted from the first unanswered report, which is sent a busy period after the last answer.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(400);

/// The last answer of a judge.
#[derive(Debug, Clone, Copy)]
struct Answer {
    position: (u64, u32),
    grant: Grant,
    received_at: Moment,
}

#[derive(Debug)]
struct JudgeState {
    judge: NodeId,
    answer: Option<Answer>,
    /// When the first report since the last answer was sent.
    unanswered_since: Option<Moment>,
}

impl JudgeState {
    fn new(judge: NodeId) -> Self {
        Self {
            judge,
            answer: None,
            unanswered_since: None,
        }
    }

    fn is_answering(&self, now: Moment) -> bool {
        let is_silent = |since| now.since(since) > UNANSWERED_LIMIT;
        self.answer.is_some() && !self.unanswered_since.is_some_and(is_silent)
    }
}

/// A grant of the judge that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedGrant {
    /// The judge.
    pub judge: NodeId,
    /// The grant; `valid` is what was left of its validity when it was taken.
    pub grant: Grant,
}

/// The judges of one roll-out, best first.
#[derive(Debug, Default)]
pub struct JudgeSelection {
    states: Vec<JudgeState>,
    followed: Option<NodeId>,
    /// Whether the last grant of the judge that is followed was taken.
    is_grant_taken: bool,
}

impl JudgeSelection {
    /// Replaces the judges; those that stay keep their state.
    pub fn set_judges(&mut self, judges: &[NodeId]) {
        if judges
            .iter()
            .eq(self.states.iter().map(|state| &state.judge))
        {
            return;
        }
        let mut previous = std::mem::take(&mut self.states);
        let states = judges.iter().map(|judge| {
            let index = previous.iter().position(|state| state.judge == *judge);
            index.map_or_else(
                || JudgeState::new(*judge),
                |index| previous.swap_remove(index),
            )
        });
        self.states = states.collect();
    }

    /// Records that a report was sent to all judges.
    pub fn on_reported(&mut self, now: Moment) {
        for state in &mut self.states {
            state.unanswered_since.get_or_insert(now);
        }
    }

    /// Records an answer. Returns whether it is newer than the last one of this judge.
    pub fn on_answer(&mut self, now: Moment, message: &GrantMessage) -> bool {
        let mut states = self.states.iter_mut();
        let Some(state) = states.find(|state| state.judge == message.judge) else {
            return false;
        };
        let last = state.answer.map(|answer| answer.position);
        if last.is_some_and(|last| last >= message.position()) {
            return false;
        }
        state.unanswered_since = None;
        state.answer = Some(Answer {
            position: message.position(),
            grant: message.grant,
            received_at: now,
        });
        if self.followed == Some(message.judge) {
            self.is_grant_taken = false;
        }
        true
    }

    /// Chooses the judge to follow. Returns whether it has changed.
    pub fn choose(&mut self, now: Moment) -> bool {
        let best = self.states.iter().find(|state| state.is_answering(now));
        let best = best.map(|state| state.judge);
        let has_changed = best != self.followed;
        if has_changed {
            self.followed = best;
            self.is_grant_taken = false;
        }
        has_changed
    }

    /// The judge that is followed.
    pub fn followed(&self) -> Option<NodeId> {
        self.followed
    }

    /// Whether the last report to the judge ranked first is unanswered.
    pub fn is_first_unanswered(&self) -> bool {
        let first = self.states.first();
        first.is_some_and(|state| state.unanswered_since.is_some())
    }

    /// Takes the grant of the judge that is followed, unless it was taken before or has expired.
    pub fn take_grant(&mut self, now: Moment) -> Option<FollowedGrant> {
        if self.is_grant_taken {
            return None;
        }
        let judge = self.followed?;
        let state = self.states.iter().find(|state| state.judge == judge)?;
        let answer = state.answer?;
        self.is_grant_taken = true;
        let valid = answer
            .grant
            .valid
            .checked_sub(now.since(answer.received_at))?;
        let grant = Grant {
            valid,
            ..answer.grant
        };
        Some(FollowedGrant { judge, grant })
    }
}
