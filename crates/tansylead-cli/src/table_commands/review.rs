//! `tansylead table review`: shows what a proposal changes, and whether its base is still current.

use super::arguments::{self, file_of, store_of};
use super::files;
use super::store_access::{known_services, read_table};
use crate::exit_code::ExitStatus;
use clap::{ArgMatches, Command};
use std::net::SocketAddr;
use tansylead_table::{Base, Proposal, TableDifference, check_table, write_rows};

/// Name of the command.
pub const NAME: &str = "review";

/// Definition of the command.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Show in words and numbers what a proposal changes")
        .arg(arguments::file("Proposal to review"))
        .arg(arguments::optional_store())
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let file = file_of(matches)?;
    let proposal = files::read_proposal(file)?;
    let Proposal {
        author, comment, ..
    } = &proposal;
    output_line!("proposed by {author}: {comment}");
    output_line!("based on generation {}", proposal.base.generation);
    output!(
        "{}",
        TableDifference::between(&proposal.base.rows, &proposal.rows)
    );
    let store = store_of(matches);
    let known = known_services(store).await?;
    let checked = check_table(&write_rows(&proposal.rows), known.as_ref());
    let status = files::report(file, &checked.findings);
    if status != ExitStatus::Success {
        return Ok(status);
    }
    match store {
        Some(store) => compare_with_store(&proposal, store).await,
        None => Ok(ExitStatus::Success),
    }
}

async fn compare_with_store(proposal: &Proposal, store: SocketAddr) -> eyre::Result<ExitStatus> {
    let stored = Base::of(read_table(store).await?.as_ref());
    if stored.change.as_ref() == Some(&proposal.change) {
        output_line!(
            "the store holds this change as generation {}",
            stored.generation
        );
        return Ok(ExitStatus::Success);
    }
    if stored.generation == proposal.base.generation && stored.change == proposal.base.change {
        output_line!("the store still holds the base");
        return Ok(ExitStatus::Success);
    }
    output_line!(
        "the store holds generation {}; since the base:",
        stored.generation
    );
    output!(
        "{}",
        TableDifference::between(&proposal.base.rows, &stored.rows)
    );
    Ok(ExitStatus::TableConflict)
}
