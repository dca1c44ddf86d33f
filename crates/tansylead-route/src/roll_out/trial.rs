//! One judge's view of a roll-out: takes the reports of all daemons, and decides on the stage and the grants.

use super::conclusion::ConclusionState;
use super::exposure::{Exposure, ExposureBounds};
use super::grant::{Grant, Stage};
use super::judgement::{Finding, Judgement};
use super::leadership::{FREEZE_THRESHOLD, Leadership, REPORT_WINDOW};
use super::order::{OrderId, RollOut, RollOutState};
use super::pace::{Progress, shift_start};
use super::report::RollOutReport;
use super::totals::{MergedTotals, Reporter, SILENCE_LIMIT, Totals};
use super::verdict::{
    Conclusion, ConclusionReason, ShiftWait, TrialContext, TrialCounts, TrialVerdict,
};
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Shortest time of the shift, so that there are answers under full load.
const MINIMUM_SHIFT: Duration = Duration::from_millis(500);
/// Answers under full load to wait for as long as the allowance permits. A version that fails one request in ten gives
/// four bad answers among them, which is enough to reject it.
const ANSWERS_UNDER_LOAD: u64 = 40;
/// How long a shift may go on after the deadline, or may still start once an unavailable source is back.
const SHIFT_OVERTIME: Duration = Duration::from_secs(4);
/// Two more evaluations, in which the end of the latest shift is noticed.
const OVERTIME_MARGIN: Duration = Duration::from_millis(500);
/// How long the completion is held back for attempts in progress on old leafs. One that waits for a connection there
/// may still be sent until its daemon has learned of [`Stage::Commit`].
const MAXIMUM_COMPLETION_DELAY: Duration = Duration::from_millis(1_000);

/// State of the trial of one order at one judge.
#[derive(Debug)]
pub struct RollOutTrial {
    roll_out: RollOut,
    began: Moment,
    totals: MergedTotals,
    sum: Totals,
    judgement: Judgement,
    exposure: Exposure,
    progress: Progress,
    /// How much longer than this daemon the first one has known of the order.
    head_start: Duration,
    requests_at_deadline: Option<u64>,
    evaluated_at: Option<Moment>,
    leadership: Leadership,
    stage: Stage,
    /// What the shift waited for at the last evaluation; none outside of a shift.
    shift_wait: Option<ShiftWait>,
    shift_began: Option<Moment>,
    /// Daemons that have reported, since the shift began, that they have no attempt at old leafs. What they send there
    /// afterwards they send because their grants are used up.
    drained: BTreeSet<NodeId>,
    answers_before_shift: u64,
    /// Whether any report has shown [`Stage::Shift`], whichever judge began it.
    has_shift_begun: bool,
    /// When an unavailable source last delayed a shift that was due.
    delayed_by_source: Option<Moment>,
    conclusion: ConclusionState,
    /// When the stage became `Commit`.
    committed: Option<Moment>,
}

impl RollOutTrial {
    /// Starts a trial without any reports. `judge` is this daemon.
    pub fn new(roll_out: RollOut, bounds: ExposureBounds, judge: NodeId, now: Moment) -> Self {
        let has_slack = roll_out.state == RollOutState::Ordered;
        Self {
            roll_out,
            began: now,
            totals: MergedTotals::default(),
            sum: Totals::default(),
            judgement: Judgement::default(),
            exposure: Exposure::new(bounds, judge, has_slack),
            progress: Progress::default(),
            head_start: Duration::ZERO,
            requests_at_deadline: None,
            evaluated_at: None,
            leadership: Leadership::new(judge, now, !has_slack),
            stage: Stage::Trial,
            shift_wait: None,
            shift_began: None,
            drained: BTreeSet::new(),
            answers_before_shift: 0,
            has_shift_begun: false,
            delayed_by_source: None,
            conclusion: ConclusionState::default(),
            committed: None,
        }
    }

    /// The order under trial.
    pub fn order(&self) -> OrderId {
        self.roll_out.order
    }

