//! The root's side of one claim: asks the key's group, decides once, and never uses a grant that
//! arrives after the decision. Split votes are retried: the lowest instance keeps its votes, the
//! others release theirs and retry after a random backoff.

use super::event::ClaimTime;
use super::grant::{ClaimDecision, ClaimGrant, ClaimTerms, requests_to_each};
use super::group::{claim_group, majority};
use super::message::{
    ClaimHolder, ClaimId, ClaimKey, ClaimRefusal, ClaimRequest, ClaimRequestBody, ClaimResponse,
    ClaimResponseBody,
};
use super::settings::ClaimSettings;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{ClaimView, InstanceId, Moment, WallTime};

/// Events that a requester handles.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimRequesterEvent {
    /// A response to a request sent to `asked`.
    Response {
        /// The instance that was asked.
        asked: InstanceId,
        /// The response.
        response: ClaimResponse,
    },
    /// The request could not be delivered or got no response.
    Failed {
        /// The instance that was asked.
        asked: InstanceId,
    },
    /// The time returned by [`ClaimRequester::next_wakeup`] has been reached.
    Wakeup,
}

/// Actions that the daemon performs for a requester.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimRequesterAction {
    /// Send a request. The daemon need not wait for responses to releases.
    Send(ClaimRequest),
    /// Report the decision; returned exactly once.
    Decide(ClaimDecision),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Vote {
    Granted,
    Held,
    Refused(ClaimRefusal),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Voting { until: Moment },
    BackingOff { until: Moment },
    Decided,
}

/// State machine of one claim at the root.
#[derive(Debug, Clone)]
pub struct ClaimRequester {
    own_instance: InstanceId,
    settings: ClaimSettings,
    epoch: u64,
    highest_epoch: u64,
    key: ClaimKey,
    claim: ClaimId,
    attempts_left: u32,
    expires: WallTime,
    group: Vec<InstanceId>,
    votes: BTreeMap<InstanceId, Vote>,
    holders: BTreeMap<ClaimHolder, BTreeSet<InstanceId>>,
    phase: Phase,
    random: SmallRng,
}

impl ClaimRequester {
    /// Starts asking the key's group in the view. `seed` randomizes the backoff of competing
    /// requesters; it must differ between them.
    pub fn start(
        own_instance: InstanceId,
        settings: ClaimSettings,
        view: &ClaimView,
        terms: ClaimTerms,
        seed: u64,
        time: ClaimTime,
    ) -> (Self, Vec<ClaimRequesterAction>) {
        let group = claim_group(&view.members, &terms.key);
        let mut requester = Self {
            own_instance,
            epoch: view.epoch,
            highest_epoch: view.epoch,
            claim: terms.claim,
            attempts_left: settings.maximum_attempts,
            expires: terms.expires,
            group: group.iter().map(|member| member.instance).collect(),
            votes: BTreeMap::new(),
            holders: BTreeMap::new(),
            phase: Phase::Decided,
            random: SmallRng::seed_from_u64(seed),
            settings,
            key: terms.key,
        };
        let actions = requester.ask(time.now);
        (requester, actions)
    }

    /// The current attempt, or the one that was decided.
    pub fn claim(&self) -> ClaimId {
        self.claim
    }

    /// When [`ClaimRequesterEvent::Wakeup`] is due; none once decided.
    pub fn next_wakeup(&self) -> Option<Moment> {
        match self.phase {
            Phase::Voting { until } | Phase::BackingOff { until } => Some(until),
            Phase::Decided => None,
        }
    }

    /// Ends without a decision, for example because the caller's deadline has passed. Returns the
    /// releases to send; the outcome is `not_run`. Does nothing after the decision.
    pub fn cancel(&mut self) -> Vec<ClaimRequesterAction> {
        if self.phase == Phase::Decided {
            return Vec::new();
        }
        self.phase = Phase::Decided;
        self.release()
    }

    /// Handles an event. After the decision every event is ignored.
    pub fn on_event(
        &mut self,
        time: ClaimTime,
        event: ClaimRequesterEvent,
    ) -> Vec<ClaimRequesterAction> {
        match (self.phase, event) {
            (Phase::Voting { until }, _) if time.now >= until => self.on_vote_timeout(time.now),
            (Phase::Voting { .. }, ClaimRequesterEvent::Response { asked, response }) => {
                self.on_response(asked, response);
                self.count_votes(time.now)
            }
            (Phase::Voting { .. }, ClaimRequesterEvent::Failed { asked }) => {
                self.record_vote(asked, Vote::Refused(ClaimRefusal::Silent));
                self.count_votes(time.now)
            }
            (Phase::BackingOff { until }, _) if time.now >= until => self.ask(time.now),
            _ => Vec::new(),
        }
    }

    fn ask(&mut self, now: Moment) -> Vec<ClaimRequesterAction> {
        self.votes.clear();
        self.holders.clear();
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.phase = Phase::Voting {
            until: now + self.settings.vote_timeout,
        };
        if self.group.is_empty() {
            return self.decide_refused();
        }
        let body = ClaimRequestBody::Claim {
            key: self.key.clone(),
            claim: self.claim,
            expires: self.expires,
        };
        self.send_to_group(&body)
    }

    fn on_vote_timeout(&mut self, now: Moment) -> Vec<ClaimRequesterAction> {
        for member in self.group.clone() {
            self.record_vote(member, Vote::Refused(ClaimRefusal::Silent));
        }
        self.count_votes(now)
    }

