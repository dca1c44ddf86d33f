//! Side-by-side experiments on tail latency, coverage and extra load.
//!
//! An experiment file names shapes of deployments and scenarios. Every scenario is run on its
//! shapes with each of its variants in turn, on the same arrival times, several rounds; variants
//! take turns in going first. All processes of a run are fresh.

pub mod aims;
pub mod cluster;
pub mod cost;
pub mod fault;
pub mod figures;
pub mod file;
pub mod plot;
pub mod report;
pub mod rounds;
pub mod run;
pub mod shape;
pub mod statistics;
pub mod usage;

use clap::{Arg, ArgMatches, Command};
use cost::CostReport;
use eyre::WrapErr;
use file::ExperimentFile;
use report::Summary;
use std::path::PathBuf;

/// Where plots go unless told otherwise.
const DEFAULT_PLOTS: &str = "docs/plots";
/// Worker threads of the load generator.
const WORKER_THREADS: usize = 4;

/// Describes the subcommand.
pub fn command() -> Command {
    let path = clap::value_parser!(PathBuf);
    Command::new("experiment")
        .about("Run the experiments described in a TOML file")
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_parser(path.clone()),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("SCENARIO")
                .num_args(1..)
                .help("Run only these scenarios"),
        )
        .arg(
            Arg::new("shape")
                .long("shape")
                .value_name("SHAPE")
                .help("Run only on this shape"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_name("COUNT")
                .value_parser(clap::value_parser!(u32).range(1..))
                .help("Rounds, instead of the file's"),
        )
        .arg(
            Arg::new("plots")
                .long("plots")
                .value_name("DIRECTORY")
                .value_parser(path)
                .default_value(DEFAULT_PLOTS)
                .help("Where the SVG plots go"),
        )
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let path = path_argument(matches, "file")?;
    let mut file = file::read(&path)?;
    if let Some(rounds) = matches.get_one::<u32>("rounds") {
        file.rounds = *rounds;
    }
    keep_chosen(&mut file, matches);
    let plots = path_argument(matches, "plots")?;
    std::fs::create_dir_all(&plots).wrap_err_with(|| format!("create {}", plots.display()))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    let reports = runtime.block_on(rounds::run_all(&file, &plots))?;
    let cost = runtime.block_on(measure_cost(&file, matches))?;
    let summary = Summary {
        file: path.display().to_string(),
        aims: aims::judge(&file.aims, &reports),
        reports,
        cost,
    };
    println!("{}\n", aims::table(&summary.aims));
    println!("{}", serde_json::to_string(&summary)?);
    if summary.has_wrong_answers() {
        eyre::bail!("some answers were wrong; see `complaints`");
    }
    Ok(())
}

/// Measures the tier's own cost, unless only some scenarios are wanted and `cost` is not among
/// them.
async fn measure_cost(
    file: &ExperimentFile,
    matches: &ArgMatches,
) -> eyre::Result<Option<CostReport>> {
    let chosen = matches.get_many::<String>("only");
    let is_wanted = chosen.is_none_or(|mut names| names.any(|name| name == "cost"));
    let Some(plan) = file.cost.as_ref().filter(|_| is_wanted) else {
        return Ok(None);
    };
    let report = cost::measure(plan, file.seed)
        .await
        .wrap_err("measure the tier's own cost")?;
    println!("## The tier's own cost\n{}\n", cost::table(&report));
    Ok(Some(report))
}

fn path_argument(matches: &ArgMatches, name: &str) -> eyre::Result<PathBuf> {
    matches
        .get_one::<PathBuf>(name)
        .cloned()
        .ok_or_else(|| eyre::eyre!("--{name} has no value"))
}

fn keep_chosen(file: &mut ExperimentFile, matches: &ArgMatches) {
    if let Some(chosen) = matches.get_many::<String>("only") {
        let chosen: Vec<&String> = chosen.collect();
        file.scenarios
            .retain(|scenario| chosen.contains(&&scenario.name));
    }
    if let Some(shape) = matches.get_one::<String>("shape") {
        for scenario in &mut file.scenarios {
            scenario.shapes.retain(|name| name == shape);
        }
    }
}
