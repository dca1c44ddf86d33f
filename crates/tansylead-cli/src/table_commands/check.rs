//! `tansylead table check`: lists all errors and warnings of a CSV file by line and column.

use super::arguments::{self, file_of, store_of};
use super::files;
use super::store_access::known_services;
use crate::exit_code::ExitStatus;
use clap::{ArgMatches, Command};
use tansylead_table::check_table;

/// Name of the command.
pub const NAME: &str = "check";

/// Definition of the command.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Check FILE; errors and warnings name line and column")
        .arg(arguments::file("CSV file to check"))
        .arg(arguments::optional_store())
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let file = file_of(matches)?;
    let text = files::read(file)?;
    let known = known_services(store_of(matches)).await?;
    let checked = check_table(&text, known.as_ref());
    let status = files::report(file, &checked.findings);
    if checked.findings.is_empty() {
        output_line!(
            "{}: {} rows, nothing wrong",
            file.display(),
            checked.rows.len()
        );
    }
    Ok(status)
}
