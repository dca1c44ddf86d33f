//! Loading and checking settings: a TOML file, then overrides, then checks of every value.

use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};
use tansylead_types::Settings;
use toml::{Table, Value};

/// Accepted range of periods and time limits.
const TIMING_RANGE_MILLIS: std::ops::RangeInclusive<u64> = 1..=86_400_000;
/// Maximum number of worker threads.
const MAXIMUM_WORKER_THREADS: usize = 1_024;

/// Where a value came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsSource {
    /// A settings file.
    File(PathBuf),
    /// Command-line flags alone.
    Flags,
}

impl fmt::Display for SettingsSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsSource::File(path) => write!(formatter, "{}", path.display()),
            SettingsSource::Flags => formatter.write_str("flags"),
        }
    }
}

/// Why settings cannot be used. Names the source, the key and the value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: cannot read settings: {cause}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        cause: String,
    },
    /// The file is not TOML.
    #[error("{source_of_value}: not valid TOML: {cause}")]
    NotToml {
        /// Where the settings came from.
        source_of_value: SettingsSource,
        /// Error of the TOML library.
        cause: String,
    },
    /// A key is unknown, missing or has a value of the wrong type or format.
    #[error("{source_of_value}: {cause}")]
    Invalid {
        /// Where the settings came from.
        source_of_value: SettingsSource,
        /// Error of the TOML library, with the key and the value.
        cause: String,
    },
    /// A value has the right type but is not allowed.
    #[error("{source_of_value}: {key} = {value}: {cause}")]
    ValueNotAllowed {
        /// Where the settings came from.
        source_of_value: SettingsSource,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// Values from flags, by dotted key as in the file. They override the file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SettingsOverrides {
    values: Vec<SettingsOverride>,
}

/// One value from a flag.
#[derive(Debug, Clone, PartialEq)]
struct SettingsOverride {
    key: &'static str,
    value: Value,
}

impl SettingsOverrides {
    /// Sets a text value.
    pub fn set_text(&mut self, key: &'static str, value: impl Into<String>) {
        self.set(key, Value::String(value.into()));
    }

    /// Sets a list of texts.
    pub fn set_texts(&mut self, key: &'static str, values: impl IntoIterator<Item = String>) {
        let values = values.into_iter().map(Value::String).collect();
        self.set(key, Value::Array(values));
    }

    /// Sets a number.
    pub fn set_number(&mut self, key: &'static str, value: i64) {
        self.set(key, Value::Integer(value));
    }

    fn set(&mut self, key: &'static str, value: Value) {
        self.values.push(SettingsOverride { key, value });
    }

    fn apply(&self, table: &mut Table) {
        for entry in &self.values {
            let (section, key) = match entry.key.split_once('.') {
                Some((section, key)) => (Some(section), key),
                None => (None, entry.key),
            };
            let target = match section {
                None => &mut *table,
                Some(section) => {
                    let nested = table
                        .entry(section)
                        .or_insert_with(|| Value::Table(Table::new()));
                    let Value::Table(nested) = nested else {
                        continue;
                    };
                    nested
                }
            };
            target.insert(key.to_owned(), entry.value.clone());
        }
    }
}

/// Loads settings from a file (or from flags alone) and checks them.
pub fn load_settings(
    file: Option<&Path>,
    overrides: &SettingsOverrides,
) -> Result<Settings, SettingsError> {
    let source = match file {
        Some(path) => SettingsSource::File(path.to_owned()),
        None => SettingsSource::Flags,
    };
    let mut table = match file {
        Some(path) => read_table(path, &source)?,
        None => Table::new(),
    };
    overrides.apply(&mut table);
    let settings = decode(table, &source)?;
    check_settings(&settings, &source)?;
    Ok(settings)
}

fn read_table(path: &Path, source: &SettingsSource) -> Result<Table, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.to_owned(),
        cause: cause.to_string(),
    })?;
    text.parse()
        .map_err(|cause: toml::de::Error| SettingsError::NotToml {
            source_of_value: source.clone(),
            cause: cause.to_string().trim_end().to_owned(),
        })
}

