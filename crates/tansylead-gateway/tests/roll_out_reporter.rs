//! When a daemon reports on a roll-out, and which judge's grants it applies.

use std::time::Duration;
use tansylead_gateway::roll_out::{
    AnswerEnd, BUSY_PERIOD, Fleet, GrantMessage, QUIET_PERIOD, REPORTS_PER_SECOND, Reporter,
    report_period,
};
use tansylead_route::{
    Grant, OrderId, Revision, RollOut, RollOutEvidence, RollOutReport, RollOutState, Stage,
};
use tansylead_types::{Moment, NodeId, ServiceName, SoftwareVersion};

const BOOT: u64 = 7;
const STEP_MILLIS: u64 = 50;

fn node(number: u16) -> NodeId {
    NodeId(([10, 0, 0, 1], number).into())
}

fn judges() -> Vec<NodeId> {
    vec![node(1), node(2), node(3)]
}

fn roll_out() -> RollOut {
    RollOut {
        order: OrderId(5),
        service: ServiceName::new("screening").expect("valid name"),
        target: SoftwareVersion::new("v2").expect("valid name"),
        duration: Duration::from_secs(20),
        state: RollOutState::Running,
        changed_at: Revision::first_era(3),
    }
}

fn grant(limit: u64, stage: Stage) -> Grant {
    Grant {
        stage,
        limit,
        valid: Duration::from_secs(1),
    }
}

fn answer(judge: NodeId, report: &RollOutReport, grant: Grant) -> GrantMessage {
    GrantMessage {
        service: report.service.clone(),
        order: report.order,
        judge,
        boot: report.boot,
        sequence: report.sequence,
        grant_number: 0,
        grant,
    }
}

/// One daemon, whose clock the test moves.
struct Daemon {
    reporter: Reporter,
    millis: u64,
    evidence: RollOutEvidence,
    daemons: usize,
}

impl Daemon {
    fn new() -> Self {
        Self {
            reporter: Reporter::new(&roll_out(), node(9), Moment::from_millis(0)),
            millis: 0,
            evidence: RollOutEvidence::default(),
            daemons: 30,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.millis)
    }

    fn report(&mut self) -> Option<RollOutReport> {
        let judges = judges();
        let fleet = Fleet {
            judges: &judges,
            daemons: self.daemons,
            boot: BOOT,
        };
        self.reporter.choose_judge(self.now(), &judges);
        self.reporter.report(self.now(), &self.evidence, fleet)
    }

    /// Waits for the next report.
    fn next_report(&mut self) -> RollOutReport {
        loop {
            self.millis += STEP_MILLIS;
            if let Some(report) = self.report() {
                return report;
            }
        }
    }

    fn deliver_answer(&mut self, judge: NodeId, report: &RollOutReport, grant: Grant) -> AnswerEnd {
        let now = self.now();
        let end = self.reporter.on_answer(now, &answer(judge, report, grant));
        self.reporter.choose_judge(now, &judges());
        end
    }

    /// Sends reports for `millis`, while the judges in `answering` answer.
    fn run(&mut self, millis: u64, answering: &[NodeId], grant: Grant) {
        let until = self.millis + millis;
        while self.millis < until {
            self.millis += STEP_MILLIS;
            if let Some(report) = self.report() {
                for judge in answering {
                    self.deliver_answer(*judge, &report, grant);
                }
            }
            self.reporter.take_grant(self.now());
        }
    }
}

/// Number of reports sent in ten seconds, with or without requests; all judges answer.
fn reports_in_ten_seconds(mut daemon: Daemon, has_requests: bool) -> usize {
    let mut reports = 0;
    while daemon.millis < 10_000 {
        daemon.millis += STEP_MILLIS;
        daemon.evidence.requests += u64::from(has_requests);
        if let Some(report) = daemon.report() {
            reports += 1;
            for judge in judges() {
                daemon.deliver_answer(judge, &report, grant(1, Stage::Trial));
            }
        }
    }
    reports
}

#[test]
fn reports_are_frequent_while_requests_come_and_rare_otherwise() {
    let busy = reports_in_ten_seconds(Daemon::new(), true);
    assert!((45..=51).contains(&busy), "{busy}");
    let quiet = reports_in_ten_seconds(Daemon::new(), false);
    assert!((10..=14).contains(&quiet), "{quiet}");
}

#[test]
fn a_judge_gets_no_more_reports_however_many_daemons_there_are() {
    for daemons in [1, 50, 80, 400, 2_000, 10_000] {
        let period = report_period(true, daemons);
        let each_second = daemons as f64 / period.as_secs_f64();
        assert!(each_second <= REPORTS_PER_SECOND as f64 + 1e-6);
    }
    assert_eq!(report_period(true, 80), BUSY_PERIOD);
    assert_eq!(report_period(false, 80), QUIET_PERIOD);
    let mut large = Daemon::new();
    large.daemons = 2_000;
    assert!(reports_in_ten_seconds(large, true) <= 3);
}

