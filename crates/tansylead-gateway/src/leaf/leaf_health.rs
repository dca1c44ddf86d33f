//! Health of one leaf: whether it answers, how fast, and how often it fails.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tansylead_route::{
    Breaker, BreakerVerdict, FailureRate, LeafReport, LeafRun, ReportedSilence, Slowness,
};
use tansylead_types::Moment;

/// Factors are sent between daemons in percent.
const PERCENT: f64 = 100.0;

/// Health of one leaf, as observed by this daemon and reported by others.
#[derive(Debug, Default)]
pub(super) struct LeafHealth {
    breaker: RefCell<Breaker>,
    /// Silence of the leaf that other daemons reported.
    reported_silence: Cell<ReportedSilence>,
    slowness: Cell<Slowness>,
    failures: Cell<FailureRate>,
}

impl LeafHealth {
    /// Whether the leaf may get a new request, by its circuit breaker and by reports of other daemons.
    pub(super) fn verdict(&self, now: Moment) -> BreakerVerdict {
        if self.reported_silence.get().is_silent(now) {
            return BreakerVerdict::Avoid;
        }
        self.breaker.borrow().verdict(now)
    }

    /// Recent latency relative to what is typical. `usual_gap` is the usual time between requests.
    pub(super) fn slowness(&self, now: Moment, usual_gap: Duration) -> f64 {
        self.slowness.get().factor(now, usual_gap)
    }

    /// Share of recent answers that were failures.
    pub(super) fn failure_rate(&self, now: Moment) -> f64 {
        self.failures.get().rate(now)
    }

    /// When it last answered a request of this daemon.
    pub(super) fn answered_at(&self) -> Moment {
        self.slowness.get().answered_at()
    }

    /// Applies a report of another daemon on the leaf.
    pub(super) fn on_report(&self, now: Moment, report: &LeafReport) {
        let mut silence = self.reported_silence.get();
        match report {
            LeafReport::Silent { for_millis, .. } => {
                let since = now - Duration::from_millis((*for_millis).into());
                silence.on_silent(now, since, self.slowness.get().answered_at());
            }
            LeafReport::Answering { .. } => silence.on_answering(),
            LeafReport::Slow { percent, .. } => {
                let mut slowness = self.slowness.get();
                slowness.on_reported(now, f64::from(*percent) / PERCENT);
                self.slowness.set(slowness);
            }
        }
        self.reported_silence.set(silence);
    }

    /// Records that a request is handed to a connection.
    pub(super) fn on_sent(&self, now: Moment) {
        self.breaker.borrow_mut().on_sent(now);
    }

    /// Records that an attempt sent at `sent` has ended, in case nothing else was recorded of it.
    pub(super) fn on_abandoned(&self, sent: Moment) {
        self.breaker.borrow_mut().on_abandoned(sent);
    }

    /// Records that an attempt sent at `sent` is overdue. A leaf that has answered other requests since is
    /// slow; one that has not is unresponsive. Returns a report for other daemons.
    pub(super) fn on_overdue(
        &self,
        leaf: &LeafRun,
        now: Moment,
        sent: Moment,
        delay: Duration,
        typical: Duration,
    ) -> Option<LeafReport> {
        let mut slowness = self.slowness.get();
        if slowness.answered_at() > sent {
            slowness.on_waiting(ratio(now.since(sent), typical));
            self.slowness.set(slowness);
            return None;
        }
        if self.breaker.borrow_mut().on_overdue(now, sent, delay) {
            log::info!(leaf = leaf.leaf.as_str(), delay_ms = delay.as_millis() as u64; "leaf overdue");
        }
        let mut silence = self.reported_silence.get();
        let should_report = silence.on_found_silent(now);
        self.reported_silence.set(silence);
        should_report.then(|| LeafReport::Silent {
            leaf: leaf.clone(),
            for_millis: u32::try_from(now.since(sent).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Records that the leaf could not be reached.
    pub(super) fn on_unreachable(&self, leaf: &LeafRun, now: Moment, delay: Duration) {
        if self.breaker.borrow_mut().on_unreachable(now, delay) {
            log::info!(leaf = leaf.leaf.as_str(); "leaf unreachable");
        }
    }

    /// Records whether an attempt failed.
    pub(super) fn record_end(&self, now: Moment, failed: bool) {
        let mut failures = self.failures.get();
        failures.record(now, failed);
        self.failures.set(failures);
    }

    /// Records an answer that took `ratio` times as long as is typical. Returns reports for other
    /// daemons.
    pub(super) fn on_answer(
        &self,
        leaf: &LeafRun,
        now: Moment,
        sent: Moment,
        is_timely: bool,
        ratio: f64,
    ) -> Vec<LeafReport> {
        let mut reports = Vec::new();
        let mut silence = self.reported_silence.get();
        if silence.on_answer() {
            reports.push(LeafReport::Answering { leaf: leaf.clone() });
        }
        self.reported_silence.set(silence);
        if self.breaker.borrow_mut().on_answer(now, sent, is_timely) {
            log::info!(leaf = leaf.leaf.as_str(); "leaf sound again");
        }
        let mut slowness = self.slowness.get();
        let reported_factor = match is_timely {
            true => slowness.on_timely(now, ratio).then_some(1.0),
            false => slowness.on_late(now, sent, ratio).then_some(ratio),
        };
        self.slowness.set(slowness);
        if let Some(factor) = reported_factor {
            let percent = (factor * PERCENT) as u32;
            let leaf = leaf.clone();
            reports.push(LeafReport::Slow { leaf, percent });
        }
        reports
    }
}

/// Latency as a multiple of the typical one; 1 if there is no typical latency yet.
pub(super) fn ratio(latency: Duration, typical: Duration) -> f64 {
    if typical.is_zero() {
        return 1.0;
    }
    latency.as_secs_f64() / typical.as_secs_f64()
}
