//! Command line of the emulator.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use std::path::PathBuf;
use std::time::Duration;
use tansylead_emulator::configuration::MAXIMUM_BODY_BYTES;
use tansylead_emulator::demo;
use tansylead_emulator::deployment::{DeploymentPlan, SINGLE_TIMEOUT, SINGLE_WORK};
use tansylead_emulator::roll_out_runs::{self, RunsPlan, RunsReport};
use tansylead_emulator::roll_out_table::{line, table};
use tansylead_emulator::soak::{self, SoakReport};

fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    match matches.subcommand() {
        Some(("soak", matches)) => runtime.block_on(soak(matches)),
        Some(("roll-outs", matches)) => runtime.block_on(roll_outs(matches)),
        Some(("demo", matches)) => runtime.block_on(demo(matches)),
        _ => Ok(()),
    }
}

fn command() -> Command {
    let soak = Command::new("soak")
        .about("Runs real daemons under random faults and checks what callers and leafs see")
        .arg(number("seed", "First seed").default_value("1"))
        .arg(number("runs", "Runs, each with the next seed").default_value("1"))
        .arg(number("seconds", "Duration of a run, in seconds").default_value("30"));
    let demo = Command::new("demo")
        .about("Shows a deployment that serves callers while faults are injected");
    let roll_outs = Command::new("roll-outs")
        .about("Runs many roll-outs, several services at once, and prints how they ended")
        .arg(number("seed", "Seed of the first deployment").default_value("1"))
        .arg(number("runs", "Roll-outs").default_value("60"))
        .arg(number("services", "Services rolled out at once").default_value("6"))
        .arg(number("at-once", "Deployments at a time").default_value("2"))
        .arg(
            Arg::new("faults")
                .long("faults")
                .help("Inject random faults into a third of the deployments")
                .action(ArgAction::SetTrue),
        );
    Command::new("tansylead-emulator")
        .about("Emulator of the users' platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_plan(soak))
        .subcommand(with_plan(roll_outs))
        .subcommand(with_plan(demo))
}

/// Adds the arguments that describe a deployment.
fn with_plan(command: Command) -> Command {
    command
        .arg(number("daemons", "Daemons").default_value("5"))
        .arg(number("shards", "Shards of the query route").default_value("4"))
        .arg(
            number(
                "large-daemons",
                "Daemons whose machines are larger than the others'",
            )
            .default_value("0"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .help("Executable of the daemons")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/release/tansylead-platform"),
        )
}

fn plan(matches: &ArgMatches) -> DeploymentPlan {
    let program = matches.get_one::<PathBuf>("program").cloned();
    DeploymentPlan {
        daemons: value(matches, "daemons").max(1) as usize,
        zones: ["north", "middle", "south"].map(str::to_owned).to_vec(),
        shards: value(matches, "shards").max(1) as usize,
        further_services: 0,
        further_work: SINGLE_WORK,
        program: program.unwrap_or_default(),
        stale_seeds: false,
        large_daemons: value(matches, "large-daemons") as usize,
        machine: soak::MACHINE,
        body_bytes: MAXIMUM_BODY_BYTES,
        single_timeout: SINGLE_TIMEOUT,
    }
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

async fn demo(matches: &ArgMatches) -> eyre::Result<()> {
    let report = demo::run(&plan(matches), |step| println!("- {step}")).await;
    let report = report.wrap_err("run the demonstration")?;
    let counts = report.counts;
    println!(
        "{} asked, {} served, {} of them partial, {} failed, {} without an answer",
        counts.asked, counts.served, counts.partial, counts.failed, counts.unanswered
    );
    for violation in &report.violations {
        println!("{violation}");
    }
    eyre::ensure!(report.violations.is_empty(), "a guarantee was violated");
    println!("every answer was checked: no guarantee was violated");
    Ok(())
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u64))
}

async fn soak(matches: &ArgMatches) -> eyre::Result<()> {
    let plan = plan(matches);
    let duration = Duration::from_secs(value(matches, "seconds"));
    let mut failed_runs = 0;
    let first = value(matches, "seed");
    for seed in first..first + value(matches, "runs") {
        let report = soak::run(&plan, seed, duration).await;
        let report = report.wrap_err_with(|| format!("soak with seed {seed}"))?;
        if !report.violations.is_empty() {
            failed_runs += 1;
        }
        print(&report);
    }
    eyre::ensure!(failed_runs == 0, "{failed_runs} runs violated a guarantee");
    Ok(())
}

async fn roll_outs(matches: &ArgMatches) -> eyre::Result<()> {
    let plan = RunsPlan {
        deployment: DeploymentPlan {
            further_services: value(matches, "services").max(1) as usize,
            ..plan(matches)
        },
        runs: value(matches, "runs") as usize,
        seed: value(matches, "seed"),
        with_faults: matches.get_flag("faults"),
        deployments_at_once: value(matches, "at-once") as usize,
    };
    let reports = roll_out_runs::run(&plan, print_runs).await;
    let reports = reports.wrap_err("run the roll-outs")?;
    print!("{}", table(&reports));
    let failed_runs = reports
        .iter()
        .filter(|report| !report.violations.is_empty());
    let failed_runs = failed_runs.count();
    eyre::ensure!(
        failed_runs == 0,
        "{failed_runs} deployments violated a guarantee"
    );
    Ok(())
}

fn print_runs(report: &RunsReport) {
    println!("seed {}: faults: {}", report.seed, report.faults.join(", "));
    if let Some(folder) = &report.folder {
        println!("  logs: {}", folder.display());
    }
    for seen in &report.roll_outs {
        println!("  {}", line(seen));
    }
    print_violations(&report.violations);
}

fn print_violations(violations: &[String]) {
    /// Further violations rarely add information.
    const PRINTED_VIOLATIONS: usize = 20;
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}

fn print(report: &SoakReport) {
    let counts = report.counts;
    println!(
        "seed {}: {} faults, {} asked, {} served, {} of them partial, {} failed, {} without an answer, {} violations",
        report.seed,
        report.faults.len(),
        counts.asked,
        counts.served,
        counts.partial,
        counts.failed,
        counts.unanswered,
        report.violations.len(),
    );
    if let Some(folder) = &report.folder {
        println!("  logs: {}", folder.display());
        println!("  faults: {}", report.faults.join(", "));
    }
    for seen in &report.roll_outs {
        println!("  {}", line(seen));
    }
    print_violations(&report.violations);
}
