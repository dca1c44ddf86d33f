//! The rules of roll-outs find what breaks them, and nothing else.

use std::time::Duration;
use tansylead_emulator::addresses::next_address;
use tansylead_emulator::leaf::LeafPlan;
use tansylead_emulator::oracle::Oracle;
use tansylead_emulator::roll_out_rules::{EXPOSURE_SLACK, RollOutId};
use tansylead_emulator::seen_roll_out::{RollOutEnd, RollOutOrder};
use tansylead_emulator::soak::{BUDGET, DRAIN_LIMIT};
use tansylead_emulator::version::{LeafVersion, VersionTrouble};

/// Sends that the bound allows where no other request reaches the service.
const ALLOWED: usize = EXPOSURE_SLACK as usize;

fn leaf(version: &str) -> LeafPlan {
    LeafPlan {
        id: format!("leaf-of-{version}"),
        service: "files".to_owned(),
        zone: "north".to_owned(),
        address: next_address(),
        advertised: next_address(),
        slots: 1,
        work: Duration::ZERO,
        version: LeafVersion::new(version, VersionTrouble::None),
    }
}

fn order(oracle: &Oracle, is_bad: bool) -> RollOutId {
    oracle.order_roll_out(RollOutOrder {
        service: "files".to_owned(),
        target: "v2".to_owned(),
        kind: "test".to_owned(),
        is_bad,
        duration: Duration::from_secs(60),
    })
}

/// So many requests reach a leaf of a version.
fn arrive(oracle: &Oracle, version: &str, requests: usize) {
    let leaf = leaf(version);
    for number in 0..requests {
        oracle.arrive(&format!("{version}-{number}"), &leaf);
    }
}

/// The rules that were broken.
fn broken(oracle: &Oracle) -> Vec<String> {
    let violations = oracle.violations(DRAIN_LIMIT, BUDGET);
    let rules = violations.iter().filter_map(|text| text.split(':').next());
    rules.map(str::to_owned).collect()
}

#[test]
fn sends_to_a_bad_version_are_bounded_by_the_requests_to_its_service() {
    let oracle = Oracle::default();
    order(&oracle, true);
    arrive(&oracle, "v1", 1_000);
    // 1,000 requests to old leafs and the sends themselves.
    let allowed = 166;
    arrive(&oracle, "v2", allowed);
    assert!(broken(&oracle).is_empty(), "{:?}", oracle.roll_outs());
    // The same requests again are sends, and no further requests.
    arrive(&oracle, "v2", 1);
    assert_eq!(broken(&oracle), ["EXPOSURE"]);
    assert_eq!(oracle.roll_outs()[0].requests, 1_000 + allowed);
}

#[test]
fn sends_to_a_good_version_are_not_bounded() {
    let oracle = Oracle::default();
    let id = order(&oracle, false);
    arrive(&oracle, "v2", 10 * ALLOWED);
    oracle.end_roll_out(id, RollOutEnd::Completed);
    assert!(broken(&oracle).is_empty());
    assert!(oracle.roll_outs()[0].is_duty_done());
}

#[test]
fn wrong_ends_break_a_rule_unless_there_were_faults() {
    for (is_bad, end) in [
        (true, RollOutEnd::Completed),
        (false, RollOutEnd::RolledBack),
    ] {
        let calm = Oracle::default();
        let id = order(&calm, is_bad);
        calm.end_roll_out(id, end);
        assert_eq!(broken(&calm), ["OUTCOME"]);
        let faulty = Oracle::default();
        let id = order(&faulty, is_bad);
        faulty.begin_fault(false);
        faulty.end_fault(false);
        faulty.end_roll_out(id, end);
        assert!(broken(&faulty).is_empty());
        assert!(!faulty.roll_outs()[0].is_duty_done());
    }
}

#[test]
fn an_end_that_turns_round_breaks_a_rule_under_faults_too() {
    let oracle = Oracle::default();
    let id = order(&oracle, true);
    oracle.begin_fault(true);
    oracle.end_roll_out(id, RollOutEnd::RolledBack);
    oracle.end_roll_out(id, RollOutEnd::RolledBack);
    assert!(broken(&oracle).is_empty());
    oracle.end_roll_out(id, RollOutEnd::Completed);
    assert_eq!(broken(&oracle), ["TURNED"]);
    oracle.turn_roll_out(id, "running");
    assert_eq!(broken(&oracle), ["TURNED", "TURNED"]);
}

#[test]
fn only_requests_whose_callers_wait_are_cut() {
    use tansylead_emulator::routes::Routes;
    let oracle = Oracle::default();
    let id = order(&oracle, false);
    let route = Routes::new(1, 0).lookup;
    oracle.ask("left", &route);
    oracle.leave_request("left");
    oracle.cut(id, &["left".to_owned()]);
    assert!(broken(&oracle).is_empty());
    oracle.ask("waits", &route);
    oracle.cut(id, &["left".to_owned(), "waits".to_owned()]);
    assert_eq!(broken(&oracle), ["CUT"]);
    assert_eq!(oracle.roll_outs()[0].cut, 1);
}

#[test]
fn a_later_order_replaces_an_earlier_one() {
    let oracle = Oracle::default();
    order(&oracle, true);
    order(&oracle, false);
    arrive(&oracle, "v2", 10 * ALLOWED);
    assert!(broken(&oracle).is_empty());
    let seen = oracle.roll_outs();
    assert!(seen[0].is_superseded && !seen[1].is_superseded);
    assert_eq!(seen[0].sends, 0);
}

#[test]
fn bad_answers_count_only_while_daemons_are_in_no_trouble() {
    let oracle = Oracle::default();
    order(&oracle, true);
    let answer_badly = |answers| {
        for _ in 0..answers {
            oracle.answer_badly(&leaf("v2"));
        }
    };
    answer_badly(49);
    oracle.begin_fault(true);
    answer_badly(49);
    arrive(&oracle, "v2", 1);
    assert_eq!(oracle.roll_outs()[0].back, None);
    let calm = Oracle::default();
    order(&calm, true);
    for _ in 0..50 {
        calm.answer_badly(&leaf("v2"));
    }
    arrive(&calm, "v2", 1);
    assert!(calm.roll_outs()[0].back.is_some());
    assert!(broken(&calm).is_empty(), "within the limit");
}
