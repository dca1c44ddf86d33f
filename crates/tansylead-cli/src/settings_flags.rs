//! Flags that override keys of the settings file, one flag per key.

use clap::{Arg, ArgMatches, value_parser};
use tansylead_daemon::SettingsOverrides;

/// Type of a flag's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlagKind {
    Text,
    TextList,
    Number,
}

/// A flag and the key of the settings file that it overrides.
#[derive(Debug)]
struct SettingsFlag {
    name: &'static str,
    key: &'static str,
    kind: FlagKind,
    help: &'static str,
}

const fn flag(
    name: &'static str,
    key: &'static str,
    kind: FlagKind,
    help: &'static str,
) -> SettingsFlag {
    SettingsFlag {
        name,
        key,
        kind,
        help,
    }
}

const FLAGS: &[SettingsFlag] = &[
    flag(
        "cluster",
        "cluster",
        FlagKind::Text,
        "Name of the deployment",
    ),
    flag(
        "place",
        "place",
        FlagKind::Text,
        "Place (region) of this daemon",
    ),
    flag("zone", "zone", FlagKind::Text, "Zone of this daemon"),
    flag(
        "caller-address",
        "caller_address",
        FlagKind::Text,
        "HTTP address for callers, IP:PORT",
    ),
    flag(
        "peer-address",
        "peer_address",
        FlagKind::Text,
        "UDP and TCP address for other daemons, IP:PORT",
    ),
    flag(
        "seed",
        "seeds",
        FlagKind::TextList,
        "Peer address to join through; may be repeated",
    ),
    flag(
        "store-address",
        "store_address",
        FlagKind::Text,
        "Address of the platform's object API, IP:PORT",
    ),
    flag(
        "machine-list-address",
        "machine_list_address",
        FlagKind::Text,
        "Address of the platform's machine list, IP:PORT",
    ),
    flag(
        "log-level",
        "log_level",
        FlagKind::Text,
        "error, warn, info, debug or trace",
    ),
    flag(
        "log-file",
        "log_file",
        FlagKind::Text,
        "Log file; standard error if absent",
    ),
    flag(
        "worker-threads",
        "worker_threads",
        FlagKind::Number,
        "Worker threads",
    ),
    flag(
        "drain-limit-millis",
        "timing.drain_limit_millis",
        FlagKind::Number,
        "Longest wait of a planned stop for open requests",
    ),
    flag(
        "leaving-grace-millis",
        "timing.leaving_grace_millis",
        FlagKind::Number,
        "A leaving back end gets no new work after this",
    ),
    flag(
        "health-period-millis",
        "timing.health_period_millis",
        FlagKind::Number,
        "Period of polling back ends' health",
    ),
    flag(
        "probe-period-millis",
        "timing.probe_period_millis",
        FlagKind::Number,
        "Period of membership probes",
    ),
    flag(
        "longest-expiry-millis",
        "timing.longest_expiry_millis",
        FlagKind::Number,
        "Longest expiry of a non-repeatable request",
    ),
    flag(
        "clock-skew-millis",
        "timing.clock_skew_millis",
        FlagKind::Number,
        "Allowance for differences between wall clocks",
    ),
];

/// Definitions of the flags.
pub fn arguments() -> Vec<Arg> {
    FLAGS.iter().map(argument).collect()
}

fn argument(flag: &SettingsFlag) -> Arg {
    let argument = Arg::new(flag.name)
        .long(flag.name)
        .help(flag.help)
        .help_heading("Settings (override the file)");
    match flag.kind {
        FlagKind::Text => argument.value_name("VALUE"),
        FlagKind::TextList => argument
            .value_name("IP:PORT")
            .action(clap::ArgAction::Append),
        FlagKind::Number => argument
            .value_name("NUMBER")
            .value_parser(value_parser!(i64)),
    }
}

/// The overrides that were given on the command line.
pub fn overrides(matches: &ArgMatches) -> SettingsOverrides {
    let mut overrides = SettingsOverrides::default();
    for flag in FLAGS {
        match flag.kind {
            FlagKind::Text => {
                if let Some(value) = matches.get_one::<String>(flag.name) {
                    overrides.set_text(flag.key, value);
                }
            }
            FlagKind::TextList => {
                if let Some(values) = matches.get_many::<String>(flag.name) {
                    overrides.set_texts(flag.key, values.cloned());
                }
            }
            FlagKind::Number => {
                if let Some(value) = matches.get_one::<i64>(flag.name) {
                    overrides.set_number(flag.key, *value);
                }
            }
        }
    }
    overrides
}
