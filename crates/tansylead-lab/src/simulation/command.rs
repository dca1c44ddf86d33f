//! The subcommand `simulate`: a long run by hand.

use super::campaign::{Failure, Summary, plan_of, run_campaign};
use super::fault::FaultKind;
use super::plan::CasePlan;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::bail;

/// Cases between two lines of progress.
const PROGRESS_CASES: u64 = 500;
/// Queries printed of a failing case.
const SHOWN_QUERIES: usize = 12;
/// Violations printed of a failing case.
const SHOWN_VIOLATIONS: usize = 10;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("simulate")
        .about("Run many daemons, leafs and the platform under virtual time with faults")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the cases"),
        )
        .arg(
            Arg::new("cases")
                .long("cases")
                .value_name("NUMBER")
                .default_value("200")
                .value_parser(value_parser!(u64))
                .help("Number of cases"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("KINDS")
                .value_delimiter(',')
                .value_parser(parse_kind)
                .help("Give every case these faults, instead of all kinds singly and in pairs"),
        )
}

/// Runs the cases; an error if one breaks a rule.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    // The machines under test log each change of state; here that would be all that one sees.
    log::set_max_level(log::LevelFilter::Off);
    let seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    let cases = *matches.get_one::<u64>("cases").unwrap_or(&1);
    let kinds = matches.get_many::<FaultKind>("faults");
    let kinds: Vec<FaultKind> = kinds.into_iter().flatten().copied().collect();
    let plan_of = |case| match kinds.as_slice() {
        [] => plan_of(seed, case),
        kinds => CasePlan::draw(seed + case, kinds),
    };
    let started = std::time::Instant::now();
    let (summary, failure) = run_campaign(plan_of, cases, None, |case, summary| {
        if (case + 1) % PROGRESS_CASES == 0 {
            println!("{} cases, {} steps", summary.cases, summary.steps);
        }
    });
    print_summary(&summary);
    println!("took {:.1} s", started.elapsed().as_secs_f64());
    match failure {
        None => Ok(()),
        Some(failure) => {
            print_failure(&failure);
            bail!("case with seed {} breaks a rule", failure.plan.seed)
        }
    }
}

fn parse_kind(text: &str) -> Result<FaultKind, String> {
    let kind = FaultKind::ALL
        .into_iter()
        .find(|kind| kind.to_string() == text);
    kind.ok_or_else(|| {
        let known: Vec<String> = FaultKind::ALL.iter().map(FaultKind::to_string).collect();
        format!("known kinds are {}", known.join(", "))
    })
}

fn print_summary(summary: &Summary) {
    println!(
        "cases {}, steps {}, queries {}, executions {}",
        summary.cases, summary.steps, summary.queries, summary.executions
    );
    for (outcome, count) in &summary.outcomes {
        println!("  answers {outcome}: {count}");
    }
    for (kind, count) in &summary.faults {
        println!("  faults {kind}: {count}");
    }
}

fn print_failure(failure: &Failure) {
    let plan = &failure.plan;
    println!("seed {} fails; shrunk schedule:", plan.seed);
    for fault in &plan.faults {
        println!("  fault {fault}");
    }
    println!(
        "  {} of {} queries",
        plan.queries.len(),
        failure.drawn.queries.len()
    );
    for query in plan.queries.iter().take(SHOWN_QUERIES) {
        println!("  query {query:?}");
    }
    for violation in failure.violations.iter().take(SHOWN_VIOLATIONS) {
        println!("  breaks {violation}");
    }
}
