//! The pure parts of the load generator: schedule, recorder and answer checks.

use std::time::Duration;
use tansylead_lab::caller::answer::parse_body;
use tansylead_lab::caller::{CallerReply, CallerRequest, ShardLists};
use tansylead_lab::leaf::result::result_json;
use tansylead_lab::load::driver::judge;
use tansylead_lab::load::recorder::{AnswerFigures, QueryResult, Recorder, Sample};
use tansylead_lab::load::schedule::{RateRamp, Stream, poisson_schedule};
use tansylead_types::{
    ConfigObject, Outcome, PlaceName, RequestId, ServiceName, ServicePlacement, ShardId,
    ShardReplicas, Snapshot, SnapshotVersion,
};

const RUN: Duration = Duration::from_secs(20);

fn stream(rate: RateRamp) -> Stream {
    Stream {
        service: ServiceName::new("screening").unwrap(),
        place: PlaceName::new("bangkok").unwrap(),
        rate,
    }
}

#[test]
fn equal_seeds_give_equal_schedules_and_other_seeds_do_not() {
    let streams = [
        stream(RateRamp::steady(50.0)),
        stream(RateRamp::steady(50.0)),
    ];
    let schedule = poisson_schedule(&streams, RUN, 7);
    assert_eq!(schedule, poisson_schedule(&streams, RUN, 7));
    assert_ne!(schedule, poisson_schedule(&streams, RUN, 8));
    assert!(schedule.is_sorted_by_key(|arrival| arrival.at));
    let times_of = |stream: usize| -> Vec<Duration> {
        let of_stream = schedule.iter().filter(|arrival| arrival.stream == stream);
        of_stream.map(|arrival| arrival.at).collect()
    };
    assert_ne!(times_of(0), times_of(1), "streams must be independent");
}

#[test]
fn arrivals_follow_the_rate_and_spread_like_a_poisson_process() {
    let schedule = poisson_schedule(&[stream(RateRamp::steady(200.0))], RUN, 1);
    let mut counts = vec![0_f64; 200];
    for arrival in &schedule {
        counts[arrival.at.as_millis() as usize / 100] += 1.0;
    }
    let mean = counts.iter().sum::<f64>() / 200.0;
    let variance = counts
        .iter()
        .map(|count| (count - mean).powi(2))
        .sum::<f64>()
        / 200.0;
    assert!((19.0..21.0).contains(&mean), "mean {mean}");
    // Evenly spaced arrivals would have a variance near 0; a Poisson process has the mean's.
    assert!(
        (0.7..1.4).contains(&(variance / mean)),
        "variance {variance}"
    );
}

#[test]
fn a_ramp_moves_the_rate() {
    let ramp = RateRamp {
        start: 0.0,
        end: 100.0,
    };
    let schedule = poisson_schedule(&[stream(ramp)], RUN, 1);
    let early = schedule
        .iter()
        .filter(|arrival| arrival.at < RUN / 2)
        .count();
    let late = schedule.len() - early;
    assert!(late > 2 * early, "{early} early, {late} late");
}

fn sample(planned_millis: u64, latency_millis: u64, result: QueryResult) -> Sample {
    Sample {
        stream: 0,
        planned: Duration::from_millis(planned_millis),
        latency: Duration::from_millis(latency_millis),
        generator_lag: Duration::ZERO,
        reason: (!result.is_complete()).then(|| "why".to_owned()),
        result,
    }
}

fn answered(outcome: Outcome, total: u32, answered: u32, attempts: u32) -> QueryResult {
    QueryResult::Answered(AnswerFigures {
        outcome,
        total,
        answered,
        attempts,
        has_retry_after: outcome == Outcome::NotRun,
    })
}

#[test]
fn recorder_counts_every_query_once_under_its_planned_second() {
    let mut recorder = Recorder::new(Duration::from_secs(1));
    recorder.record(&sample(900, 10, answered(Outcome::Complete, 4, 4, 4)));
    recorder.record(&sample(1_000, 2_500, answered(Outcome::Complete, 4, 4, 5)));
    recorder.record(&sample(1_900, 20, answered(Outcome::Partial, 4, 3, 4)));
    recorder.record(&sample(2_000, 1, answered(Outcome::NotRun, 4, 0, 0)));
    recorder.record(&sample(2_100, 1, QueryResult::Lost("cut".to_owned())));
    recorder.record(&sample(2_200, 1, QueryResult::Wrong("mixed".to_owned())));
    let totals = recorder.totals();
    assert_eq!(totals.queries, 5);
    assert_eq!((totals.complete, totals.partial, totals.not_run), (1, 1, 1));
    assert_eq!((totals.lost, totals.wrong, totals.rejected), (1, 1, 0));
    assert_eq!(totals.not_run_with_retry_after, 1);
    assert!((totals.coverage() - 7.0 / 8.0).abs() < 1e-9);
    assert!((totals.share_complete() - 0.2).abs() < 1e-9);
    assert!((totals.extra_load() - 1.0 / 8.0).abs() < 1e-9);
    let slowest = totals.served_latency.quantile_millis(1.0);
    assert!((2_490.0..2_510.0).contains(&slowest), "{slowest}");
    let by_second: Vec<u64> = recorder
        .by_second()
        .values()
        .map(|second| second.queries)
        .collect();
    assert_eq!(by_second, [1, 2, 3]);
    assert_eq!(recorder.complaints().len(), 2);
    assert_eq!(recorder.reasons().get("why"), Some(&4));
}

