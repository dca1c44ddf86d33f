//! Finding the cause of a request's end from its id.

use tansylead_gateway::explain::{Cause, DaemonLog, explain, summarize};

const LOG: &str = r#"
{"at_us":900000,"event":"leaf overdue","leaf":"i-2","level":"INFO"}
{"at_us":1300000,"event":"attempt started","level":"INFO","request":"r1","service":"shard-1","leaf":"i-1","reason":"first","after_ms":0}
{"at_us":1300000,"event":"attempt started","level":"INFO","request":"r1","service":"shard-2","leaf":"i-2","reason":"first","after_ms":0}
{"at_us":1300001,"event":"attempt ended","level":"INFO","request":"r1","service":"shard-1","leaf":"i-1","end":"answered","cause":"200 OK","after_ms":12,"took_ms":12}
{"at_us":1300002,"event":"attempt overdue","level":"INFO","request":"r1","service":"shard-2","leaf":"i-2","after_ms":60}
{"at_us":1300003,"event":"attempt denied","level":"INFO","request":"r1","service":"shard-2","reason":"budget","after_ms":60}
{"at_us":1300004,"event":"request","level":"INFO","request":"r1","outcome":"partial","missing":1,"took_ms":230,"route":"query","version":7}
this is no log line
{"at_us":1400000,"event":"request","level":"INFO","request":"r2","outcome":"no_configuration","took_ms":0}
{"at_us":1500000,"event":"request","level":"INFO","request":"r3","outcome":"timed_out","took_ms":900}
"#;

fn log() -> DaemonLog {
    DaemonLog {
        name: "daemon-1".to_owned(),
        text: LOG.to_owned(),
    }
}

fn cause(request: &str) -> Cause {
    let explanation = explain(request, &[log()]);
    explanation.histories[0].cause.clone()
}

#[test]
fn a_partial_answer_is_traced_to_the_leaf_and_the_budget() {
    let Cause::Services { outcome, problems } = cause("r1") else {
        panic!("unexpected cause {:?}", cause("r1"));
    };
    assert_eq!(outcome, "partial");
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].service, "shard-2");
    assert_eq!(problems[0].overdue, ["i-2"]);
    assert_eq!(problems[0].denied, ["budget"]);
    assert!(!problems[0].answered);
}

#[test]
fn what_the_daemon_logged_meanwhile_is_shown() {
    let explanation = explain("r1", &[log()]);
    let context = &explanation.histories[0].context;
    assert_eq!(context.len(), 1);
    assert_eq!(context[0].event, "leaf overdue");
}

#[test]
fn other_causes_are_named() {
    assert_eq!(cause("r2"), Cause::NoConfiguration);
    let outcome = "timed_out".to_owned();
    assert_eq!(cause("r3"), Cause::Unknown { outcome });
}

#[test]
fn broken_lines_are_counted_and_unknown_ids_are_reported() {
    let explanation = explain("r9", &[log(), log()]);
    assert!(explanation.histories.is_empty());
    assert_eq!(explanation.broken_lines, 2);
    let text = explanation.to_string();
    assert!(text.contains("no line in these logs"), "{text}");
    assert!(text.contains("2 lines were no log lines"), "{text}");
}

#[test]
fn a_request_that_two_daemons_logged_has_two_histories() {
    let mut other = log();
    other.name = "daemon-2".to_owned();
    let explanation = explain("r1", &[log(), other]);
    let daemons: Vec<&str> = explanation
        .histories
        .iter()
        .map(|history| history.daemon.as_str())
        .collect();
    assert_eq!(daemons, ["daemon-1", "daemon-2"]);
}

const ENDS: &str = r#"
{"at_us":1,"event":"request","level":"INFO","request":"r1","route":"sweep","outcome":"partial","missing":2,"waits":"connection:1 budget:2","unix_seconds":50}
{"at_us":2,"event":"request","level":"INFO","request":"r2","route":"sweep","outcome":"partial","missing":1,"waits":"budget:1","unix_seconds":51}
{"at_us":3,"event":"request","level":"INFO","request":"r3","route":"sweep","outcome":"served","missing":0,"waits":"","unix_seconds":51}
{"at_us":4,"event":"attempt overdue","level":"INFO","request":"r2","service":"shard-2","leaf":"i-2"}
{"at_us":5,"event":"leaf overdue","level":"INFO","leaf":"i-2"}
"#;

#[test]
fn a_summary_counts_what_bad_requests_waited_for() {
    let log = DaemonLog {
        name: "daemon-1".to_owned(),
        text: ENDS.to_owned(),
    };
    let summary = summarize(&[log]);
    assert_eq!(summary.by_route.len(), 1);
    let row = &summary.by_route[&("sweep".to_owned(), "partial".to_owned())];
    assert_eq!((row.requests, row.missing_parts), (2, 3));
    assert_eq!(row.waits["budget"], 3);
    assert_eq!(row.waits["connection"], 1);
    assert_eq!(summary.by_second.len(), 2);
    assert_eq!(summary.by_second[&(51, "partial".to_owned())].requests, 1);
    let text = summary.to_string();
    assert!(text.contains("budget:3 connection:1"), "{text}");
}

#[test]
fn a_failure_at_a_version_under_trial_is_traced_to_the_version() {
    let text = r#"
{"at_us":1,"event":"attempt started","request":"r1","service":"search","leaf":"i-7","version":"v2","trial":"trial","reason":"first","after_ms":0}
{"at_us":2,"event":"attempt ended","request":"r1","service":"search","leaf":"i-7","version":"v2","end":"answered","cause":"500 Internal Server Error","after_ms":9,"took_ms":9}
{"at_us":3,"event":"attempt started","request":"r1","service":"search","leaf":"i-1","version":"v1","trial":"","reason":"retry","after_ms":9}
{"at_us":4,"event":"attempt ended","request":"r1","service":"search","leaf":"i-1","version":"v1","end":"answered","cause":"200 OK","after_ms":300,"took_ms":291}
{"at_us":5,"event":"request","request":"r1","outcome":"late","missing":0,"took_ms":300,"route":"query","version":7}
"#;
    let log = DaemonLog {
        name: "daemon-1".to_owned(),
        text: text.to_owned(),
    };
    let explanation = explain("r1", &[log]);
    let Cause::Services { problems, .. } = &explanation.histories[0].cause else {
        panic!("unexpected cause {:?}", explanation.histories[0].cause);
    };
    assert_eq!(problems[0].under_trial, ["i-7 of v2 (trial)"]);
    let text = explanation.to_string();
    assert!(text.contains("under trial: i-7 of v2 (trial)"), "{text}");
}