#[test]
fn a_quiet_daemon_repeats_a_report_without_an_answer_soon() {
    let mut daemon = Daemon::new();
    daemon.run(3_000, &judges(), grant(1, Stage::Trial));
    daemon.next_report();
    let lost_at = daemon.millis;
    daemon.next_report();
    assert_eq!(daemon.millis - lost_at, 200);
}

#[test]
fn the_end_of_the_last_attempt_on_old_leafs_is_reported_at_once_in_the_shift_only() {
    for (stage, at_once) in [(Stage::Trial, false), (Stage::Shift, true)] {
        let mut daemon = Daemon::new();
        daemon.evidence.running_on_old = 2;
        daemon.run(1_000, &judges(), grant(9, stage));
        // Right after a report; all reports are answered.
        let report = daemon.next_report();
        daemon.deliver_answer(node(1), &report, grant(9, stage));
        daemon.millis += STEP_MILLIS;
        daemon.evidence.running_on_old = 0;
        assert_eq!(daemon.report().is_some(), at_once);
        daemon.millis += STEP_MILLIS;
        assert!(daemon.report().is_none(), "reported once");
    }
}

#[test]
fn the_commitment_is_reported_at_once_by_a_daemon_without_attempts_on_old_leafs() {
    let mut daemon = Daemon::new();
    daemon.run(1_000, &judges(), grant(9, Stage::Shift));
    let report = daemon.next_report();
    daemon.deliver_answer(node(1), &report, grant(9, Stage::Shift));
    daemon.millis += STEP_MILLIS;
    let committed = GrantMessage {
        grant_number: 1,
        ..answer(node(1), &report, grant(9, Stage::Commit))
    };
    let now = daemon.now();
    assert_eq!(
        daemon.reporter.on_answer(now, &committed),
        AnswerEnd::Accepted
    );
    daemon.reporter.take_grant(now);
    let reported = daemon.report().expect("reported at once");
    assert_eq!(reported.stage, Some(Stage::Commit));
    daemon.millis += STEP_MILLIS;
    assert!(daemon.report().is_none(), "reported once");
}

#[test]
fn the_best_judge_that_answers_is_followed() {
    let mut daemon = Daemon::new();
    let report = daemon.next_report();
    daemon.deliver_answer(node(2), &report, grant(2, Stage::Trial));
    assert_eq!(daemon.reporter.followed(), Some(node(2)));
    daemon.deliver_answer(node(1), &report, grant(1, Stage::Trial));
    assert_eq!(daemon.reporter.followed(), Some(node(1)));
    let taken = daemon.reporter.take_grant(daemon.now());
    assert_eq!(
        taken.map(|taken| (taken.judge, taken.grant.limit)),
        Some((node(1), 1))
    );
    assert_eq!(daemon.reporter.take_grant(daemon.now()), None, "once");
}

#[test]
fn a_silent_judge_is_left_for_the_next_after_its_limit_and_comes_back_with_its_answer() {
    let mut daemon = Daemon::new();
    daemon.run(2_000, &judges(), grant(1, Stage::Trial));
    let silent_from = daemon.millis;
    let mut left_after = None;
    while daemon.millis < silent_from + 2_000 {
        daemon.evidence.requests += 1;
        daemon.run(STEP_MILLIS, &[node(2), node(3)], grant(2, Stage::Trial));
        if daemon.reporter.followed() != Some(node(1)) {
            left_after.get_or_insert(daemon.millis - silent_from);
        }
    }
    assert_eq!(daemon.reporter.followed(), Some(node(2)));
    // The first unanswered report is sent up to a busy period after the judge fell silent.
    assert!(
        left_after.is_some_and(|millis| (400..=700).contains(&millis)),
        "{left_after:?}"
    );
    daemon.evidence.requests += 1;
    let report = daemon.next_report();
    daemon.deliver_answer(node(1), &report, grant(3, Stage::Trial));
    assert_eq!(daemon.reporter.followed(), Some(node(1)));
}

#[test]
fn one_lost_answer_does_not_change_the_judge() {
    let mut daemon = Daemon::new();
    for _ in 0..50 {
        daemon.evidence.requests += 1;
        daemon.run(200, &judges(), grant(1, Stage::Trial));
        daemon.evidence.requests += 1;
        daemon.run(200, &[node(2), node(3)], grant(2, Stage::Trial));
        assert_eq!(daemon.reporter.followed(), Some(node(1)));
    }
}

#[test]
fn nobody_is_followed_while_no_judge_answers() {
    let mut daemon = Daemon::new();
    daemon.run(2_000, &judges(), grant(1, Stage::Trial));
    daemon.run(3_000, &[], grant(1, Stage::Trial));
    assert_eq!(daemon.reporter.followed(), None);
}

