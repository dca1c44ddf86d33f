//! The oracle can fail: each kind of wrong answer and each broken promise is found.

use serde_json::{Value, json};
use std::time::Duration;
use tansylead_lab::caller::answer::parse_body;
use tansylead_lab::caller::{
    AnswerFault, Asked, CallerReply, CallerRequest, ExchangeFailure, ExecutionCounts,
    NonRepeatableKey, QueryRecord, Sending, ShardLists, Violation, check_reply, violations,
};
use tansylead_lab::leaf::result::result_json;
use tansylead_lab::leaf::{ExecutionEntry, ExecutionEvent, ExecutionStart};
use tansylead_types::{
    AttemptId, ConfigObject, QueryId, RequestId, ServicePlacement, ShardId, ShardReplicas,
    Snapshot, SnapshotVersion, StepError, WallTime,
};

const VERSION: SnapshotVersion = SnapshotVersion(1);
const QUERY: &str = r#"{"account":1}"#;

fn shard(name: &str) -> ShardId {
    name.parse().expect("a name")
}

fn request() -> CallerRequest {
    CallerRequest {
        request: "r.1".parse().expect("a name"),
        service: "lookup".parse().expect("a name"),
        query: QUERY.to_owned(),
        routing_key: None,
        deadline: Duration::from_secs(1),
        key: None,
    }
}

fn shard_lists() -> ShardLists {
    let entry = |name| ShardReplicas {
        shard: shard(name),
        replicas: Vec::new(),
    };
    let placement = ServicePlacement {
        service: "lookup".parse().expect("a name"),
        place: "north".parse().expect("a name"),
        leafs: Vec::new(),
        snapshots: vec![Snapshot {
            version: VERSION,
            shards: vec![entry("a"), entry("b")],
        }],
    };
    ShardLists::from_objects([&ConfigObject::Placement(placement)])
}

/// What a leaf returns for a shard, a version, a request and a body.
fn leaf_result(name: &str, version: u64, request: &str, body: &str) -> Value {
    let request: RequestId = request.parse().expect("a name");
    let text = result_json(&request, &shard(name), SnapshotVersion(version), body, 2);
    let result: Value = serde_json::from_str(&text.expect("JSON")).expect("JSON");
    json!({"shard": name, "result": result})
}

fn answer(results: &[Value], outcome: &str, total: u32, missing: &[&str]) -> Value {
    let missing: Vec<Value> = missing
        .iter()
        .map(|name| json!({"shard": name, "reason": "deadline_exceeded"}))
        .collect();
    json!({
        "request": "r.1", "outcome": outcome, "snapshot": 1, "attempts": 2, "reason": null,
        "coverage": {"total": total, "answered": results.len(), "missing": missing},
        "results": results,
    })
}

fn reply(status: u16, body: &Value) -> CallerReply {
    CallerReply {
        status,
        has_retry_after: false,
        closes_connection: false,
        latency: Duration::ZERO,
        body: parse_body(body.to_string().as_bytes()).expect("a reply"),
    }
}

fn check(status: u16, body: &Value) -> Result<(), AnswerFault> {
    check_reply(&request(), &shard_lists(), &reply(status, body))
}

fn right(name: &str) -> Value {
    leaf_result(name, 1, "r.1", QUERY)
}

#[test]
fn right_answers_pass() {
    let whole = answer(&[right("a"), right("b")], "complete", 2, &[]);
    let part = answer(&[right("a")], "partial", 2, &["b"]);
    assert_eq!(check(200, &whole), Ok(()));
    assert_eq!(check(207, &part), Ok(()));
}

#[test]
fn each_wrong_answer_is_found() {
    type Expected = fn(&AnswerFault) -> bool;
    let complete = |results: &[Value]| answer(results, "complete", 2, &[]);
    let mut other_request = complete(&[right("a"), right("b")]);
    other_request["request"] = json!("q.1");
    let mut false_total = complete(&[right("a"), right("b")]);
    false_total["coverage"]["total"] = json!(3);
    let cases: [(Value, Expected); 9] = [
        (other_request, |fault| {
            matches!(fault, AnswerFault::OtherRequest { .. })
        }),
        (
            complete(&[right("a"), leaf_result("b", 1, "q.1", QUERY)]),
            |fault| matches!(fault, AnswerFault::CrossedResult { .. }),
        ),
        (
            complete(&[right("a"), leaf_result("b", 2, "r.1", QUERY)]),
            |fault| matches!(fault, AnswerFault::MixedResult { .. }),
        ),
        (
            complete(&[right("a"), leaf_result("b", 1, "r.1", "{}")]),
            |fault| matches!(fault, AnswerFault::OtherRecords { .. }),
        ),
        (complete(&[right("a"), right("a")]), |fault| {
            matches!(fault, AnswerFault::DoubledShard { .. })
        }),
        (false_total, |fault| {
            matches!(fault, AnswerFault::FalseCoverage { .. })
        }),
        (answer(&[right("a")], "complete", 1, &[]), |fault| {
            matches!(fault, AnswerFault::OtherShardList { .. })
        }),
        (answer(&[right("a")], "complete", 2, &["b"]), |fault| {
            matches!(fault, AnswerFault::FalseOutcome { .. })
        }),
        (
            complete(&[right("a"), json!({"shard": "b", "result": {}})]),
            |fault| matches!(fault, AnswerFault::UnreadableResult { .. }),
        ),
    ];
    for (body, is_expected) in cases {
        let fault = check(200, &body).expect_err("the answer is wrong");
        assert!(is_expected(&fault), "{fault}: {body}");
    }
}

