//! Command line of the emulator.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use std::path::PathBuf;
use std::time::Duration;
use tansylead_emulator::demo;
use tansylead_emulator::deployment::DeploymentPlan;
use tansylead_emulator::soak::{self, SoakReport};

fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    match matches.subcommand() {
        Some(("soak", matches)) => runtime.block_on(soak(matches)),
        Some(("demo", matches)) => runtime.block_on(demo(matches)),
        _ => Ok(()),
    }
}

fn command() -> Command {
    let soak = Command::new("soak")
        .about("Runs real daemons under random faults and checks what callers and leafs see")
        .arg(number("seed", "First seed").default_value("1"))
        .arg(number("runs", "Runs, each with the next seed").default_value("1"))
        .arg(number("seconds", "Length of a run, in seconds").default_value("30"));
    let demo = Command::new("demo")
        .about("Shows a deployment that serves callers while things break around it");
    Command::new("tansylead-emulator")
        .about("Emulator of the users' platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_plan(soak))
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
                .help("Program of the daemons")
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
        program: program.unwrap_or_default(),
        stale_seeds: false,
        large_daemons: value(matches, "large-daemons") as usize,
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
        counts.asked, counts.served, counts.partial, counts.failed, counts.nothing
    );
    for violation in &report.violations {
        println!("{violation}");
    }
    eyre::ensure!(report.violations.is_empty(), "a promise was broken");
    println!("every answer was checked: no promise was broken");
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
    let length = Duration::from_secs(value(matches, "seconds"));
    let mut broken = 0;
    let first = value(matches, "seed");
    for seed in first..first + value(matches, "runs") {
        let report = soak::run(&plan, seed, length).await;
        let report = report.wrap_err_with(|| format!("soak with seed {seed}"))?;
        if !report.violations.is_empty() {
            broken += 1;
        }
        print(&report);
    }
    eyre::ensure!(broken == 0, "{broken} runs broke a promise");
    Ok(())
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
        counts.nothing,
        report.violations.len(),
    );
    if let Some(folder) = &report.folder {
        println!("  logs: {}", folder.display());
        println!("  faults: {}", report.faults.join(", "));
    }
    for violation in report.violations.iter().take(20) {
        println!("  {violation}");
    }
}
