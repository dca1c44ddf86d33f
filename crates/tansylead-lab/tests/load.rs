//! The pure parts of the load generator: schedule, recorder and answer checks.

use std::time::Duration;
use tansylead_lab::load::check::judge;
use tansylead_lab::load::recorder::{AnswerFigures, QueryResult, Recorder, Sample};
use tansylead_lab::load::schedule::{RateRamp, Stream, poisson_schedule};
use tansylead_types::{Outcome, PlaceName, RequestId, ServiceName};

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
}

fn judged(body: &str) -> QueryResult {
    judge(&RequestId::new("r1").unwrap(), 200, false, body.as_bytes())
}

/// An answer with the given request id, coverage and results.
fn answer(request: &str, outcome: &str, coverage: &str, results: &str) -> String {
    format!(
        r#"{{"request":"{request}","outcome":"{outcome}","snapshot":3,
            "coverage":{coverage},"results":[{results}],"attempts":2}}"#
    )
}

const BOTH: &str = r#"{"total":2,"answered":2,"missing":[]}"#;

#[test]
fn right_answers_pass() {
    let results = r#"{"shard":"s1","result":{"request":"r1","shard":"s1","snapshot":3}},
                     {"shard":"s2","result":{"rows":[]}}"#;
    let complete = judged(&answer("r1", "complete", BOTH, results));
    assert!(matches!(complete, QueryResult::Answered(_)), "{complete:?}");
    let coverage = r#"{"total":2,"answered":1,
                       "missing":[{"shard":"s2","reason":"no_replica"}]}"#;
    let partial = judged(&answer(
        "r1",
        "partial",
        coverage,
        r#"{"shard":"s1","result":1}"#,
    ));
    assert!(matches!(partial, QueryResult::Answered(_)), "{partial:?}");
}

#[test]
fn every_broken_promise_is_named() {
    let one = r#"{"shard":"s1","result":1}"#;
    let two = r#"{"shard":"s1","result":1},{"shard":"s2","result":1}"#;
    let doubled = r#"{"shard":"s1","result":1},{"shard":"s1","result":1}"#;
    let crossed = r#"{"shard":"s1","result":{"request":"r9"}},{"shard":"s2","result":1}"#;
    let mixed = r#"{"shard":"s1","result":{"snapshot":4}},{"shard":"s2","result":1}"#;
    let verdicts = [
        judged(&answer("r2", "complete", BOTH, two)),
        judged(&answer("r1", "complete", BOTH, doubled)),
        judged(&answer("r1", "complete", BOTH, one)),
        judged(&answer("r1", "complete", BOTH, crossed)),
        judged(&answer("r1", "complete", BOTH, mixed)),
        judged(&answer("r1", "partial", BOTH, two)),
        judged(r#"{"error":"boom"}"#),
    ];
    insta::assert_debug_snapshot!(verdicts);
}

#[test]
fn only_an_unavailable_answer_that_says_not_run_is_a_refusal() {
    let request = RequestId::new("r1").unwrap();
    let body = br#"{"error":{"code":"no_place","message":"none"},"outcome":"not_run"}"#;
    let refused = judge(&request, 503, true, body);
    assert_eq!(refused, answered(Outcome::NotRun, 0, 0, 0));
    assert_eq!(
        judge(&request, 400, false, body),
        QueryResult::Rejected(400)
    );
    assert_eq!(
        judge(&request, 503, true, b"busy"),
        QueryResult::Rejected(503)
    );
}
