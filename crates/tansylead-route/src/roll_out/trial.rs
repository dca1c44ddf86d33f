//! One roll-out as its judge sees it: reports of all daemons in, stage and grants out.

use super::conclusion::Concluded;
use super::exposure::{Exposure, ExposureBounds};
use super::grant::{Grant, Stage};
use super::judgement::{Finding, Judgement};
use super::leadership::{FROZEN, LATELY, Leadership};
use super::order::{OrderId, RollOut, RollOutState};
use super::pace::{Progress, shift_begins};
use super::report::RollOutReport;
use super::totals::{MergedTotals, SILENT, Totals};
use super::verdict::{Conclusion, ConclusionReason, TrialContext, TrialCounts, TrialVerdict};
use std::time::Duration;
use tansylead_types::{Moment, NodeId};

/// Least time of the shift, so that answers under the whole load are seen.
const LEAST_SHIFT: Duration = Duration::from_millis(500);
/// Answers under the whole load that are waited for while there is room: a version bad in one of ten gives
/// four bad ones among them, which is enough to condemn it.
const ANSWERS_UNDER_LOAD: u64 = 40;
/// How long after the deadline a shift may go on, or be waited for once the source is back.
const LATEST_SHIFT: Duration = Duration::from_secs(4);
/// Two looks more, in which the end of the latest shift is noticed.
const LAST_LOOKS: Duration = Duration::from_millis(500);
/// Longest time for which the completion is held back until no attempt is left at old leafs. One that waited
/// for a connection there may be sent until its daemon has heard of the commitment.
const LONGEST_CLEARING: Duration = Duration::from_millis(1_000);

/// The trial of one order at one judge.
#[derive(Debug)]
pub struct RollOutTrial {
    roll_out: RollOut,
    began: Moment,
    totals: MergedTotals,
    sum: Totals,
    judgement: Judgement,
    exposure: Exposure,
    progress: Progress,
    /// What the daemon knew of the order for longer than this one.
    head_start: Duration,
    requests_at_deadline: Option<u64>,
    looked_at: Option<Moment>,
    leadership: Leadership,
    stage: Stage,
    shift_began: Option<Moment>,
    answers_before_shift: u64,
    /// Whether a report has told of a shift, begun by whichever judge.
    has_shift_begun: bool,
    /// When the source last could not be written to at a time at which the shift was due.
    waited_for_source: Option<Moment>,
    concluded: Concluded,
    /// When the stage was first `Commit`.
    committed: Option<Moment>,
}

