//! The `--daemon` flag of the subcommands that connect to one daemon.

use clap::{Arg, ArgMatches, value_parser};
use std::net::SocketAddr;

const NAME: &str = "daemon";

/// Definition of the flag.
pub fn argument() -> Arg {
    Arg::new(NAME)
        .long(NAME)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:8080")
        .help("Caller address of a daemon")
}

/// The address that was given, or the default.
pub fn address(matches: &ArgMatches) -> eyre::Result<SocketAddr> {
    matches
        .get_one::<SocketAddr>(NAME)
        .copied()
        .ok_or_else(|| eyre::eyre!("no daemon given"))
}
