//! Reports of all daemons on one roll-out, merged into totals that never decrease.
//!
//! The newest report of each daemon counts: the one of its latest run (`boot`) with the highest sequence number. So
//! lost, duplicate and late reports do no harm. When a daemon restarts, the totals of its earlier run are kept.

use super::evidence::{LATENCY_BUCKETS, RollOutEvidence, VersionCounts};
use super::grant::Stage;
use super::report::RollOutReport;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Most daemons whose reports are kept: more than any fleet planned for. Bounds memory.
const MAXIMUM_REPORTERS: usize = 4_096;
/// Most routes that are counted separately; a service has a handful. Further ones are counted as one route.
const MAXIMUM_ROUTES: usize = 16;
/// Key of the routes beyond that number.
const OTHER_ROUTES: u32 = u32::MAX;
/// Time constant of the smoothed request rate of a daemon: long enough to smooth one request a second.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// A member that is silent for longer is not waited for, as its grant has expired.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Outcomes of attempts, at leafs either of the target version or of other versions.
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

    /// Adds other totals, such as those of another route.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        for (total, count) in self.latencies.iter_mut().zip(other.latencies) {
            *total += count;
        }
    }

    /// The difference to `earlier` totals.
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

    /// Number of answers, good and bad.
    pub(crate) fn answers(&self) -> u64 {
        self.good + self.failed
    }
}

/// Outcomes on one route, by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct RouteTotals {
    pub(crate) old: SideTotals,
    pub(crate) new: SideTotals,
}

/// Sums over all daemons and all their runs, except for the attempts in progress.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Totals {
    pub(crate) requests: u64,
    pub(crate) new_sends: u64,
    /// Attempts in progress, of daemons that have reported recently.
    pub(crate) running_on_new: u64,
    pub(crate) running_on_old: u64,
    pub(crate) routes: BTreeMap<u32, RouteTotals>,
}

impl Totals {
    /// Adds the counts that stay valid after a daemon has restarted.
    fn add_permanent(&mut self, evidence: &RollOutEvidence, known: &BTreeSet<u32>) {
        self.requests += evidence.requests;
        self.new_sends += evidence.new_sends;
        for route in &evidence.routes {
            let is_known = known.contains(&route.route);
            let key = if is_known { route.route } else { OTHER_ROUTES };
            let totals = self.routes.entry(key).or_default();
            totals.old.add(&route.old);
            totals.new.add(&route.new);
        }
    }
}

/// State of one daemon by its newest report.
#[derive(Debug, Clone)]
pub(crate) struct Reporter {
    pub(crate) boot: u64,
    sequence: u64,
    pub(crate) reported_at: Moment,
    /// Whether there was no report since the freeze of the judge's daemon.
    is_outdated: bool,
    pub(crate) known_for: Duration,
    pub(crate) follows: Option<NodeId>,
    pub(crate) stage: Option<Stage>,
    pub(crate) evidence: RollOutEvidence,
    /// Requests a second, smoothed.
    pub(crate) rate: f64,
    /// When a report with new requests last arrived.
    pub(crate) busy_at: Option<Moment>,
}

impl Reporter {
    fn first(now: Moment, report: &RollOutReport) -> Self {
        let known_for = Duration::from_millis(u64::from(report.known_for_millis));
        let requests = report.evidence.requests;
        Self {
            boot: report.boot,
            sequence: report.sequence,
            reported_at: now,
            is_outdated: false,
            known_for,
            follows: report.follows,
            stage: report.stage,
            evidence: bounded(&report.evidence),
            rate: requests as f64 / known_for.max(RATE_TIME_CONSTANT).as_secs_f64(),
            busy_at: (requests > 0).then_some(now),
        }
    }

