//! The demo: a whole deployment on loopback under real traffic, with one daemon and one leaf killed
//! midway, and every answer checked.

pub mod report;
pub mod scenario;

use crate::deployment::running::load_plan;
use crate::process::Programs;
use crate::standin;
use clap::{Arg, ArgMatches, Command};
use eyre::WrapErr;
use scenario::DemoOptions;
use std::path::PathBuf;
use std::time::Duration;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about(
            "Run a sample deployment under traffic, kill a daemon and a leaf, check every answer",
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .default_value("registry")
                .help("Directory under --examples"),
        )
        .arg(
            Arg::new("examples")
                .long("examples")
                .value_name("DIRECTORY")
                .value_parser(clap::value_parser!(PathBuf))
                .default_value("examples"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .value_parser(clap::value_parser!(u64).range(2..=600))
                .default_value("20")
                .help("Length of the traffic; the kills come in the middle"),
        )
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let examples = matches
        .get_one::<PathBuf>("examples")
        .ok_or_else(|| eyre::eyre!("--examples has no value"))?;
    let name = matches
        .get_one::<String>("deployment")
        .ok_or_else(|| eyre::eyre!("--deployment has no value"))?;
    let seconds = matches
        .get_one::<u64>("seconds")
        .ok_or_else(|| eyre::eyre!("--seconds has no value"))?;
    let options = DemoOptions {
        plan: load_plan(&examples.join(name))?,
        programs: Programs::beside_current()?,
        duration: Duration::from_secs(*seconds),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    let report = runtime.block_on(async {
        tokio::select! {
            report = scenario::run(options) => report,
            name = standin::told_to_end() => Err(eyre::eyre!("{}: everything was ended", name?)),
        }
    })?;
    println!("{}", report.text());
    println!(
        "{}",
        serde_json::to_string(&report).wrap_err("write the report")?
    );
    eyre::ensure!(
        report.violation_count == 0,
        "{} promises were broken",
        report.violation_count
    );
    Ok(())
}
