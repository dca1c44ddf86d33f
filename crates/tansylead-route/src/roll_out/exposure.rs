//! Bound on the sends of all daemons to a version under trial, and the tokens that share it out.
//!
//! A token counts as spent until a report from after its expiry shows whether it was used. So all daemons together
//! stay within the allowance, whatever they do with their grants.

use super::grant::Grant;
use super::grant::Stage;
use super::pace::Pace;
use super::totals::{MergedTotals, Reporter};
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Part of the bound that is handed out. The rest covers grants of another judge that this one has not seen.
const GRANTED_PART: f64 = 0.85;
/// Validity of a grant: several report periods, so that a lost message does no harm.
const GRANT_VALIDITY: Duration = Duration::from_secs(1);
/// Time allowed for a grant to arrive and for the sends under it to be reported.
const GRANT_MARGIN: Duration = Duration::from_millis(250);
/// In the shift, a daemon gets tokens for the sends expected in this time: two report periods.
const GRANT_LOOKAHEAD: Duration = Duration::from_millis(400);
/// A daemon whose last request is no older than this is busy, and worth a token.
const BUSY_WINDOW: Duration = Duration::from_secs(3);
/// A daemon whose last report is no older than this is reachable: several report periods.
const REACHABLE_WINDOW: Duration = Duration::from_millis(1_000);
/// Lower bound on the estimated chance that a token is used, so that no daemon gets many.
const MINIMUM_CHANCE: f64 = 0.2;
/// Daemons that each free token is offered to: more than one, as the first in turn may be silent.
const DAEMONS_PER_TOKEN: f64 = 2.0;

/// Bounds on the sends of all daemons together to a version under trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBounds {
    /// Sends to the target version, as a share of the requests to the service from the order to its deadline.
    pub share: f64,
    /// Number of sends allowed beyond that share.
    pub slack: f64,
}

/// Tokens that a daemon holds.
#[derive(Debug, Clone, Copy)]
struct HeldTokens {
    boot: u64,
    limit: u64,
    /// Sends to the target version in its last report.
    reported: u64,
    expires: Moment,
}

impl HeldTokens {
    fn unused(&self) -> u64 {
        self.limit.saturating_sub(self.reported)
    }

    fn is_valid(&self, now: Moment) -> bool {
        now < self.expires
    }
}

/// Sends allowed to the target version, and the daemons that hold tokens for them.
#[derive(Debug)]
pub(crate) struct Exposure {
    bounds: ExposureBounds,
    judge: NodeId,
    has_slack: bool,
    held: BTreeMap<NodeId, HeldTokens>,
    /// When each daemon last got new tokens.
    last_granted: BTreeMap<NodeId, Moment>,
    /// Tokens of daemons that have restarted, which may have been spent unreported.
    unaccounted: u64,
}

impl Exposure {
    /// Creates a state without tokens. It has no slack if an earlier judge may have spent that unseen.
    pub(crate) fn new(bounds: ExposureBounds, judge: NodeId, has_slack: bool) -> Self {
        Self {
            bounds,
            judge,
            has_slack,
            held: BTreeMap::new(),
            last_granted: BTreeMap::new(),
            unaccounted: 0,
        }
    }

    /// Allows the slack again, once it is known that it was not spent unseen.
    pub(crate) fn restore_slack(&mut self) {
        self.has_slack = true;
    }

    /// Updates a daemon's tokens by the sends that it reports.
    pub(crate) fn on_report(&mut self, now: Moment, node: NodeId, boot: u64, new_sends: u64) {
        let Some(held) = self.held.get_mut(&node) else {
            return;
        };
        if held.boot != boot {
            self.unaccounted += held.unused();
            self.held.remove(&node);
        } else if now >= held.expires {
            self.held.remove(&node);
        } else {
            held.reported = new_sends;
        }
    }

    /// Sends to the target version that all daemons together may make by the time of so many requests.
    pub(crate) fn allowance(&self, requests: f64) -> f64 {
        let slack = if self.has_slack {
            self.bounds.slack
        } else {
            0.0
        };
        GRANTED_PART * (self.bounds.share * requests + slack)
    }