const QUERY: &str = r#"{"subject":"r1"}"#;
const SNAPSHOT: SnapshotVersion = SnapshotVersion(3);

fn shard(name: &str) -> ShardId {
    ShardId::new(name).unwrap()
}

/// Snapshot 3 of the service has the shards s1 and s2.
fn shard_lists() -> ShardLists {
    let replicas = |name: &str| ShardReplicas {
        shard: shard(name),
        replicas: Vec::new(),
    };
    let placement = ServicePlacement {
        service: ServiceName::new("screening").unwrap(),
        place: PlaceName::new("bangkok").unwrap(),
        leafs: Vec::new(),
        snapshots: vec![Snapshot {
            version: SNAPSHOT,
            shards: vec![replicas("s1"), replicas("s2")],
        }],
    };
    ShardLists::from_objects([&ConfigObject::Placement(placement)])
}

fn judged(status: u16, body: &str) -> QueryResult {
    let request = CallerRequest {
        request: RequestId::new("r1").unwrap(),
        service: ServiceName::new("screening").unwrap(),
        query: QUERY.to_owned(),
        routing_key: None,
        deadline: RUN,
        key: None,
    };
    let reply = CallerReply {
        status,
        has_retry_after: status == 503,
        closes_connection: false,
        latency: Duration::ZERO,
        body: parse_body(body.as_bytes()).unwrap(),
    };
    judge(&request, &shard_lists(), &reply)
}

/// An answer with the given request id, coverage and results.
fn answer(request: &str, outcome: &str, coverage: &str, results: &[String]) -> String {
    let results = results.join(",");
    format!(
        r#"{{"request":"{request}","outcome":"{outcome}","snapshot":3,
            "coverage":{coverage},"results":[{results}],"attempts":2,"reason":null}}"#
    )
}

/// The result of a shard, as a leaf gives it for a request, shard and snapshot.
fn result(name: &str, request: &str, searched: &str, snapshot: u64) -> String {
    let request = RequestId::new(request).unwrap();
    let version = SnapshotVersion(snapshot);
    let text = result_json(&request, &shard(searched), version, QUERY, 2).unwrap();
    format!(r#"{{"shard":"{name}","result":{text}}}"#)
}

const BOTH: &str = r#"{"total":2,"answered":2,"missing":[]}"#;
const FIRST: &str = r#"{"total":2,"answered":1,"missing":[{"shard":"s2","reason":"no_replica"}]}"#;

#[test]
fn right_answers_pass() {
    let (s1, s2) = (result("s1", "r1", "s1", 3), result("s2", "r1", "s2", 3));
    let complete = judged(200, &answer("r1", "complete", BOTH, &[s1.clone(), s2]));
    assert_eq!(complete, answered(Outcome::Complete, 2, 2, 2));
    let partial = judged(207, &answer("r1", "partial", FIRST, &[s1]));
    assert_eq!(partial, answered(Outcome::Partial, 2, 1, 2));
}

#[test]
fn every_broken_promise_is_named() {
    let (s1, s2) = (result("s1", "r1", "s1", 3), result("s2", "r1", "s2", 3));
    let both = [s1.clone(), s2.clone()];
    let doubled = [s1.clone(), s1.clone()];
    let crossed = [result("s1", "r9", "s1", 3), s2.clone()];
    let mixed = [result("s1", "r1", "s1", 4), s2.clone()];
    let other_shard = [result("s1", "r1", "s2", 3), s2.clone()];
    let other_list = [s1.clone(), result("s3", "r1", "s3", 3)];
    let verdicts = [
        judged(200, &answer("r2", "complete", BOTH, &both)),
        judged(200, &answer("r1", "complete", BOTH, &doubled)),
        judged(
            200,
            &answer("r1", "complete", BOTH, std::slice::from_ref(&s1)),
        ),
        judged(200, &answer("r1", "complete", BOTH, &crossed)),
        judged(200, &answer("r1", "complete", BOTH, &mixed)),
        judged(200, &answer("r1", "complete", BOTH, &other_shard)),
        judged(200, &answer("r1", "complete", BOTH, &other_list)),
        judged(207, &answer("r1", "partial", BOTH, &both)),
        judged(200, &answer("r1", "complete", FIRST, &[s1])),
    ];
    insta::assert_debug_snapshot!(verdicts);
}

#[test]
fn only_an_unavailable_answer_that_says_not_run_is_a_refusal() {
    let body = r#"{"error":{"code":"no_place","message":"none"},"outcome":"not_run"}"#;
    assert_eq!(judged(503, body), answered(Outcome::NotRun, 0, 0, 0));
    assert_eq!(judged(400, body), QueryResult::Rejected(400));
}
