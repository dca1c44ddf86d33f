//! Broken variants: each breaks one promise by tampering between the engine and the oracle, as an
//! engine without the mechanism would, and the fuzz must notice.

use crate::builders::ROOT;
use crate::fuzz::Series;
use crate::world::Tampering;
use tansylead_query::{AttemptResult, EngineTuning, RootAction, RootEvent};
use tansylead_types::leaf::RefusalReason;
use tansylead_types::{Outcome, QueryAnswer, RequestId, ServicePolicy, SnapshotVersion};

fn must_notice(wanted: &'static str, tampering: Tampering) {
    let series = Series {
        tampering,
        wanted,
        shrinks: 0,
        ..Series::honest(EngineTuning::default(), ServicePolicy::default())
    };
    let outcome = series.run();
    let error = outcome.expect_err("the oracle noticed nothing");
    assert!(error.contains(wanted), "{error}");
}

fn must_notice_event(wanted: &'static str, event: fn(&mut RootEvent) -> bool) {
    must_notice(
        wanted,
        Tampering {
            event,
            ..Tampering::none()
        },
    );
}

fn must_notice_action(wanted: &'static str, action: fn(&mut RootAction) -> bool) {
    must_notice(
        wanted,
        Tampering {
            action,
            ..Tampering::none()
        },
    );
}

fn answer_in(action: &mut RootAction) -> Option<&mut QueryAnswer> {
    match action {
        RootAction::Finish { answer, .. } => Some(answer),
        _ => None,
    }
}

fn result_in(event: &mut RootEvent) -> Option<&mut AttemptResult> {
    match event {
        RootEvent::AttemptEnded { result, .. } => Some(result),
        _ => None,
    }
}

#[test]
fn unchecked_query_echo_is_noticed() {
    must_notice_event("result of another query", |event| {
        if let RootEvent::AttemptEnded {
            query,
            attempt,
            result: AttemptResult::Answered(answer),
        } = event
        {
            answer.query = *query;
            answer.attempt = *attempt;
            answer.request = RequestId::new(format!("request-{}", query.0)).unwrap();
        }
        true
    });
}

#[test]
fn unchecked_root_echo_is_noticed() {
    must_notice_event("result of another query", |event| {
        if let Some(AttemptResult::Answered(answer)) = result_in(event) {
            answer.root = ROOT.to_owned();
        }
        true
    });
}

#[test]
fn unchecked_refusal_echo_is_noticed() {
    must_notice_event("untrue outcome", |event| {
        if let RootEvent::AttemptEnded {
            attempt,
            result: AttemptResult::Refused(refusal),
            ..
        } = event
        {
            refusal.attempt = *attempt;
        }
        true
    });
}

#[test]
fn unchecked_snapshot_echo_is_noticed() {
    must_notice_event("result of another query, shard or snapshot", |event| {
        if let Some(AttemptResult::Answered(answer)) = result_in(event) {
            answer.snapshot = SnapshotVersion(answer.snapshot.0 - 1);
        }
        true
    });
}

#[test]
fn failure_taken_for_not_sent_is_noticed_as_second_dispatch() {
    must_notice_event("non-repeatable shard dispatched again", failed_as_not_sent);
}

#[test]
fn failure_taken_for_not_sent_is_noticed_as_untrue_outcome() {
    must_notice_event("untrue outcome", failed_as_not_sent);
}

fn failed_as_not_sent(event: &mut RootEvent) -> bool {
    if let Some(result) = result_in(event)
        && *result == AttemptResult::Failed
    {
        *result = AttemptResult::NotSent;
    }
    true
}

#[test]
fn ignored_announcement_of_leaving_is_noticed() {
    must_notice_event("sent to a leaving leaf", |event| {
        !matches!(event, RootEvent::LeafLeaving(_))
    });
}

#[test]
fn ignored_drain_mark_is_noticed() {
    must_notice_event("sent to a leaving leaf", |event| {
        match result_in(event) {
            Some(AttemptResult::Answered(answer)) => answer.load.draining = false,
            Some(AttemptResult::Refused(refusal)) if refusal.reason == RefusalReason::Draining => {
                refusal.reason = RefusalReason::Overloaded;
            }
            _ => {}
        }
        true
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
    must_notice_action("is open", |action| answer_in(action).is_none());
}

#[test]
fn missing_shard_left_out_is_noticed() {
    must_notice_action("coverage does not match", |action| {
        if let Some(answer) = answer_in(action) {
            answer.coverage.missing.pop();
        }
        true
    });
}

#[test]
fn doubled_shard_is_noticed() {
    must_notice_action("a shard stands twice", |action| {
        if let Some(answer) = answer_in(action) {
            let first = answer.results.first().cloned();
            answer.results.extend(first);
            answer.coverage.answered = answer.results.len() as u32;
        }
        true
    });
}

#[test]
fn coverage_on_another_snapshot_is_noticed() {
    must_notice_action("coverage does not match the pinned shard list", |action| {
        if let Some(answer) = answer_in(action) {
            let version = answer
                .snapshot
                .map(|version| SnapshotVersion(version.0 - 1));
            answer.snapshot = version.filter(|version| version.0 > 0);
        }
        true
    });
}

#[test]
fn partial_called_not_run_is_noticed() {
    must_notice_action("untrue outcome", |action| {
        if let Some(answer) = answer_in(action)
            && answer.outcome == Outcome::Partial
        {
            answer.outcome = Outcome::NotRun;
        }
        true
    });
}

#[test]
fn missing_retry_after_is_noticed() {
    must_notice_action("without a time to come back", |action| {
        if let Some(answer) = answer_in(action) {
            answer.retry_after = None;
        }
        true
    });
}

#[test]
fn attempts_left_running_are_noticed() {
    must_notice_action("neither ended nor cancelled", |action| {
        !matches!(action, RootAction::Cancel { .. })
    });
}

#[test]
fn exceeded_slots_are_noticed() {
    let leafs = |leafs: &mut Vec<tansylead_types::LeafDescriptor>| {
        for leaf in leafs {
            leaf.slots += 1;
        }
    };
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
    let tampering = Tampering {
        deliver_wakeups: false,
        ..Tampering::none()
    };
    must_notice("is open past its deadline", tampering);
}
