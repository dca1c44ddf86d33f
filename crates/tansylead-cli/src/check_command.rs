//! `tansylead check`: checks a settings file and prints the resulting settings.

use crate::commands::Subcommand;
use crate::exit_code::ExitStatus;
use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use tansylead_daemon::{SettingsOverrides, load_settings};

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

const EXAMPLES: &str = "\
Example:
  tansylead check /etc/tansylead.toml

Prints what would be in force, defaults included. Exits with 3 if the file cannot be used; the
error names the file, the key and the value.";

fn command() -> Command {
    Command::new("check")
        .about("Check a settings file")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML)"),
        )
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let file = matches
        .get_one::<PathBuf>("file")
        .ok_or_else(|| eyre::eyre!("no file given"))?;
    let settings = load_settings(Some(file), &SettingsOverrides::default())?;
    output!("{}", toml::to_string(&settings)?);
    Ok(ExitStatus::Success)
}