#[test]
fn answers_that_are_doubled_reordered_or_of_another_life_change_nothing() {
    let mut daemon = Daemon::new();
    let earlier = daemon.next_report();
    daemon.evidence.requests += 1;
    let later = daemon.next_report();
    assert_eq!(
        daemon.deliver_answer(node(1), &later, grant(20, Stage::Shift)),
        AnswerEnd::Accepted
    );
    let taken = daemon.reporter.take_grant(daemon.now()).expect("new");
    assert_eq!(taken.grant.limit, 20);
    for report in [&earlier, &later] {
        let end = daemon.deliver_answer(node(1), report, grant(10, Stage::Trial));
        assert_eq!(end, AnswerEnd::Superseded);
        assert_eq!(daemon.reporter.take_grant(daemon.now()), None);
    }
    daemon.evidence.requests += 1;
    let mut foreign = daemon.next_report();
    foreign.boot = BOOT - 1;
    assert_eq!(
        daemon.deliver_answer(node(1), &foreign, grant(99, Stage::Trial)),
        AnswerEnd::Late
    );
    assert_eq!(
        daemon.deliver_answer(node(8), &later, grant(99, Stage::Trial)),
        AnswerEnd::Superseded
    );
}

#[test]
fn answers_that_waited_while_the_daemon_was_frozen_are_not_accepted() {
    let mut daemon = Daemon::new();
    let report = daemon.next_report();
    daemon.millis += 5_000;
    assert_eq!(
        daemon.deliver_answer(node(1), &report, grant(50, Stage::Trial)),
        AnswerEnd::Late
    );
    assert_eq!(daemon.reporter.take_grant(daemon.now()), None);
}

#[test]
fn unsolicited_grants_are_accepted_until_the_next_report_is_due_and_in_their_order() {
    let mut daemon = Daemon::new();
    daemon.run(2_000, &judges(), grant(1, Stage::Trial));
    let report = daemon.next_report();
    daemon.deliver_answer(node(1), &report, grant(2, Stage::Trial));
    daemon.millis += 900;
    let unsolicited = |grant_number, limit| GrantMessage {
        grant_number,
        ..answer(node(1), &report, grant(limit, Stage::Shift))
    };
    let now = daemon.now();
    for (grant_number, limit, end) in [
        (2, 30, AnswerEnd::Accepted),
        (1, 20, AnswerEnd::Superseded),
        (2, 30, AnswerEnd::Superseded),
        (3, 40, AnswerEnd::Accepted),
    ] {
        assert_eq!(
            daemon
                .reporter
                .on_answer(now, &unsolicited(grant_number, limit)),
            end
        );
    }
    let taken = daemon.reporter.take_grant(now).expect("new");
    assert_eq!(taken.grant.limit, 40);
    daemon.millis += 2_000;
    let late = daemon.reporter.on_answer(daemon.now(), &unsolicited(4, 50));
    assert_eq!(late, AnswerEnd::Late);
}

#[test]
fn a_grant_that_was_kept_for_the_next_judge_is_valid_for_what_is_left_of_it() {
    let mut daemon = Daemon::new();
    let report = daemon.next_report();
    daemon.deliver_answer(node(1), &report, grant(1, Stage::Trial));
    daemon.deliver_answer(node(2), &report, grant(2, Stage::Trial));
    daemon.reporter.take_grant(daemon.now());
    daemon.millis += 100;
    // The first judge is no longer a member.
    daemon
        .reporter
        .choose_judge(daemon.now(), &[node(2), node(3)]);
    let taken = daemon.reporter.take_grant(daemon.now()).expect("kept");
    assert_eq!(taken.judge, node(2));
    assert_eq!(taken.grant.valid, Duration::from_millis(900));
}

#[test]
fn reports_contain_judge_and_stage_and_the_first_conclusion_stays() {
    for (concluded, other) in [
        (Stage::Commit, Stage::RollBack),
        (Stage::RollBack, Stage::Commit),
    ] {
        let mut daemon = Daemon::new();
        let first = daemon.next_report();
        assert_eq!((first.follows, first.stage, first.boot), (None, None, BOOT));
        let mut last = first.sequence;
        let granted = [Stage::Trial, Stage::Shift, concluded, Stage::Trial, other];
        let reported = [Stage::Trial, Stage::Shift, concluded, concluded, concluded];
        let mut report = first;
        for (granted, reported) in granted.into_iter().zip(reported) {
            daemon.deliver_answer(node(1), &report, grant(1, granted));
            daemon.reporter.take_grant(daemon.now());
            daemon.evidence.requests += 1;
            report = daemon.next_report();
            assert!(report.sequence > last);
            last = report.sequence;
            assert_eq!(
                (report.follows, report.stage),
                (Some(node(1)), Some(reported))
            );
        }
    }
}
