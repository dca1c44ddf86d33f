//! Broken variants: each test breaks one guarantee by tampering between the engine and the oracle,
//! as an engine without the mechanism would, and the fuzz test must notice.

use crate::builders::{ROOT, request_id};
use crate::fuzz::Series;
use crate::world::Tampering;
use tansylead_query::{AttemptResult, EngineTuning, RootAction, RootEvent};
use tansylead_types::leaf::RefusalReason;
use tansylead_types::*;

fn must_notice(expected_violation: &'static str, tampering: Tampering) {
    let series = Series {
        tampering,
        expected_violation,
        shrink_iterations: 0,
        ..Series::untampered(EngineTuning::default(), ServicePolicy::default())
    };
    let outcome = series.run();
    let error = outcome.expect_err("the oracle noticed nothing");
    assert!(error.contains(expected_violation), "{error}");
}

fn must_notice_event(expected_violation: &'static str, event: fn(&mut RootEvent) -> bool) {
    must_notice(
        expected_violation,
        Tampering {
            event,
            ..Tampering::none()
        },
    );
}

fn must_notice_result(
    expected_violation: &'static str,
    result: fn(QueryId, AttemptId, &mut AttemptResult),
) {
    must_notice(
        expected_violation,
        Tampering {
            result,
            ..Tampering::none()
        },
    );
}

fn must_notice_action(expected_violation: &'static str, action: fn(&RootAction) -> bool) {
    must_notice(
        expected_violation,
        Tampering {
            action,
            ..Tampering::none()
        },
    );
}

fn must_notice_answer(expected_violation: &'static str, answer: fn(&mut QueryAnswer)) {
    must_notice(
        expected_violation,
        Tampering {
            answer,
            ..Tampering::none()
        },
    );
}

#[test]
fn unchecked_query_echo_is_noticed() {
    must_notice_result("result of another query", |query, attempt, result| {
        if let AttemptResult::Answered(answer) = result {
            answer.query = query;
            answer.attempt = attempt;
            answer.request = request_id(query);
        }
    });
}

#[test]
fn unchecked_root_echo_is_noticed() {
    must_notice_result("result of another query", |_, _, result| {
        if let AttemptResult::Answered(answer) = result {
            answer.root = ROOT.to_owned();
        }
    });
}

#[test]
fn unchecked_refusal_echo_is_noticed() {
    must_notice_result("untrue outcome", |_, attempt, result| {
        if let AttemptResult::Refused(refusal) = result {
            refusal.attempt = attempt;
        }
    });
}

#[test]
fn unchecked_snapshot_echo_is_noticed() {
    must_notice_result(
        "result of another query, shard or snapshot",
        |_, _, result| {
            if let AttemptResult::Answered(answer) = result {
                answer.snapshot = SnapshotVersion(answer.snapshot.0 - 1);
            }
        },
    );
}

#[test]
fn failure_taken_for_not_sent_is_noticed_as_second_dispatch() {
    must_notice_result("non-repeatable shard dispatched again", failed_as_not_sent);
}

#[test]
fn failure_taken_for_not_sent_is_noticed_as_untrue_outcome() {
    must_notice_result("untrue outcome", failed_as_not_sent);
}

fn failed_as_not_sent(_: QueryId, _: AttemptId, result: &mut AttemptResult) {
    if *result == AttemptResult::Failed {
        *result = AttemptResult::NotSent;
    }
}

#[test]
fn ignored_announcement_of_leaving_is_noticed() {
    let keep = |event: &mut RootEvent| !matches!(event, RootEvent::LeafLeaving(_));
    must_notice_event("sent to a leaving leaf", keep);
}

#[test]
fn ignored_drain_mark_is_noticed() {
    must_notice_result("sent to a leaving leaf", |_, _, result| match result {
        AttemptResult::Answered(answer) => answer.load.draining = false,
        AttemptResult::Refused(refusal) if refusal.reason == RefusalReason::Draining => {
            refusal.reason = RefusalReason::Overloaded;
        }
        _ => {}
    });
}

#[test]
fn ignored_draining_health_is_noticed() {
    must_notice_event("sent to a leaving leaf", |event| {
        if let RootEvent::LeafHealth {
            report: Some(report),
            ..
        } = event
        {
            report.load.draining = false;
        }
        true
    });
}

#[test]
fn lost_answer_is_noticed() {
    let keep = |action: &RootAction| !matches!(action, RootAction::Finish { .. });
    must_notice_action("is open", keep);
}

#[test]
fn attempts_left_running_are_noticed() {
    let keep = |action: &RootAction| !matches!(action, RootAction::Cancel { .. });
    must_notice_action("neither ended nor cancelled", keep);
}

#[test]
fn missing_shard_left_out_is_noticed() {
    must_notice_answer("coverage does not match", |answer| {
        answer.coverage.missing.pop();
    });
}

#[test]
fn doubled_shard_is_noticed() {
    must_notice_answer("a shard is listed twice", |answer| {
        let first = answer.results.first().cloned();
        answer.results.extend(first);
        answer.coverage.answered = answer.results.len() as u32;
    });
}

#[test]
fn coverage_on_another_snapshot_is_noticed() {
    must_notice_answer("coverage does not match the pinned shard list", |answer| {
        let version = answer
            .snapshot
            .map(|version| SnapshotVersion(version.0 - 1));
        answer.snapshot = version.filter(|version| version.0 > 0);
    });
}

#[test]
fn partial_called_not_run_is_noticed() {
    must_notice_answer("untrue outcome", |answer| {
        if answer.outcome == Outcome::Partial {
            answer.outcome = Outcome::NotRun;
        }
    });
}

#[test]
fn missing_retry_after_is_noticed() {
    must_notice_answer("without a retry_after value", |answer| {
        answer.retry_after = None
    });
}

#[test]
fn exceeded_slots_are_noticed() {
    let leafs = |leafs: &mut Vec<LeafDescriptor>| leafs.iter_mut().for_each(|leaf| leaf.slots += 1);
    must_notice(
        "attempts on",
        Tampering {
            leafs,
            ..Tampering::none()
        },
    );
}

#[test]
fn exceeded_budget_is_noticed() {
    let policy = |policy: &mut ServicePolicy| policy.retry_budget_percent = 100.0;
    must_notice(
        "extra attempts",
        Tampering {
            policy,
            ..Tampering::none()
        },
    );
}

#[test]
fn late_answer_is_noticed() {
    let deliver_wakeups = false;
    must_notice(
        "is open past its deadline",
        Tampering {
            deliver_wakeups,
            ..Tampering::none()
        },
    );
}
