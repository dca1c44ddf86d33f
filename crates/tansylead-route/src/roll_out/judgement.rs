//! Comparison of the answers of the target version with those of the old leafs, from successive totals.
//!
//! Each evaluation compares the answers of both versions since the last one. The share of failures and the share of
//! late answers are each tested for every route and for all routes together.
//!
//! Limits: the counts do not say which leaf answered. A single leaf of the target version that fails for a while looks
//! like a version that is bad in part; only a failure at a single moment is told apart, because no single evaluation
//! can reject a version. While all requests go to the target version, there are no answers of old leafs at the same
//! time to compare with: a fault that begins then and affects any version counts against the new one.

use super::cumulative_sum::{CumulativeSum, DOUBTFUL, PROVEN, SUSPECTED};
use super::reference::{Reference, failures_to_test};
use super::totals::{RouteTotals, SideTotals, Totals};
use std::collections::BTreeMap;
use std::time::Duration;

/// Answers of the target version that are enough to judge it. If three in ten are bad, eight good ones in a row occur
/// by chance in one of seventeen cases; the tests before and after detect some of these.
const ENOUGH_ANSWERS: u64 = 8;
/// A service with few requests is judged by fewer answers: one for each so many requests, but no fewer than the
/// minimum.
const REQUESTS_PER_ANSWER: u64 = 4;
const MINIMUM_ANSWERS: u64 = 3;
/// Number of answers that the limit [`PROVEN`] applies to. With more answers the limit rises, as there are more chances
/// to reach it by accident.
const ANSWERS_AT_BASE_LIMIT: f64 = 75.0;
/// Attempts that may be in progress at the target version: this many times the number that the mean latency of the old
/// leafs implies, plus [`WAITING_SLACK`]. More of them reveal slow answers before these arrive.
const WAITING_FACTOR: f64 = 3.0;
/// Attempts allowed in progress beyond the multiple.
const WAITING_SLACK: f64 = 4.0;

/// Result of the tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Too many answers are bad. Final.
    Failing,
    /// Too many answers are late. Final.
    Slow,
    /// Enough answers, and no test speaks against the target version.
    GoodSoFar,
    /// Too few answers to accept the target version.
    NotEnough,
}

/// The tests for failures and for late answers, of one route or of all routes together.
#[derive(Debug, Clone, Copy, Default)]
struct Tests {
    failing: CumulativeSum,
    slow: CumulativeSum,
}

impl Tests {
    fn add(&mut self, ratios: LogRatios) {
        self.failing.add(ratios.failing);
        self.slow.add(ratios.slow);
    }

    fn finding(&self, limit: f64) -> Option<Finding> {
        if self.failing.has_reached(limit) {
            return Some(Finding::Failing);
        }
        self.slow.has_reached(limit).then_some(Finding::Slow)
    }

    fn unlimited_finding(&self, limit: f64) -> Option<Finding> {
        if self.failing.has_reached_unlimited(limit) {
            return Some(Finding::Failing);
        }
        self.slow
            .has_reached_unlimited(limit)
            .then_some(Finding::Slow)
    }
}

/// Log-likelihood ratios of the answers since the last evaluation.
#[derive(Debug, Clone, Copy, Default)]
struct LogRatios {
    failing: f64,
    slow: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RouteJudgement {
    seen: RouteTotals,
    reference: Reference,
    tests: Tests,
}

impl RouteJudgement {
    /// Updates the totals; returns what was added since the last evaluation.
    fn update(&mut self, span: Duration, totals: &RouteTotals) -> RouteTotals {
        let added = RouteTotals {
            old: totals.old.since(&self.seen.old),
            new: totals.new.since(&self.seen.new),
        };
        self.seen = *totals;
        self.reference.add(span, &added.old);
        added
    }

