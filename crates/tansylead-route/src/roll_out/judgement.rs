//! Whether the target version answers as well as the old leafs, from totals taken one after the other.
//!
//! What both sides answered between two looks is compared, route by route: a share of failures, and a
//! share of late answers, each tested for every route and for all together.
//!
//! Limits. Counts do not say which leaf answered. One leaf of the target version that fails for a while
//! looks like a version that is bad in part; only what breaks in a single moment is told apart, because no
//! single look can condemn. While all requests go to the target version there is nothing to compare with
//! in the same seconds: a fault that begins then and strikes any version counts against the new one.

use super::cumulative_sum::{CumulativeSum, DOUBTFUL, SHOWN, SUSPECTED};
use super::reference::{Reference, failures_to_test};
use super::totals::{RouteTotals, SideTotals, Totals};
use std::collections::BTreeMap;
use std::time::Duration;

/// Answers of the target version that are enough to judge by. If three in ten are bad, eight good ones in
/// a row come by chance in one of seventeen cases; the tests before and after add to that.
const ENOUGH_ANSWERS: u64 = 8;
/// A service with few requests is judged by fewer: this part of them, but no less than the least.
const ENOUGH_PART: u64 = 4;
const LEAST_ANSWERS: u64 = 3;
/// The limit that shows something holds for a test of so many answers; it rises with their number, as
/// there are more chances to reach it by accident.
const ANSWERS_OF_ONE_TEST: f64 = 75.0;
/// Attempts that may run unanswered at the target version beyond what the old leafs' mean time gives: so
/// many times that, and so many besides. Slow answers show by this before they come.
const WAITING_FACTOR: f64 = 3.0;
const WAITING_BESIDES: f64 = 4.0;

/// What the answers say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Too many are bad. Stays.
    Failing,
    /// Too many are late. Stays.
    Slow,
    /// Nothing against the target version.
    GoodSoFar,
    /// Too few to say anything in favour.
    NotEnough,
}

/// Both tests, for one route or for all.
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

    fn hint(&self, limit: f64) -> Option<Finding> {
        if self.failing.hints(limit) {
            return Some(Finding::Failing);
        }
        self.slow.hints(limit).then_some(Finding::Slow)
    }
}

/// What the answers since the last look add to the tests.
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
    /// Takes in totals; returns what came since the last look.
    fn take_in(&mut self, span: Duration, totals: &RouteTotals) -> RouteTotals {
        let added = RouteTotals {
            old: totals.old.since(&self.seen.old),
            new: totals.new.since(&self.seen.new),
        };
        self.seen = *totals;
        self.reference.add(span, &added.old);
        added
    }

    /// Tests new answers. A fault that strikes all routes shows soonest in what is usual on all.
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

/// Shares that are usual on all routes together.
#[derive(Debug, Clone, Copy)]
struct Usual {
    failures: f64,
    late: f64,
}

/// The judgement so far.
#[derive(Debug, Default)]
pub(crate) struct Judgement {
    routes: BTreeMap<u32, RouteJudgement>,
    /// Old leafs on all routes.
    reference: Reference,
    /// The same, with late answers in place of failures.
    late_reference: Reference,
    all: Tests,
    condemned: Option<Finding>,
    requests: u64,
    running_on_new: u64,
}

impl Judgement {
    /// Takes in totals, `span` after those before.
    pub(crate) fn look(&mut self, span: Duration, totals: &Totals) {
        let (mut old, mut old_late) = (SideTotals::default(), SideTotals::default());
        let mut added_new = Vec::with_capacity(totals.routes.len());
        for (route, totals) in &totals.routes {
            let judgement = self.routes.entry(*route).or_default();
            let added = judgement.take_in(span, totals);
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
        let many_answers = self.new_answers() as f64 / ANSWERS_OF_ONE_TEST;
        let limit = SHOWN + many_answers.max(1.0).ln();
        self.condemned = self.condemned.or_else(|| self.against(limit));
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

    /// What all answers say.
    pub(crate) fn finding(&self) -> Finding {
        if let Some(condemned) = self.condemned {
            return condemned;
        }
        let has_enough = self.new_answers() >= self.enough();
        if has_enough {
            Finding::GoodSoFar
        } else {
            Finding::NotEnough
        }
    }

    /// What may speak against the target version at the last moment: by answers that came, or by attempts
    /// that wait for theirs, at `rate` attempts a second.
    pub(crate) fn suspicion(&self, rate: f64) -> Option<Finding> {
        let tested = self.condemned.or_else(|| self.hint(SUSPECTED));
        tested.or_else(|| self.has_piled_up(rate).then_some(Finding::Slow))
    }

    /// Whether it is worth to wait for more answers.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.hint(DOUBTFUL).is_some()
    }

    /// Answers of the target version.
    pub(crate) fn new_answers(&self) -> u64 {
        let routes = self.routes.values();
        routes.map(|route| route.seen.new.answers()).sum()
    }

    fn enough(&self) -> u64 {
        (self.requests / ENOUGH_PART).clamp(LEAST_ANSWERS, ENOUGH_ANSWERS)
    }

    fn against(&self, limit: f64) -> Option<Finding> {
        let of_one = self.limit_of_one(limit);
        let routes = self.routes.values();
        let worst = routes
            .filter_map(|route| route.tests.finding(of_one))
            .next();
        self.all.finding(limit).or(worst)
    }

    fn hint(&self, limit: f64) -> Option<Finding> {
        let of_one = self.limit_of_one(limit);
        let routes = self.routes.values();
        let worst = routes.filter_map(|route| route.tests.hint(of_one)).next();
        self.all.hint(limit).or(worst)
    }

    /// Among many routes one looks bad by chance more easily.
    fn limit_of_one(&self, limit: f64) -> f64 {
        limit + (self.routes.len().max(1) as f64).ln()
    }

    fn has_piled_up(&self, rate: f64) -> bool {
        let routes = self.routes.values();
        let slowest = routes.filter_map(|route| route.reference.mean_millis());
        let Some(mean) = slowest.reduce(f64::max) else {
            return false;
        };
        let usual = rate * mean / 1_000.0;
        self.running_on_new as f64 > usual * WAITING_FACTOR + WAITING_BESIDES
    }
}
