//! Bound on sends to a version under trial, of all daemons together, and how it is handed out.
//!
//! What is handed out counts as spent until a report from after its expiry shows what became of it. So
//! whatever daemons do with their grants, they stay within the allowance.

use super::grant::Grant;
use super::grant::Stage;
use super::pace::Pace;
use super::totals::{MergedTotals, Reporter};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Part of the bound that is handed out. The rest covers what another judge granted unseen.
const USED_SHARE: f64 = 0.85;
/// How long a grant may be used: several report periods, so that a lost message does no harm.
const VALID: Duration = Duration::from_secs(1);
/// Time for a grant to arrive, and for the sends under it to be reported.
const VALID_MARGIN: Duration = Duration::from_millis(250);
/// In the shift a daemon gets what it is expected to send in two report periods.
const GRANTED_AHEAD: Duration = Duration::from_millis(400);
/// A daemon had a request lately: one with a request in three seconds is worth a token.
const BUSY: Duration = Duration::from_secs(3);
/// A daemon that reports: several report periods.
const HEARD: Duration = Duration::from_millis(1_000);
/// Least chance assumed that a token is used, so that no daemon gets many.
const LEAST_CHANCE: f64 = 0.2;
/// Daemons for each free token that may take it: more than one, as the first in turn may be silent.
const IN_TURN_FACTOR: f64 = 2.0;

/// Bounds on the use of a version under trial, of all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBounds {
    /// Sends to the target version, as a share of the requests to the service from the order to its deadline.
    pub share: f64,
    /// Sends beyond that share.
    pub slack: f64,
}

/// Tokens that a daemon holds.
#[derive(Debug, Clone, Copy)]
struct Held {
    life: u64,
    limit: u64,
    /// When its last report showed sends, how many.
    reported: u64,
    expires: Moment,
}

impl Held {
    fn unspent(&self) -> u64 {
        self.limit.saturating_sub(self.reported)
    }

    fn is_valid(&self, now: Moment) -> bool {
        now < self.expires
    }
}

/// What may be sent to the target version, and who holds tokens for it.
#[derive(Debug)]
pub(crate) struct Exposure {
    bounds: ExposureBounds,
    judge: NodeId,
    has_slack: bool,
    held: BTreeMap<NodeId, Held>,
    /// When each daemon last got a token.
    turns: BTreeMap<NodeId, Moment>,
    /// Tokens of ended lives, which may have been spent unreported.
    unaccounted: u64,
}

impl Exposure {
    /// Nothing handed out. Without slack if an earlier judge may have spent it unseen.
    pub(crate) fn new(bounds: ExposureBounds, judge: NodeId, has_slack: bool) -> Self {
        Self {
            bounds,
            judge,
            has_slack,
            held: BTreeMap::new(),
            turns: BTreeMap::new(),
            unaccounted: 0,
        }
    }

    /// Notes that the slack was not spent unseen after all.
    pub(crate) fn restore_slack(&mut self) {
        self.has_slack = true;
    }

    /// Takes in how much a daemon has sent.
    pub(crate) fn on_report(&mut self, now: Moment, node: NodeId, life: u64, new_sends: u64) {
        let Some(held) = self.held.get_mut(&node) else {
            return;
        };
        if held.life != life {
            self.unaccounted += held.unspent();
            self.held.remove(&node);
        } else if now >= held.expires {
            self.held.remove(&node);
        } else {
            held.reported = new_sends;
        }
    }

    /// Sends to the target version that all daemons may make, at so many requests.
    pub(crate) fn allowance(&self, requests: f64) -> f64 {
        let slack = if self.has_slack {
            self.bounds.slack
        } else {
            0.0
        };
        USED_SHARE * (self.bounds.share * requests + slack)
    }

    /// Sends made, and those that may be made under grants that stand.
    fn spent(&self, now: Moment, totals: &MergedTotals) -> f64 {
        let held: u64 = self.held.values().map(Held::unspent).sum();
        self.gone(now, totals) + held as f64
    }

    /// Sends made, and those that others may have granted or seen. Tokens held serve any stage.
    pub(crate) fn gone(&self, now: Moment, totals: &MergedTotals) -> f64 {
        let of_others: u64 = totals
            .heard(now, VALID + VALID_MARGIN)
            .filter(|(_, reporter)| reporter.follows.is_some_and(|judge| judge != self.judge))
            .map(|(_, reporter)| tokens_ahead(reporter))
            .sum();
        (totals.new_sends() + self.unaccounted + of_others) as f64
    }

