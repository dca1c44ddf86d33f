//! Reports of all daemons on one roll-out, merged into totals that never shrink.
//!
//! Of each daemon the newest report counts: greatest life, then greatest sequence. So a report that is
//! lost, doubled or late changes nothing. When a daemon restarts, the totals of its earlier life are kept.

use super::evidence::{LATENCY_BUCKETS, RollOutEvidence, VersionCounts};
use super::grant::Stage;
use super::report::RollOutReport;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Daemons whose reports are kept; more than any fleet planned for, and bounds memory.
const MOST_REPORTERS: usize = 4_096;
/// Routes told apart; a service has a handful. What lies beyond is counted as one route.
const MOST_ROUTES: usize = 16;
/// Stands for all routes beyond that number.
const OTHER_ROUTES: u32 = u32::MAX;
/// Memory of a daemon's rate of requests: long enough to smooth one request a second.
const RATE_MEMORY: Duration = Duration::from_secs(2);

/// A member that is silent for longer is not waited for: its grant has expired.
pub(crate) const SILENT: Duration = Duration::from_secs(2);

/// What became of attempts at the leafs of one side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct SideTotals {
    pub(crate) good: u64,
    pub(crate) failed: u64,
    pub(crate) latencies: [u64; LATENCY_BUCKETS],
}

impl SideTotals {
    fn add(&mut self, counts: &VersionCounts) {
        self.good += u64::from(counts.good);
        self.failed += u64::from(counts.failed);
        for (total, count) in self.latencies.iter_mut().zip(counts.latencies.counts) {
            *total += u64::from(count);
        }
    }

    /// Adds the counts of another route.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        for (total, count) in self.latencies.iter_mut().zip(other.latencies) {
            *total += count;
        }
    }

    /// What was added since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let mut latencies = self.latencies;
        for (total, before) in latencies.iter_mut().zip(earlier.latencies) {
            *total = total.saturating_sub(before);
        }
        Self {
            good: self.good.saturating_sub(earlier.good),
            failed: self.failed.saturating_sub(earlier.failed),
            latencies,
        }
    }

    /// Answers, good and bad.
    pub(crate) fn answers(&self) -> u64 {
        self.good + self.failed
    }
}

/// Both sides on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct RouteTotals {
    pub(crate) old: SideTotals,
    pub(crate) new: SideTotals,
}

/// Sums over all daemons and all their lives, except for what runs now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Totals {
    pub(crate) requests: u64,
    pub(crate) new_sends: u64,
    /// Attempts that run now, of daemons heard lately.
    pub(crate) running_on_new: u64,
    pub(crate) routes: BTreeMap<u32, RouteTotals>,
}

impl Totals {
    /// Adds what lasts beyond the life of a daemon.
    fn add_lasting(&mut self, evidence: &RollOutEvidence, known: &BTreeSet<u32>) {
        self.requests += evidence.requests;
        self.new_sends += evidence.new_sends;
        for route in &evidence.routes {
            let is_own = known.contains(&route.route);
            let key = if is_own { route.route } else { OTHER_ROUTES };
            let totals = self.routes.entry(key).or_default();
            totals.old.add(&route.old);
            totals.new.add(&route.new);
        }
    }
}

/// One daemon, as its newest report shows it.
#[derive(Debug, Clone)]
pub(crate) struct Reporter {
    pub(crate) life: u64,
    sequence: u64,
    pub(crate) heard_at: Moment,
    /// Not heard since this daemon was frozen.
    is_forgotten: bool,
    pub(crate) known_for: Duration,
    pub(crate) follows: Option<NodeId>,
    pub(crate) stage: Option<Stage>,
    pub(crate) evidence: RollOutEvidence,
    /// Requests a second, smoothed.
    pub(crate) rate: f64,
    /// When a report last showed a new request.
    pub(crate) busy_at: Option<Moment>,
}

impl Reporter {
    fn first(now: Moment, report: &RollOutReport) -> Self {
        let known_for = Duration::from_millis(u64::from(report.known_for_millis));
        let requests = report.evidence.requests;
        Self {
            life: report.life,
            sequence: report.sequence,
            heard_at: now,
            is_forgotten: false,
            known_for,
            follows: report.follows,
            stage: report.stage,
            evidence: bounded(&report.evidence),
            rate: requests as f64 / known_for.max(RATE_MEMORY).as_secs_f64(),
            busy_at: (requests > 0).then_some(now),
        }
    }