    /// Tests new answers. A fault that affects all routes shows soonest in the usual shares of all routes together.
    fn test(&mut self, new: &SideTotals, usual: Usual) -> LogRatios {
        let failures = self.reference.usual_failures().max(usual.failures);
        let failing = failures_to_test(failures).log_ratio(new.failed, new.good);
        let slow = self.reference.late_bound().map_or(0.0, |bound| {
            let split = bound.split(new);
            bound.shares(usual.late).log_ratio(split.failed, split.good)
        });
        let ratios = LogRatios { failing, slow };
        self.tests.add(ratios);
        ratios
    }
}

/// Usual shares of old leafs on all routes together.
#[derive(Debug, Clone, Copy)]
struct Usual {
    failures: f64,
    late: f64,
}

/// State of the tests of all routes.
#[derive(Debug, Default)]
pub(crate) struct Judgement {
    routes: BTreeMap<u32, RouteJudgement>,
    /// Answers of old leafs on all routes.
    reference: Reference,
    /// The same, with late answers counted as failures.
    late_reference: Reference,
    all: Tests,
    rejected: Option<Finding>,
    requests: u64,
    running_on_new: u64,
}

impl Judgement {
    /// Updates the tests with totals that were taken `span` after the last ones.
    pub(crate) fn evaluate(&mut self, span: Duration, totals: &Totals) {
        let (mut old, mut old_late) = (SideTotals::default(), SideTotals::default());
        let mut added_new = Vec::with_capacity(totals.routes.len());
        for (route, totals) in &totals.routes {
            let judgement = self.routes.entry(*route).or_default();
            let added = judgement.update(span, totals);
            old.merge(&added.old);
            if let Some(bound) = judgement.reference.late_bound() {
                old_late.merge(&bound.split(&added.old));
            }
            added_new.push((*route, added.new));
        }
        self.reference.add(span, &old);
        self.late_reference.add(span, &old_late);
        self.requests = totals.requests;
        self.running_on_new = totals.running_on_new;
        self.test(&added_new);
        let answer_factor = self.new_answers() as f64 / ANSWERS_AT_BASE_LIMIT;
        let limit = PROVEN + answer_factor.max(1.0).ln();
        self.rejected = self.rejected.or_else(|| self.rejection(limit));
    }

    fn test(&mut self, added: &[(u32, SideTotals)]) {
        let usual = Usual {
            failures: self.reference.usual_failures(),
            late: self.late_reference.usual_failures(),
        };
        let mut sum = LogRatios::default();
        for (route, new) in added {
            let judgement = self.routes.entry(*route).or_default();
            let ratios = judgement.test(new, usual);
            sum.failing += ratios.failing;
            sum.slow += ratios.slow;
        }
        self.all.add(sum);
    }

    /// The result so far.
    pub(crate) fn finding(&self) -> Finding {
        if let Some(rejected) = self.rejected {
            return rejected;
        }
        let has_enough = self.new_answers() >= self.answers_needed();
        if has_enough {
            Finding::GoodSoFar
        } else {
            Finding::NotEnough
        }
    }

    /// Doubts about the target version that count at the last moment: from the answers so far, or from attempts still
    /// waiting for theirs, at `rate` attempts a second.
    pub(crate) fn suspicion(&self, rate: f64) -> Option<Finding> {
        let tested = self.rejected.or_else(|| self.unlimited_finding(SUSPECTED));
        tested.or_else(|| self.has_backlog(rate).then_some(Finding::Slow))
    }

    /// Whether the answers so far are a reason to wait for more.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.unlimited_finding(DOUBTFUL).is_some()
    }

    /// Number of answers of the target version.
    pub(crate) fn new_answers(&self) -> u64 {
        let routes = self.routes.values();
        routes.map(|route| route.seen.new.answers()).sum()
    }

    fn answers_needed(&self) -> u64 {
        (self.requests / REQUESTS_PER_ANSWER).clamp(MINIMUM_ANSWERS, ENOUGH_ANSWERS)
    }

    fn rejection(&self, limit: f64) -> Option<Finding> {
        let route_limit = self.limit_for_route(limit);
        let routes = self.routes.values();
        let worst = routes
            .filter_map(|route| route.tests.finding(route_limit))
            .next();
        self.all.finding(limit).or(worst)
    }

    fn unlimited_finding(&self, limit: f64) -> Option<Finding> {
        let route_limit = self.limit_for_route(limit);
        let routes = self.routes.values();
        let worst = routes
            .filter_map(|route| route.tests.unlimited_finding(route_limit))
            .next();
        self.all.unlimited_finding(limit).or(worst)
    }

    /// Limit for a single route: higher with more routes, as one of many is more likely to look bad by chance.
    fn limit_for_route(&self, limit: f64) -> f64 {
        limit + (self.routes.len().max(1) as f64).ln()
    }

    fn has_backlog(&self, rate: f64) -> bool {
        let routes = self.routes.values();
        let slowest = routes.filter_map(|route| route.reference.mean_millis());
        let Some(mean) = slowest.reduce(f64::max) else {
            return false;
        };
        let usual = rate * mean / 1_000.0;
        self.running_on_new as f64 > usual * WAITING_FACTOR + WAITING_SLACK
    }
}