    /// A grant without tokens beyond those that the daemon holds.
    pub(crate) fn grant_none(&self, stage: Stage, reporter: &Reporter) -> Grant {
        Grant {
            stage,
            limit: reporter.evidence.new_sends,
            valid: VALID,
        }
    }

    /// What a daemon gets in a stage in which tokens are handed out.
    pub(crate) fn grant(
        &mut self,
        now: Moment,
        pace: Pace,
        totals: &MergedTotals,
        node: NodeId,
        reporter: &Reporter,
    ) -> Grant {
        let new_sends = reporter.evidence.new_sends;
        let held = self.held.get(&node).copied();
        let held = held.filter(|held| held.is_valid(now) && held.limit > new_sends);
        let holds = held.map_or(0, |held| held.limit - new_sends);
        let free = pace.allowance - self.spent(now, totals);
        let wanted = match pace.stage {
            Stage::Shift => tokens_ahead(reporter),
            _ => self.tokens_in_turn(now, totals, node, self.due(pace, totals)),
        };
        let more = wanted.saturating_sub(holds).min(free.max(0.0) as u64);
        let limit = new_sends + holds + more;
        // In the trial a token that is not used goes to another daemon, so it is not renewed.
        let is_renewed = more > 0 || pace.stage == Stage::Shift;
        let expires = match held {
            Some(held) if !is_renewed => held.expires,
            _ => now + VALID + VALID_MARGIN,
        };
        if limit > new_sends {
            self.note_tokens(now, node, reporter, limit, expires, more > 0);
        }
        Grant {
            stage: pace.stage,
            limit,
            valid: (expires - VALID_MARGIN).since(now),
        }
    }

    /// Sends that are due by the pace, beyond those that the tokens held most likely make.
    fn due(&self, pace: Pace, totals: &MergedTotals) -> f64 {
        let held = self.held.iter();
        let expected: f64 = held
            .filter_map(|(node, held)| {
                let reporter = totals.reporter(*node)?;
                Some(held.unspent() as f64 * chance_of_use(reporter))
            })
            .sum();
        pace.target - totals.new_sends() as f64 - expected
    }

    fn note_tokens(
        &mut self,
        now: Moment,
        node: NodeId,
        reporter: &Reporter,
        limit: u64,
        expires: Moment,
        has_more: bool,
    ) {
        let before = self.held.get(&node);
        // A limit that has expired may still have been used up to its end, unreported.
        let limit = before.map_or(limit, |before| before.limit.max(limit));
        let held = Held {
            life: reporter.life,
            limit,
            reported: reporter.evidence.new_sends,
            expires,
        };
        self.held.insert(node, held);
        if has_more {
            self.turns.insert(node, now);
        }
    }

    /// Tokens for a daemon in the trial: one if it is its turn, more if there are more than daemons.
    fn tokens_in_turn(&self, now: Moment, totals: &MergedTotals, node: NodeId, due: f64) -> u64 {
        let is_busy = |reporter: &Reporter| {
            reporter
                .busy_at
                .is_some_and(|busy_at| now.since(busy_at) <= BUSY)
        };
        let Some(reporter) = totals.reporter(node).filter(|reporter| is_busy(reporter)) else {
            return 0;
        };
        if due <= 0.0 {
            return 0;
        }
        let tokens = due / chance_of_use(reporter).max(LEAST_CHANCE);
        let own_turn = self.turns.get(&node);
        let busy = || {
            totals
                .heard(now, HEARD)
                .filter(|(_, reporter)| is_busy(reporter))
        };
        let before = busy().filter(|(other, _)| self.turns.get(other) < own_turn);
        if before.count() as f64 >= tokens.max(1.0) * IN_TURN_FACTOR {
            return 0;
        }
        (tokens / busy().count().max(1) as f64).ceil() as u64
    }
}

/// Chance that a daemon has a request while a grant is valid.
fn chance_of_use(reporter: &Reporter) -> f64 {
    1.0 - (-reporter.rate * VALID.as_secs_f64()).exp()
}

/// What a daemon is expected to send in the time that a grant is to last.
fn tokens_ahead(reporter: &Reporter) -> u64 {
    (reporter.rate * GRANTED_AHEAD.as_secs_f64())
        .ceil()
        .max(1.0) as u64
}
