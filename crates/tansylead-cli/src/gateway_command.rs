//! `tansylead gateway`: runs a daemon that forwards requests as a routes file states.

use crate::commands::Subcommand;
use crate::exit_code::ExitStatus;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use std::path::PathBuf;
use tansylead_gateway::routes_file::{RoutesFile, RoutesFileSource};
use tansylead_gateway::{GatewaySettings, HeaderNames};

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .help(help)
            .value_parser(value_parser!(PathBuf))
            .required(true)
    };
    Command::new("gateway")
        .about("Runs a daemon that forwards routed requests to leafs, by a routes file")
        .arg(file("settings", "Settings of the daemon (TOML)"))
        .arg(file(
            "routes",
            "Routes, services and leafs (TOML); read again as it changes",
        ))
        .arg(
            Arg::new("check")
                .long("check")
                .help("Only checks both files")
                .action(ArgAction::SetTrue),
        )
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let path = |name: &str| {
        let path = matches.get_one::<PathBuf>(name).cloned();
        path.ok_or_else(|| eyre::eyre!("--{name} is not given"))
    };
    let settings_path = path("settings")?;
    let routes_path = path("routes")?;
    let settings = match GatewaySettings::load(&settings_path) {
        Ok(settings) => settings,
        Err(error) => return Ok(refuse(&error)),
    };
    if let Err(error) = RoutesFile::load(&routes_path) {
        return Ok(refuse(&error));
    }
    if matches.get_flag("check") {
        output_line!("both files can be used");
        return Ok(ExitStatus::Success);
    }
    let _log_flush = tansylead_gateway::logging::initialize(log::LevelFilter::Info)?;
    let source = RoutesFileSource::new(routes_path);
    let reload = move || GatewaySettings::load(&settings_path).wrap_err("load settings");
    tansylead_gateway::run(settings, HeaderNames::default(), source, reload)?;
    Ok(ExitStatus::Success)
}

fn refuse(error: &dyn std::error::Error) -> ExitStatus {
    eprintln!("tansylead: {error}");
    ExitStatus::InvalidSettings
}
