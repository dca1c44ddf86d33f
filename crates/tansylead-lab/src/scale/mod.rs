//! The scale run: hollow daemons (the real control planes and codecs over real loopback UDP and
//! TCP, many in one process) beside a few real daemon processes, with a configuration of 14,000
//! leafs. Prints what control costs one daemon at several sizes and the lines through them.
//!
//! Hollow daemons have no callers and no roots; their routing views are brought up to date as
//! queries to every service would do. Processor time is that of the processes, so it does not
//! depend on what else the machine runs, except through caches; delays do depend on it.

pub mod cluster;
pub mod configuration;
pub mod figures;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod message;
pub mod observer;
pub mod real;
pub mod report;
pub mod run;
pub mod topology;

use clap::{Arg, ArgMatches, Command};
use eyre::WrapErr;

/// Sizes that are run if none are given.
const DEFAULT_SIZES: &str = "100,200,400,800";
/// Threads of the run itself; daemons have their own.
const WORKER_THREADS: usize = 2;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("scale")
        .about("Measure what control costs a daemon at several sizes of the cluster")
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .value_name("N,N,...")
                .value_delimiter(',')
                .value_parser(clap::value_parser!(usize))
                .default_value(DEFAULT_SIZES)
                .help("Daemons of each run, hollow and real together"),
        )
        .arg(
            Arg::new("real")
                .long("real")
                .value_name("N")
                .value_parser(clap::value_parser!(usize))
                .default_value("3")
                .help("Real daemon processes among them"),
        )
        .arg(
            Arg::new("services")
                .long("services")
                .value_name("N")
                .value_parser(clap::value_parser!(usize))
                .default_value("50")
                .help("Services of 280 leafs each; 50 make the 14,000 leafs of the design"),
        )
        .arg(
            Arg::new("keep-logs")
                .long("keep-logs")
                .action(clap::ArgAction::SetTrue)
                .help("Keep the directory of settings and logs"),
        )
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let sizes = matches.get_many::<usize>("daemons").unwrap_or_default();
    let sizes: Vec<usize> = sizes.copied().collect();
    let real = matches.get_one::<usize>("real").copied().unwrap_or(0);
    let services = matches.get_one::<usize>("services").copied();
    let options = cluster::ClusterOptions {
        real,
        services: services.unwrap_or(configuration::SERVICES),
        keep_logs: matches.get_flag("keep-logs"),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    runtime.block_on(run::run_sizes(&sizes, &options))
}
