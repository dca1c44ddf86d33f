//! The trials of one judge: which reports it accepts, and when they end.

mod roll_out_world;

use roll_out_world::faulty_source::{FaultySource, order, service};
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_gateway::roll_out::{Judge, JudgeContext, PauseGuard, ReportRefusal};
use tansylead_route::{
    ExposureBounds, OrderId, Revision, RollOutEvidence, RollOutReport, RollOutState, Stage,
};
use tansylead_types::{Moment, NodeId, ServiceName};

const DURATION: Duration = Duration::from_secs(20);
const BOUNDS: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 20.0,
};

fn node(number: u16) -> NodeId {
    NodeId(([10, 0, 0, 1], number).into())
}

fn report(order: u64, sequence: u64, follows: Option<NodeId>) -> RollOutReport {
    RollOutReport {
        service: service(),
        order: OrderId(order),
        reporter: node(5),
        boot: 3,
        sequence,
        known_for_millis: 100,
        follows,
        stage: None,
        evidence: RollOutEvidence::default(),
    }
}

fn judge(source: &FaultySource) -> Judge {
    let mut judge = Judge::new(node(1), BOUNDS);
    judge.set_orders(&source.orders());
    judge
}

fn ordered() -> FaultySource {
    let source = FaultySource::new();
    source.add_order(1, DURATION);
    source
}

#[test]
fn an_answer_names_the_report_that_it_answers() {
    let mut judge = judge(&ordered());
    let now = Moment::from_millis(1_000);
    let answer = judge
        .on_report(now, &report(1, 8, None), Some(2))
        .expect("a judge");
    assert_eq!((answer.judge, answer.order), (node(1), OrderId(1)));
    assert_eq!((answer.boot, answer.sequence), (3, 8));
}

#[test]
fn reports_of_other_orders_and_to_others_than_judges_are_not_accepted() {
    let source = ordered();
    let mut judge = judge(&source);
    let now = Moment::from_millis(1_000);
    let refused = judge.on_report(now, &report(1, 1, None), None);
    assert_eq!(refused, Err(ReportRefusal::NotJudge));
    let refused = judge.on_report(now, &report(2, 1, None), Some(0));
    assert_eq!(refused, Err(ReportRefusal::UnknownOrder));
    source.set_state(RollOutState::RolledBack);
    judge.set_orders(&source.orders());
    let refused = judge.on_report(now, &report(1, 2, None), Some(0));
    assert_eq!(refused, Err(ReportRefusal::UnknownOrder));
}

static NO_SERVICES: BTreeSet<ServiceName> = BTreeSet::new();

fn context(members: &[NodeId]) -> JudgeContext<'_> {
    JudgeContext {
        members,
        is_source_fresh: false,
        alone: &NO_SERVICES,
    }
}

#[test]
fn only_the_first_judge_writes_a_beginning_once_it_is_followed_and_until_it_is_confirmed() {
    let members = [node(1), node(5)];
    let source = ordered();
    let mut judge = judge(&source);
    let now = Moment::from_millis(1_000);
    let is_beginning = |judge: &mut Judge, rank| {
        let evaluations = judge.evaluate(now, context(&members), |_| rank);
        evaluations.iter().any(|evaluation| evaluation.is_beginning)
    };
    assert!(!is_beginning(&mut judge, Some(0)), "followed by nobody");
    let followed = report(1, 1, Some(node(1)));
    judge.on_report(now, &followed, Some(0)).expect("a judge");
    assert!(is_beginning(&mut judge, Some(0)));
    assert!(!is_beginning(&mut judge, Some(1)));
    assert!(!is_beginning(&mut judge, None));
    let mut running = order(1, DURATION, Revision::first_era(99));
    running.state = RollOutState::Running;
    judge.on_current(&running);
    assert!(!is_beginning(&mut judge, Some(0)));
}

