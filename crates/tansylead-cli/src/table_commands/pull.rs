//! `tansylead table pull`: writes the table in the store to a CSV file, with its base next to it.

use super::arguments::{self, file_of, is_forced, store_of};
use super::files;
use super::store_access::read_table;
use crate::exit_code::ExitStatus;
use clap::{ArgMatches, Command};
use std::path::Path;
use tansylead_table::{Base, parse_rows, write_rows};
use tansylead_types::TableRow;

/// Name of the command.
pub const NAME: &str = "pull";

/// Definition of the command.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Write the table in the store to FILE, and what it was pulled from to FILE.base")
        .arg(arguments::file("CSV file to write"))
        .arg(arguments::store())
        .arg(arguments::force("Overwrite a file that has been edited"))
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let file = file_of(matches)?;
    let store = store_of(matches).ok_or_else(|| eyre::eyre!("no store given"))?;
    let base = Base::of(read_table(store).await?.as_ref());
    let text = write_rows(&base.rows);
    if !is_forced(matches) && has_edits(file, &text) {
        eyre::bail!(
            "{} has been edited; use --force to overwrite it",
            file.display()
        );
    }
    files::write(&files::base_file(file), &base.to_document()?)?;
    files::write(file, &text)?;
    let Base {
        generation, rows, ..
    } = base;
    output_line!(
        "{}: generation {generation}, {} rows",
        file.display(),
        rows.len()
    );
    Ok(ExitStatus::Success)
}

/// Whether the file has been edited: it cannot be parsed, or its rows are neither those of the new
/// text nor those of its own base.
fn has_edits(file: &Path, text: &str) -> bool {
    let Ok(current) = std::fs::read_to_string(file) else {
        return false;
    };
    let parsed = parse_rows(&current);
    let rows: Vec<TableRow> = parsed
        .rows
        .into_iter()
        .map(|numbered| numbered.row)
        .collect();
    let current = write_rows(&rows);
    let pulled = files::read_base(file).map(|base| write_rows(&base.rows));
    let is_unedited = current == text || pulled.is_ok_and(|pulled| pulled == current);
    !parsed.findings.is_empty() || !is_unedited
}