    /// Sends made, and all that the tokens held allow: an expired token may have been used without a report yet.
    fn spent(&self, now: Moment, totals: &MergedTotals) -> f64 {
        let held: u64 = self.held.values().map(HeldTokens::unused).sum();
        self.used(now, totals) + held as f64
    }

    /// Sends made, and those that other judges may have granted. This judge's unused tokens are left out, as they can
    /// be used in any stage.
    pub(crate) fn used(&self, now: Moment, totals: &MergedTotals) -> f64 {
        let granted_by_others: u64 = totals
            .recent_reporters(now, GRANT_VALIDITY + GRANT_MARGIN)
            .filter(|(_, reporter)| reporter.follows.is_some_and(|judge| judge != self.judge))
            .map(|(_, reporter)| tokens_ahead(reporter))
            .sum();
        (totals.new_sends() + self.unaccounted + granted_by_others) as f64
    }

    /// A grant that allows no further sends.
    pub(crate) fn grant_none(&self, stage: Stage, reporter: &Reporter) -> Grant {
        Grant {
            stage,
            limit: reporter.evidence.new_sends,
            valid: GRANT_VALIDITY,
        }
    }

    /// The grant for a daemon in a stage in which tokens are handed out.
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
        // In the trial, an unused token goes to another daemon, so it is not renewed.
        let is_renewed = more > 0 || pace.stage == Stage::Shift;
        let expires = match held {
            Some(held) if !is_renewed => held.expires,
            _ => now + GRANT_VALIDITY + GRANT_MARGIN,
        };
        if limit > new_sends {
            self.note_tokens(now, node, reporter, limit, expires, more > 0);
        }
        Grant {
            stage: pace.stage,
            limit,
            valid: (expires - GRANT_MARGIN).since(now),
        }
    }

    /// Sends that the pace requires beyond those expected under the tokens already held.
    fn due(&self, pace: Pace, totals: &MergedTotals) -> f64 {
        let held = self.held.iter();
        let expected: f64 = held
            .filter_map(|(node, held)| {
                let reporter = totals.reporter(*node)?;
                Some(held.unused() as f64 * chance_of_use(reporter))
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
        // An expired limit may have been used up without a report yet.
        let limit = before.map_or(limit, |before| before.limit.max(limit));
        let held = HeldTokens {
            boot: reporter.boot,
            limit,
            reported: reporter.evidence.new_sends,
            expires,
        };
        self.held.insert(node, held);
        if has_more {
            self.last_granted.insert(node, now);
        }
    }

    /// Tokens for a daemon in the trial: one if it is its turn, more if there are more tokens than daemons.
    fn tokens_in_turn(&self, now: Moment, totals: &MergedTotals, node: NodeId, due: f64) -> u64 {
        let is_busy = |reporter: &Reporter| {
            reporter
                .busy_at
                .is_some_and(|busy_at| now.since(busy_at) <= BUSY_WINDOW)
        };
        let Some(reporter) = totals.reporter(node).filter(|reporter| is_busy(reporter)) else {
            return 0;
        };
        if due <= 0.0 {
            return 0;
        }
        let tokens = due / chance_of_use(reporter).max(MINIMUM_CHANCE);
        let own_turn = self.last_granted.get(&node);
        let busy = || {
            totals
                .recent_reporters(now, REACHABLE_WINDOW)
                .filter(|(_, reporter)| is_busy(reporter))
        };
        let before = busy().filter(|(other, _)| self.last_granted.get(other) < own_turn);
        if before.count() as f64 >= tokens.max(1.0) * DAEMONS_PER_TOKEN {
            return 0;
        }
        (tokens / busy().count().max(1) as f64).ceil() as u64
    }
}

/// Chance that a daemon gets a request while a grant is valid.
fn chance_of_use(reporter: &Reporter) -> f64 {
    1.0 - (-reporter.rate * GRANT_VALIDITY.as_secs_f64()).exp()
}

/// Sends expected of a daemon in the time that it gets tokens for.
fn tokens_ahead(reporter: &Reporter) -> u64 {
    (reporter.rate * GRANT_LOOKAHEAD.as_secs_f64())
        .ceil()
        .max(1.0) as u64
}