    /// The newer report of the same life, with the rate carried on.
    fn next(&self, now: Moment, report: &RollOutReport) -> Self {
        let mut next = Self::first(now, report);
        let added = next
            .evidence
            .requests
            .saturating_sub(self.evidence.requests);
        let gap = now.since(self.heard_at).as_secs_f64();
        let kept = (-gap / RATE_MEMORY.as_secs_f64()).exp();
        // The mean rate of the gap enters with the weight that the memory gives to its length.
        let entered = if gap > 0.0 {
            (1.0 - kept) / gap
        } else {
            1.0 / RATE_MEMORY.as_secs_f64()
        };
        next.rate = self.rate * kept + added as f64 * entered;
        next.busy_at = if added > 0 { Some(now) } else { self.busy_at };
        next
    }

    fn is_newer(&self, report: &RollOutReport) -> bool {
        (report.life, report.sequence) > (self.life, self.sequence)
    }

    /// Whether it reported within `span`.
    pub(crate) fn was_heard(&self, now: Moment, span: Duration) -> bool {
        !self.is_forgotten && now.since(self.heard_at) <= span
    }
}

/// A copy with a bounded number of routes.
fn bounded(evidence: &RollOutEvidence) -> RollOutEvidence {
    let mut evidence = evidence.clone();
    evidence.routes.truncate(MOST_ROUTES);
    evidence.routes.shrink_to_fit();
    evidence
}

/// The newest report of each daemon, and what earlier lives left.
#[derive(Debug, Default)]
pub(crate) struct MergedTotals {
    reporters: BTreeMap<NodeId, Reporter>,
    /// Routes told apart: those that were reported first.
    routes: BTreeSet<u32>,
    /// Of lives that have ended.
    earlier: Totals,
}

impl MergedTotals {
    /// Takes in a report. Returns whether it was news.
    pub(crate) fn on_report(&mut self, now: Moment, report: &RollOutReport) -> bool {
        let held = self.reporters.get(&report.reporter);
        let taken = match held {
            Some(held) if !held.is_newer(report) => return false,
            Some(held) if held.life == report.life => held.next(now, report),
            Some(held) => {
                self.earlier.add_lasting(&held.evidence, &self.routes);
                Reporter::first(now, report)
            }
            None if self.reporters.len() >= MOST_REPORTERS => return false,
            None => Reporter::first(now, report),
        };
        for route in &taken.evidence.routes {
            if self.routes.len() < MOST_ROUTES {
                self.routes.insert(route.route);
            }
        }
        self.reporters.insert(report.reporter, taken);
        true
    }

    /// After a freeze: nobody counts as heard until it reports anew.
    pub(crate) fn forget_recent(&mut self) {
        for reporter in self.reporters.values_mut() {
            reporter.is_forgotten = true;
            reporter.rate = 0.0;
        }
    }

    /// Sums over all daemons; what runs now, over those that are not silent.
    pub(crate) fn sum(&self, now: Moment) -> Totals {
        let mut totals = self.earlier.clone();
        for reporter in self.reporters.values() {
            totals.add_lasting(&reporter.evidence, &self.routes);
            if reporter.was_heard(now, SILENT) {
                totals.running_on_new += u64::from(reporter.evidence.running_on_new);
            }
        }
        totals
    }

    /// Sends to the target version, by the newest reports.
    pub(crate) fn new_sends(&self) -> u64 {
        let reporters = self.reporters.values();
        let sends: u64 = reporters.map(|reporter| reporter.evidence.new_sends).sum();
        self.earlier.new_sends + sends
    }

    /// The daemon's newest report.
    pub(crate) fn reporter(&self, node: NodeId) -> Option<&Reporter> {
        self.reporters.get(&node)
    }

    /// All daemons that ever reported.
    pub(crate) fn reporters(&self) -> impl Iterator<Item = &Reporter> {
        self.reporters.values()
    }

    /// Daemons that reported within `span`.
    pub(crate) fn heard(
        &self,
        now: Moment,
        span: Duration,
    ) -> impl Iterator<Item = (NodeId, &Reporter)> {
        let heard = self.reporters.iter();
        heard
            .filter(move |(_, reporter)| reporter.was_heard(now, span))
            .map(|(node, reporter)| (*node, reporter))
    }

    /// Requests a second of the daemons that are not silent.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        self.heard(now, SILENT)
            .map(|(_, reporter)| reporter.rate)
            .sum()
    }
}
