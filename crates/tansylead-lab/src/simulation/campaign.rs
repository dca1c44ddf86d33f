//! Many cases from one seed: which faults each has, what they came to in sum, and shrinking of the
//! first that fails.

use super::fault::FaultKind;
use super::oracle::{Violation, check};
use super::plan::CasePlan;
use super::sabotage::Sabotage;
use super::world;
use std::collections::BTreeMap;
use tansylead_types::Outcome;

/// Trials of the shrinking of one failing case, at most.
const MAXIMUM_TRIALS: usize = 400;

/// What a number of cases came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Cases run.
    pub cases: u64,
    /// Events performed.
    pub steps: u64,
    /// Queries sent.
    pub queries: u64,
    /// Answers by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Attempts that leafs ran.
    pub executions: u64,
    /// Faults that began, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
}

/// A case that broke a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// The smallest plan found that still breaks the same rule.
    pub plan: CasePlan,
    /// The plan as it was drawn.
    pub drawn: CasePlan,
    /// What it breaks.
    pub violations: Vec<Violation>,
}

/// Runs one plan.
pub fn run_case(
    plan: &CasePlan,
    sabotage: Option<Sabotage>,
    summary: &mut Summary,
) -> Vec<Violation> {
    let outcome = world::run(plan, sabotage);
    summary.add(&outcome);
    check(plan, &outcome.history)
}

/// The plan of one case of a campaign: faults singly and two at once, by turns.
pub fn plan_of(seed: u64, case: u64) -> CasePlan {
    let kinds = FaultKind::ALL.len() as u64;
    let first = FaultKind::ALL[(case % kinds) as usize];
    // Every other round has a second fault; the distance between the two grows with the rounds.
    let round = case / kinds;
    let case_seed = seed.wrapping_mul(1_000_003).wrapping_add(case);
    if round.is_multiple_of(2) {
        return CasePlan::draw(case_seed, &[first]);
    }
    let second = FaultKind::ALL[((case + 1 + round / 2) % kinds) as usize];
    CasePlan::draw(case_seed, &[first, second])
}

/// Runs cases until one fails.
pub fn run_campaign(
    plan_of: impl Fn(u64) -> CasePlan,
    cases: u64,
    sabotage: Option<Sabotage>,
    mut on_case: impl FnMut(u64, &Summary),
) -> (Summary, Option<Failure>) {
    let mut summary = Summary::default();
    for case in 0..cases {
        let plan = plan_of(case);
        let violations = run_case(&plan, sabotage, &mut summary);
        on_case(case, &summary);
        if !violations.is_empty() {
            return (summary, Some(shrink(plan, violations, sabotage)));
        }
    }
    (summary, None)
}

/// Leaves out faults and queries as long as the case still breaks the same rule.
pub fn shrink(drawn: CasePlan, violations: Vec<Violation>, sabotage: Option<Sabotage>) -> Failure {
    let mut failure = Failure {
        plan: drawn.clone(),
        drawn,
        violations,
    };
    let mut trials = MAXIMUM_TRIALS;
    for fault in (0..failure.plan.faults.len()).rev() {
        let mut plan = failure.plan.clone();
        plan.faults.remove(fault);
        failure.try_plan(plan, sabotage, &mut trials);
    }
    let mut chunk = failure.plan.queries.len() / 2;
    while chunk > 0 && trials > 0 {
        let mut start = 0;
        while start < failure.plan.queries.len() && trials > 0 {
            let mut plan = failure.plan.clone();
            let end = (start + chunk).min(plan.queries.len());
            plan.queries.drain(start..end);
            if !failure.try_plan(plan, sabotage, &mut trials) {
                start = end;
            }
        }
        chunk /= 2;
    }
    failure
}

impl Failure {
    /// Takes a smaller plan if it breaks the same rule.
    fn try_plan(&mut self, plan: CasePlan, sabotage: Option<Sabotage>, trials: &mut usize) -> bool {
        if *trials == 0 {
            return false;
        }
        *trials -= 1;
        let rule = self.violations.first().map(|violation| violation.rule);
        let violations = run_case(&plan, sabotage, &mut Summary::default());
        let breaks_same = violations.iter().any(|v| Some(v.rule) == rule);
        if breaks_same {
            self.plan = plan;
            self.violations = violations;
            self.violations
                .sort_by_key(|violation| Some(violation.rule) != rule);
        }
        breaks_same
    }
}

impl Summary {
    fn add(&mut self, outcome: &world::CaseOutcome) {
        use super::history::CallerResult;
        self.cases += 1;
        self.steps += outcome.history.steps;
        self.queries += outcome.history.callers.len() as u64;
        self.executions += outcome.history.executions.len() as u64;
        let results = outcome
            .history
            .callers
            .iter()
            .flat_map(|record| &record.results);
        for (_, result) in results {
            let name = match result {
                CallerResult::Answered(answer) => match answer.outcome {
                    Outcome::Complete => "complete",
                    Outcome::Partial => "partial",
                    Outcome::NotRun => "not_run",
                    Outcome::Unknown => "unknown",
                },
                CallerResult::NoConnection => "no connection",
                CallerResult::Broken => "broken",
            };
            *self.outcomes.entry(name).or_default() += 1;
        }
        for (kind, count) in &outcome.faults {
            *self.faults.entry(*kind).or_default() += count;
        }
    }
}
