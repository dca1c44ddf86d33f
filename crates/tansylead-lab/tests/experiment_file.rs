//! Errors of experiment files, and the standard file itself.

use std::path::Path;
use tansylead_lab::experiment::file;

/// Daemons join, read the store and take over shares of limits before a run.
const SECONDS_TO_START_AND_STOP: u64 = 7;

const MINIMAL: &str = r#"
seed = 1
rounds = 1
warm_up_seconds = 1
measured_seconds = 4

[[shape]]
name = "small"
places = ["muscat"]
daemons_per_place = 2
[[shape.service]]
name = "lookup"
leafs = 4
slots = 5
connections = 65
shards = 4
replicas = 2
median_millis = 10.0
p99_millis = 30.0
deadline_millis = 500

[[scenario]]
name = "steady"
title = "Steady load"
shapes = ["small"]
variants = ["product", "baseline"]
load = 0.6
fault = { kind = "freeze_leaf", at_seconds = 2 }

[[aim]]
text = "recovers"
scenario = "steady"
figure = "incomplete_later_than_1s_after_fault"
at_most = 0.0
"#;

fn error_after(change: &str, to: &str) -> String {
    assert!(MINIMAL.contains(change));
    file::parse(&MINIMAL.replace(change, to)).unwrap_err()
}

#[test]
fn errors_name_the_key_and_the_value() {
    assert!(file::parse(MINIMAL).is_ok());
    let errors = [
        error_after("rounds = 1", "rounds = 0"),
        error_after("rounds = 1", "rounds = 1\nrepeat = 2"),
        error_after("replicas = 2", "replicas = 5"),
        error_after("p99_millis = 30.0", "p99_millis = 3.0"),
        error_after(r#"shapes = ["small"]"#, r#"shapes = ["large"]"#),
        error_after("load = 0.6", "load = 0.0"),
        error_after("at_seconds = 2", "at_seconds = 9"),
        error_after("freeze_leaf", "melt_leaf"),
        error_after(r#"scenario = "steady""#, r#"scenario = "stead""#),
        error_after("at_most = 0.0", ""),
        error_after(r#"places = ["muscat"]"#, r#"places = ["mus cat"]"#),
    ];
    insta::assert_snapshot!(errors.join("\n----\n"));
}

#[test]
fn a_missing_file_is_named() {
    let error = file::read(Path::new("no-such-file.toml")).unwrap_err();
    assert_eq!(error.peer.0, "no-such-file.toml");
}

#[test]
fn the_standard_set_is_valid_and_short_enough() {
    let path = Path::new("../../examples/experiments/standard.toml");
    let standard = file::read(path).unwrap();
    let runs = |scenario: &file::Scenario| scenario.variants.len() * scenario.shapes.len();
    let seconds: u64 = standard
        .scenarios
        .iter()
        .map(|scenario| standard.run_length(scenario).as_secs() * runs(scenario) as u64)
        .sum::<u64>()
        * u64::from(standard.rounds);
    let run_count: usize = standard.scenarios.iter().map(runs).sum();
    let starts = run_count as u64 * u64::from(standard.rounds) * SECONDS_TO_START_AND_STOP;
    assert!(
        seconds + starts <= 900,
        "{seconds} s of load, {starts} s between"
    );
}
