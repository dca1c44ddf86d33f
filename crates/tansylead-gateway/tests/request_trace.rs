//! Which decisions of a request are kept to explain it.

mod common;

use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::leaf::LeafState;
use tansylead_gateway::request_trace::{
    AttemptEndKind, AttemptReason, Decision, DenialReason, EndCause, MAXIMUM_DECISIONS, PartWait,
    RequestTrace,
};
use tansylead_types::ServiceName;

const OVERDUE: Duration = Duration::from_millis(40);

fn shard(number: usize) -> ServiceName {
    ServiceName::new(format!("shard-{number}")).expect("valid name")
}

fn leaf(service: &ServiceName) -> Rc<LeafState> {
    let name = format!("leaf-of-{service}");
    common::leaf(&name, service, ([127, 0, 0, 1], 1).into())
}

fn start(trace: &RequestTrace, service: &ServiceName, reason: AttemptReason) {
    let leaf = leaf(service);
    let overdue = OVERDUE;
    let decision = Decision::Started {
        leaf,
        reason,
        overdue,
        trial: None,
    };
    trace.record(service, decision);
}

fn end(trace: &RequestTrace, service: &ServiceName, end: AttemptEndKind, cause: EndCause) {
    let decision = Decision::Ended {
        leaf: leaf(service),
        end,
        cause,
        took: OVERDUE,
    };
    trace.record(service, decision);
}

fn answer(trace: &RequestTrace, service: &ServiceName) {
    let cause = EndCause::Status(StatusCode::OK);
    end(trace, service, AttemptEndKind::Answered, cause);
}

fn overdue(trace: &RequestTrace, service: &ServiceName, is_sent: bool) {
    let leaf = leaf(service);
    trace.record(service, Decision::Overdue { leaf, is_sent });
}

fn deny(trace: &RequestTrace, service: &ServiceName, reason: DenialReason) {
    trace.record(service, Decision::Denied { reason });
}

fn services(trace: &RequestTrace) -> Vec<String> {
    let mut services = Vec::new();
    trace.for_each(|traced| services.push(traced.service.to_string()));
    services
}

/// A query over 36 shards makes 72 decisions on healthy parts; the one part that went wrong is what
/// has to be explained.
#[test]
fn the_part_that_went_wrong_outlives_many_healthy_ones() {
    let trace = RequestTrace::default();
    let shards: Vec<ServiceName> = (0..200).map(shard).collect();
    for service in &shards {
        start(&trace, service, AttemptReason::First);
    }
    for service in &shards[..199] {
        answer(&trace, service);
    }
    overdue(&trace, &shards[199], true);
    deny(&trace, &shards[199], DenialReason::Budget);
    let kept = services(&trace);
    assert!(kept.len() <= MAXIMUM_DECISIONS);
    let wrong = kept.iter().filter(|name| *name == "shard-199").count();
    assert_eq!(wrong, 2);
    assert_eq!(trace.waits().last(), Some(&(PartWait::Budget, 1)));
}

#[test]
fn decisions_of_parts_that_are_merely_open_make_way() {
    let trace = RequestTrace::default();
    for number in 0..MAXIMUM_DECISIONS {
        start(&trace, &shard(number), AttemptReason::First);
    }
    overdue(&trace, &shard(MAXIMUM_DECISIONS - 1), false);
    let kept = services(&trace);
    assert_eq!(kept.len(), MAXIMUM_DECISIONS);
    assert_eq!(kept[0], "shard-1");
    assert_eq!(trace.count(), MAXIMUM_DECISIONS + 1);
    assert!(trace.waits().contains(&(PartWait::Connection, 1)));
}

#[test]
fn the_last_healthy_part_is_kept_whole() {
    let trace = RequestTrace::default();
    for number in 0..3 {
        start(&trace, &shard(number), AttemptReason::First);
    }
    for number in [2, 0, 1] {
        answer(&trace, &shard(number));
    }
    assert_eq!(services(&trace), ["shard-1", "shard-1"]);
    assert!(trace.waits().is_empty());
}

#[test]
fn each_part_counts_with_what_it_waited_for_last() {
    let trace = RequestTrace::default();
    let shards: Vec<ServiceName> = (0..4).map(shard).collect();
    for service in &shards {
        start(&trace, service, AttemptReason::First);
        overdue(&trace, service, true);
    }
    start(&trace, &shards[0], AttemptReason::Hedge);
    deny(&trace, &shards[1], DenialReason::Attempts);
    deny(&trace, &shards[2], DenialReason::Attempts);
    let reset = EndCause::Error("reset".to_owned());
    end(&trace, &shards[3], AttemptEndKind::Failed, reset);
    let expected = [
        (PartWait::SecondAnswer, 1),
        (PartWait::Attempts, 2),
        (PartWait::Failure, 1),
    ];
    assert_eq!(trace.waits(), expected);
}

#[test]
fn a_late_answer_counts_with_what_it_waited_for() {
    let trace = RequestTrace::default();
    start(&trace, &shard(0), AttemptReason::First);
    overdue(&trace, &shard(0), true);
    deny(&trace, &shard(0), DenialReason::Budget);
    answer(&trace, &shard(0));
    assert_eq!(trace.waits(), [(PartWait::Budget, 1)]);
    assert_eq!(services(&trace).len(), 4);
}