    fn on_response(&mut self, asked: InstanceId, response: ClaimResponse) {
        self.highest_epoch = self.highest_epoch.max(response.epoch);
        if response.from != asked {
            self.record_vote(asked, Vote::Refused(ClaimRefusal::NotMember));
            return;
        }
        let is_current_claim =
            |key: &ClaimKey, claim: ClaimId| *key == self.key && claim == self.claim;
        match response.body {
            ClaimResponseBody::Granted { key, claim } if is_current_claim(&key, claim) => {
                self.record_vote(asked, Vote::Granted);
            }
            ClaimResponseBody::Held {
                key,
                claim,
                holders,
            } if is_current_claim(&key, claim) => {
                self.record_vote(asked, Vote::Held);
                for holder in holders {
                    self.holders.entry(holder).or_default().insert(asked);
                }
            }
            ClaimResponseBody::ClaimRefused {
                key,
                claim,
                refusal,
            } if is_current_claim(&key, claim) => {
                self.record_vote(asked, Vote::Refused(refusal));
            }
            _ => {}
        }
    }

    /// Records the first vote of a member of the group and ignores later ones.
    fn record_vote(&mut self, member: InstanceId, vote: Vote) {
        if self.group.contains(&member) {
            self.votes.entry(member).or_insert(vote);
        }
    }

    fn count_votes(&mut self, now: Moment) -> Vec<ClaimRequesterAction> {
        let needed = majority(self.group.len());
        let granted = self
            .votes
            .values()
            .filter(|vote| **vote == Vote::Granted)
            .count();
        let outstanding = self.group.len() - self.votes.len();
        if granted >= needed {
            return self.grant();
        }
        if granted + outstanding >= needed {
            return Vec::new();
        }
        let is_held_by_majority = self.holders.values().any(|members| members.len() >= needed);
        let is_held = !self.holders.is_empty();
        // A key held by a majority cannot be won by a retry, so no backoff is needed.
        if is_held && !is_held_by_majority && self.attempts_left > 0 {
            return self.back_off(now);
        }
        if is_held {
            self.decide_held()
        } else {
            self.decide_refused()
        }
    }

    fn grant(&mut self) -> Vec<ClaimRequesterAction> {
        self.phase = Phase::Decided;
        let grant = ClaimGrant {
            key: self.key.clone(),
            holder: ClaimHolder {
                owner: self.own_instance,
                claim: self.claim,
            },
            expires: self.expires,
            group: self.group.clone(),
        };
        vec![ClaimRequesterAction::Decide(ClaimDecision::Granted(grant))]
    }

    /// The vote split. The requester with the lowest instance among the known holders keeps its
    /// votes and retries soon; any other releases its votes and retries later than that one.
    fn back_off(&mut self, now: Moment) -> Vec<ClaimRequesterAction> {
        let attempt = self.settings.maximum_attempts - self.attempts_left;
        let unit = self.settings.split_backoff * 2_u32.saturating_pow(attempt.min(8) - 1);
        let is_lowest = self
            .holders
            .keys()
            .all(|holder| self.own_instance <= holder.owner);
        let (actions, backoff) = if is_lowest {
            (Vec::new(), unit)
        } else {
            (self.release(), unit * 2 + self.random_up_to(unit * 2))
        };
        self.claim.attempt += 1;
        self.phase = Phase::BackingOff {
            until: now + backoff,
        };
        actions
    }

    fn random_up_to(&mut self, longest: Duration) -> Duration {
        let micros = u64::try_from(longest.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        Duration::from_micros(self.random.random_range(0..micros))
    }

    fn decide_held(&mut self) -> Vec<ClaimRequesterAction> {
        let holders = self.holders.keys().copied().collect();
        self.give_up(ClaimDecision::HeldBy { holders })
    }

    fn decide_refused(&mut self) -> Vec<ClaimRequesterAction> {
        let reason = self.most_frequent_reason();
        self.give_up(ClaimDecision::Refused {
            reason,
            retry_after: self.retry_after(reason),
            highest_epoch: self.highest_epoch,
        })
    }

    fn give_up(&mut self, decision: ClaimDecision) -> Vec<ClaimRequesterAction> {
        self.phase = Phase::Decided;
        let mut actions = self.release();
        actions.push(ClaimRequesterAction::Decide(decision));
        actions
    }

    /// Releases go to the whole group: a claim request may still be in flight to a member that has
    /// not answered.
    fn release(&self) -> Vec<ClaimRequesterAction> {
        let body = ClaimRequestBody::Release {
            key: self.key.clone(),
            claim: self.claim,
            expires: self.expires,
        };
        self.send_to_group(&body)
    }

    fn send_to_group(&self, body: &ClaimRequestBody) -> Vec<ClaimRequesterAction> {
        requests_to_each(self.own_instance, self.epoch, &self.group, body)
            .into_iter()
            .map(ClaimRequesterAction::Send)
            .collect()
    }

    fn most_frequent_reason(&self) -> ClaimRefusal {
        let mut counts: BTreeMap<ClaimRefusal, usize> = BTreeMap::new();
        for vote in self.votes.values() {
            if let Vote::Refused(refusal) = vote {
                *counts.entry(*refusal).or_default() += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map_or(ClaimRefusal::NotMember, |(refusal, _)| refusal)
    }

    fn retry_after(&self, reason: ClaimRefusal) -> Duration {
        match reason {
            ClaimRefusal::NoLease | ClaimRefusal::TooManyClaims => self.settings.lease,
            ClaimRefusal::NotCopied => self.settings.copy_retry * 2,
            _ => self.settings.copy_retry,
        }
    }
}
