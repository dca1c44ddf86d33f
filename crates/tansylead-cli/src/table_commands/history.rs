//! `tansylead table history`: lists the last accepted changes that the table in the store records.

use super::arguments::{self, store_of};
use super::store_access::read_table;
use crate::exit_code::ExitStatus;
use clap::{ArgMatches, Command};
use std::time::{Duration, UNIX_EPOCH};
use tabled::settings::Style;
use tabled::{Table, Tabled};
use tansylead_types::{ConfigObject, StoredObject, TableChange, WallTime};

/// Name of the command.
pub const NAME: &str = "history";

/// Definition of the command.
pub fn command() -> Command {
    Command::new(NAME)
        .about("List the last accepted changes of the table")
        .arg(arguments::store())
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let store = store_of(matches).ok_or_else(|| eyre::eyre!("no store given"))?;
    let Some(stored) = read_table(store).await? else {
        output_line!("the table was never written");
        return Ok(ExitStatus::Success);
    };
    let generation = stored.generation;
    let rows = recent_changes(stored).into_iter().map(ChangeRow::new);
    let mut table = Table::new(rows);
    table.with(Style::sharp());
    output_line!("generation {generation}\n{table}");
    Ok(ExitStatus::Success)
}

fn recent_changes(stored: StoredObject) -> Vec<TableChange> {
    match stored.object {
        Some(ConfigObject::Table(table)) => table.recent_changes,
        _ => Vec::new(),
    }
}

#[derive(Tabled)]
struct ChangeRow {
    generation: u64,
    #[tabled(rename = "proposed at")]
    proposed_at: String,
    author: String,
    comment: String,
    change: String,
}

impl ChangeRow {
    fn new(change: TableChange) -> Self {
        let WallTime(millis) = change.proposed_at;
        let proposed_at = UNIX_EPOCH.checked_add(Duration::from_millis(millis));
        let proposed_at = proposed_at.unwrap_or(UNIX_EPOCH);
        Self {
            generation: change.generation,
            proposed_at: humantime::format_rfc3339_seconds(proposed_at).to_string(),
            author: change.author,
            comment: change.comment,
            change: change.change.to_string(),
        }
    }
}