    /// Whether the shift begins within `lead`, is in progress, or may still start late.
    pub fn may_shift_within(&self, now: Moment, lead: Duration) -> bool {
        let elapsed = self.elapsed(now);
        let has_ended = elapsed > self.roll_out.duration + SHIFT_OVERTIME + OVERTIME_MARGIN;
        elapsed + lead >= shift_start(self.roll_out.duration) && !has_ended
    }

    /// Time since the first daemon learned of the order.
    fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.began) + self.head_start
    }

    /// The counts at the last evaluation, for the log.
    pub fn counts(&self) -> TrialCounts {
        TrialCounts::of(&self.sum)
    }

    /// Whether this judge led at the last evaluation: most daemons follow it, and most members report to it.
    pub fn is_leading(&self) -> bool {
        self.leadership.is_leading()
    }

    /// What the shift waited for at the last evaluation; none outside of a shift.
    pub fn shift_wait(&self) -> Option<ShiftWait> {
        self.shift_wait
    }

    /// Handles a report. One of an earlier run of its daemon, or older than the last one, is ignored.
    pub fn on_report(&mut self, now: Moment, report: &RollOutReport) {
        if report.order != self.roll_out.order || !self.totals.on_report(now, report) {
            return;
        }
        let known_for = Duration::from_millis(u64::from(report.known_for_millis));
        let known_here = now.since(self.began);
        self.head_start = self.head_start.max(known_for.saturating_sub(known_here));
        let is_in_shift = report.stage == Some(Stage::Shift);
        self.has_shift_begun |= is_in_shift;
        if is_in_shift && self.stage == Stage::Shift && report.evidence.running_on_old == 0 {
            self.drained.insert(report.reporter);
        }
        let taken_over = self.conclusion.adopt_reported(now, report.stage);
        self.stage = taken_over.unwrap_or(self.stage);
        let (boot, sends) = (report.boot, report.evidence.new_sends);
        self.exposure.on_report(now, report.reporter, boot, sends);
    }

    /// Evaluates the trial; called a few times each second.
    pub fn evaluate(&mut self, now: Moment, context: TrialContext<'_>) -> TrialVerdict {
        self.refresh(now);
        self.shift_wait = None;
        self.leadership.evaluate(now, context, &self.totals);
        let is_open = self.conclusion.is_open();
        if is_open && self.leadership.is_leading() {
            self.advance(now, context);
        } else if is_open {
            self.follow_leader(now);
        }
        let can_write = context.is_source_fresh && self.may_write_conclusion(now, context);
        let write = || self.conclusion.conclusion_to_write(now, context.rank);
        TrialVerdict {
            stage: self.stage,
            write: can_write.then(write).flatten(),
        }
    }

    /// The grant for a daemon that has reported.
    pub fn grant(&mut self, now: Moment, reporter: NodeId) -> Grant {
        let Some(known) = self.totals.reporter(reporter) else {
            return Grant {
                stage: self.stage,
                limit: 0,
                valid: Duration::ZERO,
            };
        };
        let is_granting = matches!(self.stage, Stage::Trial | Stage::Shift);
        if !is_granting || !self.leadership.is_leading() || self.was_frozen(now) {
            return self.exposure.grant_none(self.stage, known);
        }
        let pace = self.progress.pace(self.stage, &self.exposure);
        self.exposure
            .grant(now, pace, &self.totals, reporter, known)
    }

    /// Daemons that have reported recently, but not this judge's stage; none unless it leads. A grant pushed to them
    /// after each evaluation saves the time until their next report.
    pub fn awaiting_stage(&self, now: Moment) -> Vec<NodeId> {
        let reporters = self.totals.recent_reporters(now, REPORT_WINDOW);
        let differ = reporters.filter(|(_, reporter)| reporter.stage != Some(self.stage));
        let is_leading = self.leadership.is_leading();
        differ
            .map(|(node, _)| node)
            .filter(|_| is_leading)
            .collect()
    }

    /// Updates totals, judgement and progress, whether this judge leads or not.
    fn refresh(&mut self, now: Moment) {
        if self.was_frozen(now) {
            self.totals.mark_outdated();
            self.leadership.on_thaw(now);
        }
        let span = self.evaluated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.evaluated_at = Some(now);
        self.sum = self.totals.sum(now);
        self.judgement.evaluate(span, &self.sum);
        let elapsed = self.elapsed(now);
        if elapsed >= self.roll_out.duration {
            self.requests_at_deadline.get_or_insert(self.sum.requests);
        }
        self.progress = Progress {
            elapsed,
            duration: self.roll_out.duration,
            requests: self.requests_at_deadline.unwrap_or(self.sum.requests),
            rate: self.totals.rate(now),
        };
        if self.leadership.has_majority_known_longer(now, &self.totals) {
            self.exposure.restore_slack();
        }
    }

    fn was_frozen(&self, now: Moment) -> bool {
        self.evaluated_at
            .is_some_and(|at| now.since(at) > FREEZE_THRESHOLD)
    }

    /// Adopts the stage of the leading judge, so that this one can go on from there.
    fn follow_leader(&mut self, now: Moment) {
        let reporters = || self.totals.recent_reporters(now, REPORT_WINDOW);
        let shifting = reporters().filter(|(_, reporter)| reporter.stage == Some(Stage::Shift));
        if shifting.count() * 2 <= reporters().count() {
            self.stage = Stage::Trial;
        } else if self.stage == Stage::Trial {
            self.enter_shift(now);
        }
    }

    /// Moves to the next stage if it is time.
    fn advance(&mut self, now: Moment, context: TrialContext<'_>) {
        match self.judgement.finding() {
            Finding::Failing => return self.roll_back(ConclusionReason::Failing),
            Finding::Slow => return self.roll_back(ConclusionReason::Slow),
            Finding::NotEnough if self.progress.must_conclude() && !context.is_alone => {
                return self.roll_back(self.insufficient_evidence_reason(now));
            }
            Finding::NotEnough => self.stage = Stage::Trial,
            Finding::GoodSoFar if self.stage == Stage::Shift => self.continue_shift(now, context),
            Finding::GoodSoFar => self.begin_shift(now, context),
        }
        if matches!(self.stage, Stage::Trial | Stage::Shift) {
            self.conclude_if_due(now, context);
        }
    }

    /// Why there are too few answers. If the allowance does not cover a shift, the trial gets few sends or none.
    fn insufficient_evidence_reason(&self, now: Moment) -> ConclusionReason {
        let used = self.exposure.used(now, &self.totals);
        let has_allowance_for_shift = self.progress.has_allowance_for_shift(&self.exposure, used);
        if has_allowance_for_shift {
            ConclusionReason::NoEvidence
        } else {
            ConclusionReason::NoRoom
        }
    }

    fn roll_back(&mut self, reason: ConclusionReason) {
        self.stage = Stage::RollBack;
        self.conclusion.conclude(Conclusion::RollBack, reason);
    }

    fn begin_shift(&mut self, now: Moment, context: TrialContext<'_>) {
        if self.progress.elapsed < self.progress.shift_start() {
            return;
        }
        if !context.is_source_fresh {
            self.delayed_by_source = Some(now);
            return;
        }
        let used = self.exposure.used(now, &self.totals);
        let is_allowed = self.has_shift_begun
            || context.is_alone
            || self.progress.has_allowance_for_shift(&self.exposure, used);
        if is_allowed {
            self.enter_shift(now);
        }
    }

    fn enter_shift(&mut self, now: Moment) {
        self.stage = Stage::Shift;
        self.shift_began = Some(now);
        self.drained.clear();
        self.answers_before_shift = self.judgement.new_answers();
    }

    fn continue_shift(&mut self, now: Moment, context: TrialContext<'_>) {
        if !context.is_source_fresh {
            self.stage = Stage::Trial;
            self.delayed_by_source = Some(now);
            return;
        }
        self.shift_wait = self.wait_in_shift(now, context);
        if self.shift_wait.is_none() {
            self.stage = Stage::Commit;
            let reason = ConclusionReason::AsGood;
            self.conclusion.conclude(Conclusion::Complete, reason);
        }
    }

    /// What the shift waits for; none if the target version can be accepted.
    fn wait_in_shift(&self, now: Moment, context: TrialContext<'_>) -> Option<ShiftWait> {
        let began = self.shift_began.unwrap_or(now);
        if now.since(began) < MINIMUM_SHIFT {
            return Some(ShiftWait::MinimumTime);
        }
        if !self.have_reported(Stage::Shift, now, began, context) {
            return Some(ShiftWait::Reports);
        }
        if !self.have_drained(now, context) {
            return Some(ShiftWait::OldAttempts);
        }
        if !self.has_enough_under_load(now) {
            return Some(ShiftWait::Answers);
        }
        let doubt = self.judgement.suspicion(self.progress.rate);
        doubt.map(|_| ShiftWait::Doubt)
    }

    /// Whether there are enough answers under load, or no allowance to wait for more.
    fn has_enough_under_load(&self, now: Moment) -> bool {
        let answers = self.judgement.new_answers();
        let under_load = answers.saturating_sub(self.answers_before_shift);
        let is_enough = under_load >= ANSWERS_UNDER_LOAD && !self.judgement.is_doubtful();
        let used = self.exposure.used(now, &self.totals);
        is_enough || !self.progress.can_extend_shift(&self.exposure, used)
    }

    /// Whether a conclusion may be written as far as old leafs are concerned, which a completion stops.
    fn may_write_conclusion(&mut self, now: Moment, context: TrialContext<'_>) -> bool {
        if self.stage != Stage::Commit {
            return true;
        }
        let committed = *self.committed.get_or_insert(now);
        now.since(committed) >= MAXIMUM_COMPLETION_DELAY
            || self.have_reported(Stage::Commit, now, committed, context)
                && self.are_old_leafs_idle(now, context)
    }

    /// Whether all members that are not silent have reported this stage since it began.
    fn have_reported(
        &self,
        stage: Stage,
        now: Moment,
        began: Moment,
        context: TrialContext<'_>,
    ) -> bool {
        let has_reported =
            |reporter: &Reporter| reporter.reported_at >= began && reporter.stage == Some(stage);
        let mut heard = self.heard_members(now, context);
        heard.all(|(_, reporter)| has_reported(reporter))
    }

    /// Whether every member that is not silent has been without attempts on old leafs at some time of the shift.
    fn have_drained(&self, now: Moment, context: TrialContext<'_>) -> bool {
        let mut heard = self.heard_members(now, context);
        heard.all(|(member, _)| self.drained.contains(&member))
    }

    /// Whether no member that is not silent has attempts in progress on old leafs.
    fn are_old_leafs_idle(&self, now: Moment, context: TrialContext<'_>) -> bool {
        let mut heard = self.heard_members(now, context);
        heard.all(|(_, reporter)| reporter.evidence.running_on_old == 0)
    }

    /// Members that are not silent.
    fn heard_members<'a>(
        &'a self,
        now: Moment,
        context: TrialContext<'a>,
    ) -> impl Iterator<Item = (NodeId, &'a Reporter)> {
        let members = context.members.iter();
        let known = members.filter_map(|member| Some((*member, self.totals.reporter(*member)?)));
        known.filter(move |(_, reporter)| reporter.has_reported_within(now, SILENCE_LIMIT))
    }

    /// Rolls back when it is time to conclude, unless the shift is in progress or an unavailable source has delayed it. A
    /// version that runs alone is not rolled back for lack of allowance or time: no other one could take its requests.
    fn conclude_if_due(&mut self, now: Moment, context: TrialContext<'_>) {
        let delayed_at = self.delayed_by_source;
        let was_delayed = delayed_at.is_some_and(|at| now.since(at) < SHIFT_OVERTIME);
        let is_waiting = was_delayed && self.stage == Stage::Trial;
        if !self.progress.must_conclude() || is_waiting {
            return;
        }
        let latest = self.progress.duration + SHIFT_OVERTIME;
        let is_shifting = self.stage == Stage::Shift && self.progress.elapsed < latest;
        match self.judgement.suspicion(self.progress.rate) {
            Some(Finding::Slow) => self.roll_back(ConclusionReason::Slow),
            Some(_) => self.roll_back(ConclusionReason::Failing),
            None if was_delayed || is_shifting || context.is_alone => {}
            None => self.roll_back(ConclusionReason::NoRoom),
        }
    }
}