fn decode(table: Table, source: &SettingsSource) -> Result<Settings, SettingsError> {
    let copy = table.clone();
    Settings::deserialize(Value::Table(table)).map_err(|cause| SettingsError::Invalid {
        source_of_value: source.clone(),
        cause: with_value(&cause.to_string(), &copy),
    })
}

/// Adds the value to the TOML library's message, which names only the key.
fn with_value(message: &str, table: &Table) -> String {
    let message = message.trim_end();
    let quoted = message.lines().find_map(|line| {
        let key = line.strip_prefix("in `")?.strip_suffix('`')?;
        let mut value = None;
        let mut current = table;
        for part in key.split('.') {
            value = current.get(part);
            if let Some(Value::Table(nested)) = value {
                current = nested;
            }
        }
        value.map(|value| format!("{key} = {value}"))
    });
    let first_line = message.lines().next().unwrap_or_default();
    let quoted = quoted.or_else(|| unknown_key(first_line, table));
    match quoted {
        Some(quoted) => format!("{quoted}: {first_line}"),
        None => first_line.to_owned(),
    }
}

/// An unknown key at the top of the file, with its value.
fn unknown_key(message: &str, table: &Table) -> Option<String> {
    let (key, _) = message.strip_prefix("unknown field `")?.split_once('`')?;
    let value = table.get(key)?;
    Some(format!("{key} = {value}"))
}

fn check_settings(settings: &Settings, source: &SettingsSource) -> Result<(), SettingsError> {
    let not_allowed =
        |key: &'static str, value: String, cause: &str| SettingsError::ValueNotAllowed {
            source_of_value: source.clone(),
            key,
            value,
            cause: cause.to_owned(),
        };
    if settings.cluster.trim().is_empty() {
        return Err(not_allowed(
            "cluster",
            format!("{:?}", settings.cluster),
            "must not be empty",
        ));
    }
    if settings.log_level.parse::<log::LevelFilter>().is_err() {
        let cause = "use error, warn, info, debug or trace";
        return Err(not_allowed("log_level", settings.log_level.clone(), cause));
    }
    if settings.peer_address.ip().is_unspecified() {
        let cause = "other daemons must be able to reach this address; it cannot be a wildcard";
        return Err(not_allowed(
            "peer_address",
            settings.peer_address.to_string(),
            cause,
        ));
    }
    if settings.store_address.port() == 0 {
        let cause = "port 0 cannot be reached";
        return Err(not_allowed(
            "store_address",
            settings.store_address.to_string(),
            cause,
        ));
    }
    if !(1..=MAXIMUM_WORKER_THREADS).contains(&settings.worker_threads) {
        let cause = format!("must be between 1 and {MAXIMUM_WORKER_THREADS}");
        return Err(not_allowed(
            "worker_threads",
            settings.worker_threads.to_string(),
            &cause,
        ));
    }
    check_timing(settings, &not_allowed)
}

fn check_timing(
    settings: &Settings,
    not_allowed: &impl Fn(&'static str, String, &str) -> SettingsError,
) -> Result<(), SettingsError> {
    let timing = &settings.timing;
    let values = [
        ("timing.drain_limit_millis", timing.drain_limit_millis),
        ("timing.leaving_grace_millis", timing.leaving_grace_millis),
        ("timing.health_period_millis", timing.health_period_millis),
        ("timing.probe_period_millis", timing.probe_period_millis),
        ("timing.longest_expiry_millis", timing.longest_expiry_millis),
    ];
    for (key, value) in values {
        if !TIMING_RANGE_MILLIS.contains(&value) {
            let (low, high) = (TIMING_RANGE_MILLIS.start(), TIMING_RANGE_MILLIS.end());
            let cause = format!("must be between {low} and {high} ms");
            return Err(not_allowed(key, value.to_string(), &cause));
        }
    }
    if timing.health_period_millis >= timing.leaving_grace_millis {
        let cause = "must be less than timing.leaving_grace_millis";
        let value = timing.health_period_millis.to_string();
        return Err(not_allowed("timing.health_period_millis", value, cause));
    }
    if timing.clock_skew_millis >= timing.longest_expiry_millis {
        let cause = "must be less than timing.longest_expiry_millis";
        let value = timing.clock_skew_millis.to_string();
        return Err(not_allowed("timing.clock_skew_millis", value, cause));
    }
    Ok(())
}
