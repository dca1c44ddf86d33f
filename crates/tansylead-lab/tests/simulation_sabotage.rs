//! The oracle can fail: each deliberately broken variant is caught by the rule that it breaks,
//! under faults under which the unbroken system passes.

use std::time::Duration;
use tansylead_lab::simulation::campaign::{Summary, run_case};
use tansylead_lab::simulation::fault::{Fault, FaultKind};
use tansylead_lab::simulation::oracle::Rule;
use tansylead_lab::simulation::plan::{CasePlan, PlannedKey};
use tansylead_lab::simulation::sabotage::Sabotage;
use tansylead_types::Moment;

/// Cases tried until one catches the sabotage.
const CASES: u64 = 6;

fn rules_broken(plan: &CasePlan, sabotage: Option<Sabotage>) -> Vec<Rule> {
    let violations = run_case(plan, sabotage, &mut Summary::default());
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

/// Some case breaks the rule with the sabotage, and none without.
fn is_caught(sabotage: Sabotage, rule: Rule, plan_of: impl Fn(u64) -> CasePlan) {
    let plans = (1..=CASES).map(plan_of);
    let caught = plans
        .into_iter()
        .find(|plan| rules_broken(plan, Some(sabotage)).contains(&rule));
    let plan = caught.unwrap_or_else(|| panic!("{sabotage:?} did not break {rule:?}"));
    assert_eq!(
        rules_broken(&plan, None),
        [],
        "the unbroken system fails too"
    );
}

fn with_faults(kinds: &'static [FaultKind]) -> impl Fn(u64) -> CasePlan {
    move |seed| CasePlan::draw(seed, kinds)
}

/// A daemon is suspended just when many claims have been granted, until after their expiry.
fn suspended_between_claim_and_send(seed: u64) -> CasePlan {
    const SUSPENDED_AT: Moment = Moment(15_000_000);
    const SUSPENDED_FOR: Duration = Duration::from_secs(7);
    let mut plan = CasePlan::draw(seed, &[]);
    plan.faults.push(Fault {
        kind: FaultKind::DaemonFreeze,
        at: SUSPENDED_AT,
        duration: SUSPENDED_FOR,
        target: seed as usize % 3,
    });
    for (index, query) in plan
        .queries
        .iter_mut()
        .filter(|query| !query.is_probe)
        .enumerate()
    {
        query.at = SUSPENDED_AT - Duration::from_micros(1_500 * (index as u64 % 40));
        query.place = 0;
        query.daemon = seed as usize;
        query.cancel_after = None;
        query.key = Some(PlannedKey {
            number: query.number,
            expires: SUSPENDED_AT + Duration::from_secs(3),
        });
    }
    plan
}

#[test]
fn sending_after_the_expiry_is_caught() {
    is_caught(
        Sabotage::NoExpiryCheck,
        Rule::KeyExpires,
        suspended_between_claim_and_send,
    );
}

#[test]
fn sending_without_a_claim_is_caught() {
    is_caught(Sabotage::NoClaim, Rule::KeyRunsOnce, with_faults(&[]));
}

#[test]
fn going_back_to_a_lower_generation_is_caught() {
    let kinds = &[FaultKind::StoreRestored, FaultKind::DaemonKill];
    is_caught(
        Sabotage::LowerGenerations,
        Rule::TablesNeverGoBack,
        with_faults(kinds),
    );
}

#[test]
fn bytes_of_a_cancelled_attempt_are_caught() {
    let kinds = &[FaultKind::LeafStraggle];
    is_caught(
        Sabotage::CancelledBytes,
        Rule::ResultsAreTrue,
        with_faults(kinds),
    );
}

#[test]
fn coverage_on_the_newest_shard_list_is_caught() {
    let kinds = &[FaultKind::Repartition];
    is_caught(
        Sabotage::NewestShardList,
        Rule::CoverageIsTrue,
        with_faults(kinds),
    );
}

#[test]
fn a_broken_connection_taken_for_not_sent_is_caught() {
    let kinds = &[FaultKind::ConnectionBreaks];
    is_caught(
        Sabotage::BrokenIsNotSent,
        Rule::KeyRunsOnce,
        with_faults(kinds),
    );
}

#[test]
fn overlooking_that_a_leaf_leaves_is_caught() {
    let kinds = &[FaultKind::LeafDrainHealthLies];
    is_caught(
        Sabotage::NoLeavingSigns,
        Rule::LeavingLeafsRest,
        with_faults(kinds),
    );
}

#[test]
fn a_mix_of_snapshots_is_caught() {
    let kinds = &[FaultKind::Repartition];
    is_caught(
        Sabotage::MixedSnapshots,
        Rule::ResultsAreTrue,
        with_faults(kinds),
    );
}

#[test]
fn a_stop_that_cuts_queries_is_caught() {
    let kinds = &[FaultKind::RollingRestart];
    is_caught(
        Sabotage::StopAtOnce,
        Rule::StopLosesNothing,
        with_faults(kinds),
    );
}

#[test]
fn a_doubled_result_is_caught() {
    is_caught(
        Sabotage::DoubledResults,
        Rule::CoverageIsTrue,
        with_faults(&[]),
    );
}

#[test]
fn a_lost_write_reported_as_refused_is_caught() {
    let kinds = &[FaultKind::StoreLosesAnswers, FaultKind::OperatorRace];
    let rule = Rule::OperatorsAreToldTheTruth;
    is_caught(Sabotage::LostWriteIsRefused, rule, with_faults(kinds));
}

#[test]
fn waiting_forever_for_a_root_is_caught() {
    let kinds = &[FaultKind::CutRegion, FaultKind::DaemonFreeze];
    is_caught(
        Sabotage::NoForwardLimit,
        Rule::AnswerInTime,
        with_faults(kinds),
    );
}