impl RollOutTrial {
    /// A trial of which nothing is known yet. `judge` is this daemon.
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
            looked_at: None,
            leadership: Leadership::new(judge, now, !has_slack),
            stage: Stage::Trial,
            shift_began: None,
            answers_before_shift: 0,
            has_shift_begun: false,
            waited_for_source: None,
            concluded: Concluded::default(),
            committed: None,
        }
    }

    /// The order under trial.
    pub fn order(&self) -> OrderId {
        self.roll_out.order
    }

    /// Whether the shift begins within `lead`, is under way, or may still be waited for.
    pub fn may_shift_within(&self, now: Moment, lead: Duration) -> bool {
        let elapsed = self.elapsed(now);
        let has_ended = elapsed > self.roll_out.duration + LATEST_SHIFT + LAST_LOOKS;
        elapsed + lead >= shift_begins(self.roll_out.duration) && !has_ended
    }

    /// Time since the order, by the daemon that knew of it first.
    fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.began) + self.head_start
    }

    /// The counts behind the last look, for the log.
    pub fn counts(&self) -> TrialCounts {
        TrialCounts::of(&self.sum)
    }

    /// Takes in a report. One of an earlier life, or older than the last one, changes nothing.
    pub fn on_report(&mut self, now: Moment, report: &RollOutReport) {
        if report.order != self.roll_out.order || !self.totals.on_report(now, report) {
            return;
        }
        let known_for = Duration::from_millis(u64::from(report.known_for_millis));
        let known_here = now.since(self.began);
        self.head_start = self.head_start.max(known_for.saturating_sub(known_here));
        self.has_shift_begun |= report.stage == Some(Stage::Shift);
        let taken_over = self.concluded.take_over(now, report.stage);
        self.stage = taken_over.unwrap_or(self.stage);
        let (life, sends) = (report.life, report.evidence.new_sends);
        self.exposure.on_report(now, report.reporter, life, sends);
    }

    /// Looks at the trial; called a few times each second.
    pub fn look(&mut self, now: Moment, context: TrialContext<'_>) -> TrialVerdict {
        self.refresh(now);
        self.leadership.look(now, context, &self.totals);
        let is_open = self.concluded.is_open();
        if is_open && self.leadership.leads() {
            self.advance(now, context);
        } else if is_open {
            self.keep_up(now);
        }
        let may_write = context.is_source_fresh && self.is_clear(now, context);
        let write = || self.concluded.write(now, context.rank);
        TrialVerdict {
            stage: self.stage,
            write: may_write.then(write).flatten(),
        }
    }

    /// What a daemon that has reported may send from now on.
    pub fn grant(&mut self, now: Moment, reporter: NodeId) -> Grant {
        let Some(known) = self.totals.reporter(reporter) else {
            return Grant {
                stage: self.stage,
                limit: 0,
                valid: Duration::ZERO,
            };
        };
        let hands_out = matches!(self.stage, Stage::Trial | Stage::Shift);
        if !hands_out || !self.leadership.leads() || self.was_frozen(now) {
            return self.exposure.grant_none(self.stage, known);
        }
        let pace = self.progress.pace(self.stage, &self.exposure);
        self.exposure
            .grant(now, pace, &self.totals, reporter, known)
    }

    /// Daemons heard lately that do not report this judge's stage yet. If it leads, a grant sent to them
    /// after each look, unasked, saves the time until their next report.
    pub fn awaiting_stage(&self, now: Moment) -> Vec<NodeId> {
        let heard = self.totals.heard(now, LATELY);
        let differ = heard.filter(|(_, reporter)| reporter.stage != Some(self.stage));
        let leads = self.leadership.leads();
        differ.map(|(node, _)| node).filter(|_| leads).collect()
    }

    /// Brings totals, judgement and progress up to date, whether this judge leads or not.
    fn refresh(&mut self, now: Moment) {
        if self.was_frozen(now) {
            self.totals.forget_recent();
            self.leadership.on_thaw(now);
        }
        let span = self.looked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.looked_at = Some(now);
        self.sum = self.totals.sum(now);
        self.judgement.look(span, &self.sum);
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
        if self.leadership.have_most_known_longer(now, &self.totals) {
            self.exposure.restore_slack();
        }
    }

    fn was_frozen(&self, now: Moment) -> bool {
        self.looked_at.is_some_and(|at| now.since(at) > FROZEN)
    }

    /// Takes on the stage of the judge that leads, to go on from there.
    fn keep_up(&mut self, now: Moment) {
        let heard = || self.totals.heard(now, LATELY);
        let shifting = heard().filter(|(_, reporter)| reporter.stage == Some(Stage::Shift));
        if shifting.count() * 2 <= heard().count() {
            self.stage = Stage::Trial;
        } else if self.stage == Stage::Trial {
            self.enter_shift(now);
        }
    }

    /// Goes on to the next stage if it is time.
    fn advance(&mut self, now: Moment, context: TrialContext<'_>) {
        match self.judgement.finding() {
            Finding::Failing => return self.go_back(ConclusionReason::Failing),
            Finding::Slow => return self.go_back(ConclusionReason::Slow),
            Finding::NotEnough if self.progress.must_conclude() => {
                return self.go_back(self.why_not_enough(now));
            }
            Finding::NotEnough => self.stage = Stage::Trial,
            Finding::GoodSoFar if self.stage == Stage::Shift => self.go_on_shifting(now, context),
            Finding::GoodSoFar => self.begin_shift(now, context),
        }
        if matches!(self.stage, Stage::Trial | Stage::Shift) {
            self.end_if_late(now);
        }
    }

    /// A trial that could not pay for a shift gets few sends or none.
    fn why_not_enough(&self, now: Moment) -> ConclusionReason {
        let gone = self.exposure.gone(now, &self.totals);
        let has_room = self.progress.has_room(&self.exposure, gone);
        if has_room {
            ConclusionReason::NoEvidence
        } else {
            ConclusionReason::NoRoom
        }
    }

    fn go_back(&mut self, reason: ConclusionReason) {
        self.stage = Stage::Back;
        self.concluded.conclude(Conclusion::RollBack, reason);
    }

    fn begin_shift(&mut self, now: Moment, context: TrialContext<'_>) {
        if self.progress.elapsed < self.progress.shift_begins() {
            return;
        }
        if !context.is_source_fresh {
            self.waited_for_source = Some(now);
            return;
        }
        let gone = self.exposure.gone(now, &self.totals);
        if self.has_shift_begun || self.progress.has_room(&self.exposure, gone) {
            self.enter_shift(now);
        }
    }

    fn enter_shift(&mut self, now: Moment) {
        self.stage = Stage::Shift;
        self.shift_began = Some(now);
        self.answers_before_shift = self.judgement.new_answers();
    }

    fn go_on_shifting(&mut self, now: Moment, context: TrialContext<'_>) {
        if !context.is_source_fresh {
            self.stage = Stage::Trial;
            self.waited_for_source = Some(now);
            return;
        }
        let began = self.shift_began.unwrap_or(now);
        let is_done = now.since(began) >= LEAST_SHIFT && self.has_shifted(now, began, context);
        if is_done
            && self.has_seen_load(now)
            && self.judgement.suspicion(self.progress.rate).is_none()
        {
            self.stage = Stage::Commit;
            let reason = ConclusionReason::AsGood;
            self.concluded.conclude(Conclusion::Complete, reason);
        }
    }

    /// Whether enough answers came under load, or there is no room to wait for more.
    fn has_seen_load(&self, now: Moment) -> bool {
        let answers = self.judgement.new_answers();
        let came = answers.saturating_sub(self.answers_before_shift);
        let is_enough = came >= ANSWERS_UNDER_LOAD && !self.judgement.is_doubtful();
        let gone = self.exposure.gone(now, &self.totals);
        is_enough || !self.progress.has_time_to_see(&self.exposure, gone)
    }

    /// Whether a conclusion may be written as far as old leafs are concerned: a completion stops them.
    fn is_clear(&mut self, now: Moment, context: TrialContext<'_>) -> bool {
        if self.stage != Stage::Commit {
            return true;
        }
        let committed = *self.committed.get_or_insert(now);
        now.since(committed) >= LONGEST_CLEARING
            || self.have_left_old(Stage::Commit, now, committed, context)
    }

    fn has_shifted(&self, now: Moment, began: Moment, context: TrialContext<'_>) -> bool {
        self.have_left_old(Stage::Shift, now, began, context)
    }

    /// Whether members that can be heard report this stage, and nothing at old leafs, since it began.
    fn have_left_old(
        &self,
        stage: Stage,
        now: Moment,
        began: Moment,
        context: TrialContext<'_>,
    ) -> bool {
        let members = context.members.iter();
        let mut known = members.filter_map(|member| self.totals.reporter(*member));
        known.all(|reporter| {
            let is_silent = !reporter.was_heard(now, SILENT);
            let says_so = reporter.heard_at >= began && reporter.stage == Some(stage);
            is_silent || (says_so && reporter.evidence.running_on_old == 0)
        })
    }

    /// When it is time to conclude: back, unless the shift is under way or the source has kept it from being done.
    fn end_if_late(&mut self, now: Moment) {
        let waited = self.waited_for_source;
        let is_excused = waited.is_some_and(|at| now.since(at) < LATEST_SHIFT);
        let is_waiting = is_excused && self.stage == Stage::Trial;
        if !self.progress.must_conclude() || is_waiting {
            return;
        }
        let latest = self.progress.duration + LATEST_SHIFT;
        let is_shifting = self.stage == Stage::Shift && self.progress.elapsed < latest;
        match self.judgement.suspicion(self.progress.rate) {
            Some(Finding::Slow) => self.go_back(ConclusionReason::Slow),
            Some(_) => self.go_back(ConclusionReason::Failing),
            None if is_excused || is_shifting => {}
            None => self.go_back(ConclusionReason::NoRoom),
        }
    }
}
