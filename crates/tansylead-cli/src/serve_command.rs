//! `tansylead serve`: runs the daemon.

use crate::commands::Subcommand;
use crate::exit_code::ExitStatus;
use crate::settings_flags;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use std::path::PathBuf;
use tansylead_daemon::{DrainResult, StopRequests, Tuning, load_settings};
use tansylead_types::Settings;

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

const EXAMPLES: &str = "\
Examples:
  tansylead serve --config /etc/tansylead.toml
  tansylead serve --config base.toml --zone bangkok-b --caller-address 10.0.0.8:8080 \\
      --peer-address 10.0.0.8:7000

SIGTERM or SIGINT starts a planned stop: the daemon is no longer ready, answers what is open and
what still arrives, then exits with 0. A second signal, or the drain limit, ends it at once (7).";

fn command() -> Command {
    Command::new("serve")
        .about("Run the daemon")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML); without it, all settings come from flags"),
        )
        .args(settings_flags::arguments())
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let file = matches.get_one::<PathBuf>("config");
    let overrides = settings_flags::overrides(matches);
    let settings = load_settings(file.map(PathBuf::as_path), &overrides)?;
    let level = settings.log_level.parse().wrap_err("log_level")?;
    tansylead_daemon::logging::initialize(level, settings.log_file.as_deref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<ExitStatus> {
    let stop = StopRequests::from_signals()?;
    match tansylead_daemon::run(settings, Tuning::default(), stop).await? {
        DrainResult::Clean => Ok(ExitStatus::Success),
        DrainResult::Cut { .. } => Ok(ExitStatus::DrainIncomplete),
    }
}
