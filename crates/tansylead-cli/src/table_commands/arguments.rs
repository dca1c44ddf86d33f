//! Arguments that several table commands have in common.

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const STORE: &str = "store";
const DAEMON: &str = "daemon";
const FILE: &str = "file";
const FORCE: &str = "force";

/// `--store`, required.
pub fn store() -> Arg {
    Arg::new(STORE)
        .long(STORE)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
        .help("Address of the platform's object store")
}

/// `--store`, optional.
pub fn optional_store() -> Arg {
    store()
        .required(false)
        .help("Address of the platform's object store; names are checked against it if given")
}

/// `--daemon`, optional.
pub fn daemon() -> Arg {
    Arg::new(DAEMON)
        .long(DAEMON)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("Caller address of a daemon; its generation in force is compared with the store's")
}

/// The file a command works on.
pub fn file(help: &'static str) -> Arg {
    Arg::new(FILE)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help(help)
}

/// `--force`.
pub fn force(help: &'static str) -> Arg {
    Arg::new(FORCE)
        .long(FORCE)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Value of `--store`.
pub fn store_of(matches: &ArgMatches) -> Option<SocketAddr> {
    matches.get_one(STORE).copied()
}

/// Value of `--daemon`.
pub fn daemon_of(matches: &ArgMatches) -> Option<SocketAddr> {
    matches.get_one(DAEMON).copied()
}

/// Value of the file argument.
pub fn file_of(matches: &ArgMatches) -> eyre::Result<&Path> {
    let file = matches.get_one::<PathBuf>(FILE);
    let file = file.ok_or_else(|| eyre::eyre!("no file given"))?;
    Ok(file)
}

/// Whether `--force` was given.
pub fn is_forced(matches: &ArgMatches) -> bool {
    matches.get_flag(FORCE)
}