    /// State by a newer report of the same run, which updates the smoothed rate.
    fn next(&self, now: Moment, report: &RollOutReport) -> Self {
        let mut next = Self::first(now, report);
        let added = next
            .evidence
            .requests
            .saturating_sub(self.evidence.requests);
        let gap = now.since(self.reported_at).as_secs_f64();
        let kept = (-gap / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        // The mean rate since the last report is weighted by the length of that time.
        let weight = if gap > 0.0 {
            (1.0 - kept) / gap
        } else {
            1.0 / RATE_TIME_CONSTANT.as_secs_f64()
        };
        next.rate = self.rate * kept + added as f64 * weight;
        next.busy_at = if added > 0 { Some(now) } else { self.busy_at };
        next
    }

    fn is_newer(&self, report: &RollOutReport) -> bool {
        (report.boot, report.sequence) > (self.boot, self.sequence)
    }

    /// Whether the daemon has reported within `span`.
    pub(crate) fn has_reported_within(&self, now: Moment, span: Duration) -> bool {
        !self.is_outdated && now.since(self.reported_at) <= span
    }
}

/// Copies evidence with a bounded number of routes.
fn bounded(evidence: &RollOutEvidence) -> RollOutEvidence {
    let mut evidence = evidence.clone();
    evidence.routes.truncate(MAXIMUM_ROUTES);
    evidence.routes.shrink_to_fit();
    evidence
}

/// The newest report of each daemon, and the totals of earlier runs.
#[derive(Debug, Default)]
pub(crate) struct MergedTotals {
    reporters: BTreeMap<NodeId, Reporter>,
    /// Routes counted separately: those that were reported first.
    routes: BTreeSet<u32>,
    /// Totals of runs that have ended.
    earlier: Totals,
}

impl MergedTotals {
    /// Merges a report. Returns whether it was newer than the last one of its daemon.
    pub(crate) fn on_report(&mut self, now: Moment, report: &RollOutReport) -> bool {
        let held = self.reporters.get(&report.reporter);
        let newest = match held {
            Some(held) if !held.is_newer(report) => return false,
            Some(held) if held.boot == report.boot => held.next(now, report),
            Some(held) => {
                self.earlier.add_permanent(&held.evidence, &self.routes);
                Reporter::first(now, report)
            }
            None if self.reporters.len() >= MAXIMUM_REPORTERS => return false,
            None => Reporter::first(now, report),
        };
        for route in &newest.evidence.routes {
            if self.routes.len() < MAXIMUM_ROUTES {
                self.routes.insert(route.route);
            }
        }
        self.reporters.insert(report.reporter, newest);
        true
    }

    /// Marks all daemons as silent until their next report, after a freeze of this daemon.
    pub(crate) fn mark_outdated(&mut self) {
        for reporter in self.reporters.values_mut() {
            reporter.is_outdated = true;
            reporter.rate = 0.0;
        }
    }

    /// Sums over all daemons; attempts in progress only of those that are not silent.
    pub(crate) fn sum(&self, now: Moment) -> Totals {
        let mut totals = self.earlier.clone();
        for reporter in self.reporters.values() {
            totals.add_permanent(&reporter.evidence, &self.routes);
            if reporter.has_reported_within(now, SILENCE_LIMIT) {
                totals.running_on_new += u64::from(reporter.evidence.running_on_new);
                totals.running_on_old += u64::from(reporter.evidence.running_on_old);
            }
        }
        totals
    }

    /// Total of sends to the target version by the newest reports.
    pub(crate) fn new_sends(&self) -> u64 {
        let reporters = self.reporters.values();
        let sends: u64 = reporters.map(|reporter| reporter.evidence.new_sends).sum();
        self.earlier.new_sends + sends
    }

    /// State of a daemon, if it has reported.
    pub(crate) fn reporter(&self, node: NodeId) -> Option<&Reporter> {
        self.reporters.get(&node)
    }

    /// All daemons that have ever reported.
    pub(crate) fn reporters(&self) -> impl Iterator<Item = &Reporter> {
        self.reporters.values()
    }

    /// Daemons that have reported within `span`.
    pub(crate) fn recent_reporters(
        &self,
        now: Moment,
        span: Duration,
    ) -> impl Iterator<Item = (NodeId, &Reporter)> {
        let reporters = self.reporters.iter();
        reporters
            .filter(move |(_, reporter)| reporter.has_reported_within(now, span))
            .map(|(node, reporter)| (*node, reporter))
    }

    /// Total requests a second of the daemons that are not silent.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        self.recent_reporters(now, SILENCE_LIMIT)
            .map(|(_, reporter)| reporter.rate)
            .sum()
    }
}
