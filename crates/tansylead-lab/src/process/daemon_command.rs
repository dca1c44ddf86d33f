//! The `daemon` subcommand: the same daemon as `tansylead serve`, in the lab's program, so that the
//! lab's tests need no other program to be built. Experiments run it as a variant of the product;
//! the product itself has no setting for that.

use crate::standin;
use clap::{Arg, ArgMatches, Command};
use eyre::WrapErr;
use std::path::PathBuf;
use tansylead_daemon::{DrainResult, SettingsOverrides, StopRequests, Tuning, load_settings};
use tansylead_query::EngineTuning;
use tansylead_types::Settings;
use tokio_util::sync::CancellationToken;

/// The variant that is the product as it ships.
pub const PRODUCT_VARIANT: &str = "product";
/// The variant with random replica choice and a deadline, and without hedges, retries and
/// ejection.
pub const BASELINE_VARIANT: &str = "baseline";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("daemon")
        .about("Run a daemon as `tansylead serve` does")
        .arg(
            Arg::new("config")
                .long("config")
                .required(true)
                .value_name("FILE")
                .value_parser(clap::value_parser!(PathBuf))
                .help("Settings file (TOML)"),
        )
        .arg(
            Arg::new("variant")
                .long("variant")
                .value_name("NAME")
                .value_parser([PRODUCT_VARIANT, BASELINE_VARIANT])
                .default_value(PRODUCT_VARIANT)
                .help("Which mechanisms the engine uses"),
        )
        .arg(standin::exit_with_parent_argument())
}

/// Carries it out. A planned stop that had to cut open queries is an error.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let file = matches
        .get_one::<PathBuf>("config")
        .ok_or_else(|| eyre::eyre!("--config has no value"))?;
    let settings = load_settings(Some(file), &SettingsOverrides::default())?;
    let tuning = tuning(matches);
    let parent_gone = CancellationToken::new();
    if matches.get_flag("exit-with-parent") {
        standin::watch_standard_input(parent_gone.clone());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    runtime.block_on(async {
        tokio::select! {
            result = serve(settings, tuning) => result,
            () = parent_gone.cancelled() => Ok(()),
        }
    })
}

fn tuning(matches: &ArgMatches) -> Tuning {
    let variant = matches.get_one::<String>("variant");
    let mut tuning = Tuning::default();
    if variant.is_some_and(|variant| variant == BASELINE_VARIANT) {
        tuning.engine = EngineTuning::baseline();
    }
    tuning
}

async fn serve(settings: Settings, tuning: Tuning) -> eyre::Result<()> {
    let stop = StopRequests::from_signals()?;
    match tansylead_daemon::run(settings, tuning, stop).await? {
        DrainResult::Clean => Ok(()),
        DrainResult::Cut { open_queries } => eyre::bail!("{open_queries} queries were cut"),
    }
}
