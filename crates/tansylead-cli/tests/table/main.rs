//! `tansylead table` run as a process against a simulated store: output, exit codes, races and faults.

mod support;

use std::net::SocketAddr;
use support::Bench;
use tansylead_lab::store::{OutageMode, StoreFaults};
use tansylead_types::InForceAnswer;

const ROWS: &str = "screening-1,phuket,0-24,10,100\n\
    screening-1,bangkok,6-18,10,200\n\
    appeals,bangkok,0-24,1,50\n";

/// Time limit for `accept` runs that cannot succeed; it does not affect their outcome.
const SHORT_LIMIT: &str = "--time-limit-seconds 3";

#[test]
fn the_way_of_a_change() {
    let bench = Bench::new("way");
    insta::assert_snapshot!("pull-empty", bench.table("pull table.csv --store STORE"));
    bench.write(
        "table.csv",
        &format!("service,place,hours,weight,limit\n{ROWS}screening-1,krabi,0-25,1,1\nappeals,krabi,0-24,1,1\n"),
    );
    insta::assert_snapshot!("check-errors", bench.table("check table.csv --store STORE"));
    bench.write(
        "table.csv",
        &format!("service,place,hours,weight,limit\n{ROWS}"),
    );
    insta::assert_snapshot!("check-fine", bench.table("check table.csv --store STORE"));
    insta::assert_snapshot!(
        "propose",
        bench.table("propose table.csv --comment start --store STORE")
    );
    insta::assert_snapshot!(
        "review",
        bench.table("review table.csv.proposal-0.toml --store STORE")
    );
    insta::assert_snapshot!("accept", bench.accept("table.csv.proposal-0.toml", ""));
    insta::assert_snapshot!(
        "accept-again",
        bench.accept("table.csv.proposal-0.toml", "")
    );
    let generation = bench.stored_table().expect("written").generation;
    assert_eq!(generation, 1, "accepted once");
    insta::assert_snapshot!(
        "review-accepted",
        bench.table("review table.csv.proposal-0.toml --store STORE")
    );
    insta::assert_snapshot!("pull", bench.table("pull table.csv --store STORE"));
    insta::assert_snapshot!("pulled-file", bench.read("table.csv"));
    let history = bench.table("history --store STORE");
    assert_eq!(history.code, 0);
    let history = history.text;
    assert!(
        history.contains("somchai") && history.contains("start"),
        "{history}"
    );
}

#[test]
fn an_edited_file_is_not_overwritten() {
    let bench = Bench::new("edited");
    bench.propose("table.csv", ROWS);
    insta::assert_snapshot!(
        "pull-over-edits",
        bench.table("pull table.csv --store STORE")
    );
    assert_eq!(bench.table("pull table.csv --store STORE --force").code, 0);
    insta::assert_snapshot!(
        "propose-nothing",
        bench.table("propose table.csv --comment none")
    );
    bench.write(
        "table.csv",
        &format!("service,place,hours,weight,limit\n{ROWS}"),
    );
    insta::assert_snapshot!(
        "propose-twice",
        bench.table("propose table.csv --comment other")
    );
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_sees_what_changed() {
    let bench = Bench::new("race");
    bench.propose("first.csv", ROWS);
    assert_eq!(bench.accept("first.csv.proposal-0.toml", "").code, 0);
    bench.propose("somchai.csv", &ROWS.replace("10,200", "20,250"));
    bench.propose("fatma.csv", &ROWS.replace("10,200", "10,220"));
    assert_eq!(bench.accept("fatma.csv.proposal-1.toml", "").code, 0);
    insta::assert_snapshot!("conflict", bench.accept("somchai.csv.proposal-1.toml", ""));
    insta::assert_snapshot!(
        "review-overtaken",
        bench.table("review somchai.csv.proposal-1.toml --store STORE")
    );
    assert_eq!(bench.stored_table().expect("written").generation, 2);
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let bench = Bench::new("lost");
    bench.propose("table.csv", ROWS);
    bench.set_faults(&StoreFaults {
        lose_next_write_answers: 1,
        ..StoreFaults::default()
    });
    insta::assert_snapshot!(
        "accept-lost-answer",
        bench.accept("table.csv.proposal-0.toml", "")
    );
    assert_eq!(bench.stored_table().expect("written").generation, 1);
}

#[test]
fn a_store_that_is_down_or_put_back_is_told_apart() {
    let bench = Bench::new("down");
    bench.propose("table.csv", ROWS);
    bench.set_faults(&StoreFaults {
        outage: Some(OutageMode::Close),
        ..StoreFaults::default()
    });
    let down = bench.accept("table.csv.proposal-0.toml", SHORT_LIMIT);
    assert_eq!(down.code, 8, "{down}");
    assert!(
        down.text.starts_with("nothing was written by this run"),
        "{down}"
    );
    bench.set_faults(&StoreFaults::default());
    let before = bench.stored_table().map_or(0, |stored| stored.revision);
    assert_eq!(before, 0);
    assert_eq!(bench.accept("table.csv.proposal-0.toml", "").code, 0);
    let revision = bench.stored_table().expect("written").revision;
    bench.propose("second.csv", &ROWS.replace("10,200", "10,210"));
    bench.restore(revision - 1);
    insta::assert_snapshot!(
        "store-put-back",
        bench.accept("second.csv.proposal-1.toml", SHORT_LIMIT)
    );
    assert_eq!(bench.stored_table(), None);
    let daemon = bench.start_daemon(5, vec![InForceAnswer::default()]);
    bench.propose("third.csv", ROWS);
    insta::assert_snapshot!(
        "store-behind-daemons",
        bench.accept(
            "third.csv.proposal-0.toml",
            &format!("--daemon {daemon} {SHORT_LIMIT}")
        )
    );
    assert_eq!(bench.stored_table(), None);
}

fn in_force(confirmed: usize, missing: &[u16]) -> InForceAnswer {
    InForceAnswer {
        revision: 1,
        confirmed,
        total: confirmed + missing.len(),
        missing: missing
            .iter()
            .map(|&port| SocketAddr::from(([10, 0, 0, 1], port)))
            .collect(),
    }
}

#[test]
fn waiting_ends_when_the_change_is_in_force_everywhere_and_names_the_missing() {
    let bench = Bench::new("wait");
    bench.propose("table.csv", ROWS);
    let slow = bench.start_daemon(
        0,
        vec![in_force(1, &[7, 8]), in_force(2, &[8]), in_force(3, &[])],
    );
    insta::assert_snapshot!(
        "wait",
        bench.accept(
            "table.csv.proposal-0.toml",
            &format!("--daemon {slow} --wait")
        )
    );
    let incomplete = bench.start_daemon(0, vec![in_force(2, &[8])]);
    let extra_arguments = format!("--daemon {incomplete} --wait --wait-seconds 1");
    insta::assert_snapshot!(
        "wait-missing",
        bench.accept("table.csv.proposal-0.toml", &extra_arguments)
    );
}