#[test]
fn only_a_key_may_be_answered_with_the_results_of_an_earlier_sending() {
    let earlier = |name| leaf_result(name, 1, "r.0", QUERY);
    let body = answer(&[earlier("a"), earlier("b")], "complete", 2, &[]);
    let keyed = record(Vec::new()).request;
    let check = |request: &CallerRequest| check_reply(request, &shard_lists(), &reply(200, &body));
    assert_eq!(check(&keyed), Ok(()));
    let fault = check(&request()).expect_err("the answer is wrong");
    assert!(matches!(fault, AnswerFault::CrossedResult { .. }));
}

fn started(sequence: u64, request: &str) -> ExecutionEntry {
    ExecutionEntry {
        sequence,
        at_unix_micros: sequence,
        event: ExecutionEvent::Started(ExecutionStart {
            leaf: "leaf".parse().expect("a name"),
            service: "lookup".parse().expect("a name"),
            request: request.parse().expect("a name"),
            root: "root".to_owned(),
            query: QueryId(1),
            attempt: AttemptId(1),
            shard: shard("a"),
            snapshot: VERSION,
            idempotency_key: Some("k1".parse().expect("a name")),
        }),
    }
}

fn sending(request: &str, outcome: &str) -> Sending {
    Sending {
        request: request.parse().expect("a name"),
        daemon: ([127, 0, 0, 1], 1).into(),
        result: Ok(reply(503, &answer(&[], outcome, 0, &[]))),
    }
}

fn cut(request: &str) -> Sending {
    let failure = StepError::new("read a reply", "daemon", "closed");
    Sending {
        result: Err(ExchangeFailure::Cut(failure)),
        ..sending(request, "unknown")
    }
}

fn record(sendings: Vec<Sending>) -> QueryRecord {
    let key = NonRepeatableKey {
        key: "k1".parse().expect("a name"),
        expires: WallTime(u64::MAX),
    };
    QueryRecord {
        group: 0,
        due: Duration::ZERO,
        request: CallerRequest {
            key: Some(key),
            ..request()
        },
        asked: Asked {
            sendings,
            latency: Duration::ZERO,
        },
        repeated: None,
        fault: None,
    }
}

fn found(sendings: Vec<Sending>, entries: &[ExecutionEntry]) -> Vec<Violation> {
    violations(&[record(sendings)], &ExecutionCounts::of(entries))
}

#[test]
fn a_key_that_ran_twice_is_found() {
    let twice = [started(1, "r.0"), started(2, "r.1")];
    let sendings = || vec![cut("r.0"), sending("r.1", "unknown")];
    let violations = found(sendings(), &twice);
    assert!(matches!(
        violations[..],
        [Violation::RanTwice { count: 2, .. }]
    ));
    assert_eq!(found(sendings(), &twice[..1]), []);
}

#[test]
fn a_false_not_run_is_found_and_a_true_one_is_not() {
    let ran = [started(1, "r.0")];
    let violations = found(vec![sending("r.0", "not_run")], &ran);
    assert!(matches!(
        violations[..],
        [Violation::NotRunButRan { count: 1, .. }]
    ));
    assert_eq!(found(vec![sending("r.0", "not_run")], &[]), []);
    assert_eq!(found(vec![cut("r.0"), sending("r.1", "not_run")], &ran), []);
}

#[test]
fn a_lost_query_and_a_complete_one_that_never_ran_are_found() {
    let violations = found(vec![cut("r.0")], &[]);
    assert!(matches!(violations[..], [Violation::Lost { .. }]));
    let violations = found(vec![sending("r.0", "complete")], &[]);
    assert!(matches!(
        violations[..],
        [Violation::CompleteButNotRun { .. }]
    ));
}