#[test]
fn the_source_is_read_only_by_a_followed_judge_near_the_end() {
    let members = [node(1), node(5)];
    let mut judge = judge(&ordered());
    for (millis, follows, expected) in [
        (1_000, Some(node(1)), false),
        (16_500, Some(node(1)), true),
        (20_000, Some(node(1)), true),
        (20_500, Some(node(2)), true),
        (22_000, Some(node(2)), false),
        (24_000, Some(node(1)), true),
        (26_000, Some(node(1)), false),
    ] {
        let now = Moment::from_millis(millis);
        let mut report = report(1, millis, follows);
        report.known_for_millis = millis as u32;
        judge.on_report(now, &report, Some(0)).expect("a judge");
        let evaluations = judge.evaluate(now, context(&members), |_| Some(0));
        assert_eq!(evaluations[0].needs_source, expected, "{millis}");
    }
}

#[test]
fn a_judge_that_leads_sends_unsolicited_grants_to_daemons_that_lack_its_stage() {
    let members = [node(1), node(5)];
    let mut judge = judge(&ordered());
    let mut now = Moment::from_millis(1_000);
    let answer = judge.on_report(now, &report(1, 8, Some(node(1))), Some(0));
    let mut position = answer.expect("a judge").position();
    for _ in 0..3 {
        now = now + Duration::from_millis(250);
        let evaluations = judge.evaluate(now, context(&members), |_| Some(0));
        let [(to, grant)] = evaluations[0].grants.as_slice() else {
            panic!("one daemon lacks the stage: {evaluations:?}");
        };
        assert_eq!((*to, grant.boot), (node(5), 3));
        assert!(
            grant.position() > position,
            "each is newer than the one before"
        );
        position = grant.position();
    }
    let mut knowing = report(1, 9, Some(node(1)));
    knowing.stage = Some(Stage::Trial);
    let answer = judge.on_report(now, &knowing, Some(0)).expect("a judge");
    assert!(answer.position() > position);
    let evaluations = judge.evaluate(now, context(&members), |_| Some(0));
    assert!(evaluations[0].grants.is_empty());
}

#[test]
fn a_completion_is_held_back_until_no_attempt_is_left_at_old_leafs() {
    let members = [node(1), node(5)];
    let mut judge = judge(&ordered());
    let now = Moment::from_millis(1_000);
    let context = JudgeContext {
        members: &members,
        is_source_fresh: true,
        alone: &NO_SERVICES,
    };
    for (sequence, running_on_old, is_held_back) in [(1, 1, true), (2, 0, false)] {
        assert_eq!(judge.is_completion_held_back(), sequence > 1);
        let mut report = report(1, sequence, Some(node(1)));
        report.stage = Some(Stage::Commit);
        report.evidence.running_on_old = running_on_old;
        judge.on_report(now, &report, Some(0)).expect("a judge");
        let evaluations = judge.evaluate(now, context, |_| Some(0));
        assert_eq!(evaluations[0].write.is_none(), is_held_back);
        assert_eq!(judge.is_completion_held_back(), is_held_back);
    }
}

#[test]
fn an_order_that_replaces_another_begins_a_trial_of_its_own() {
    let source = ordered();
    let mut judge = judge(&source);
    let now = Moment::from_millis(1_000);
    judge
        .on_report(now, &report(1, 1, None), Some(0))
        .expect("a judge");
    source.add_order(2, DURATION);
    judge.set_orders(&source.orders());
    let refused = judge.on_report(now, &report(1, 2, None), Some(0));
    assert_eq!(refused, Err(ReportRefusal::UnknownOrder));
    let answer = judge.on_report(now, &report(2, 3, None), Some(0));
    assert_eq!(answer.map(|answer| answer.order), Ok(OrderId(2)));
}

#[test]
fn messages_right_after_a_pause_are_discarded() {
    let mut pauses = PauseGuard::default();
    for millis in (0..2_000).step_by(50) {
        let now = Moment::from_millis(millis);
        assert_eq!(pauses.check(now), None);
        assert!(!pauses.is_discarding(now));
    }
    let woken = Moment::from_millis(9_000);
    assert!(pauses.check(woken).is_some());
    assert!(pauses.is_discarding(woken));
    let later = Moment::from_millis(9_300);
    assert_eq!(pauses.check(later), None);
    assert!(!pauses.is_discarding(later));
}

#[test]
fn the_time_while_the_guard_is_suspended_is_no_pause() {
    let mut pauses = PauseGuard::default();
    pauses.check(Moment::from_millis(0));
    pauses.suspend();
    assert_eq!(pauses.check(Moment::from_millis(9_000)), None);
}
