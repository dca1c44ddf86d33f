//! `tansylead table propose`: writes an edited table to a proposal file, with the base that the table
//! was pulled from.

use super::arguments::{self, file_of, is_forced, store_of};
use super::files;
use super::store_access::known_services;
use crate::exit_code::ExitStatus;
use clap::{Arg, ArgMatches, Command};
use std::time::{SystemTime, UNIX_EPOCH};
use tansylead_table::{Draft, Proposal, TableDifference, check_table};
use tansylead_types::WallTime;

/// Name of the command.
pub const NAME: &str = "propose";

/// Maximum length of the author and of the comment, in characters: both are sent to every daemon.
const MAXIMUM_TEXT_CHARACTERS: usize = 100;
const AUTHOR: &str = "author";
const COMMENT: &str = "comment";

/// Definition of the command.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Write the change that FILE makes to its base as FILE.proposal-GENERATION.toml")
        .arg(arguments::file("CSV file that was pulled and edited"))
        .arg(
            Arg::new(COMMENT)
                .long(COMMENT)
                .value_name("TEXT")
                .required(true)
                .value_parser(parse_short_line)
                .help("Why, in one line"),
        )
        .arg(
            Arg::new(AUTHOR)
                .long(AUTHOR)
                .value_name("NAME")
                .value_parser(parse_short_line)
                .help("Who proposes it; the user's name if absent"),
        )
        .arg(arguments::optional_store())
        .arg(arguments::force(
            "Overwrite an earlier proposal; its change can then not be found out about any more",
        ))
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let file = file_of(matches)?;
    let text = files::read(file)?;
    let base = files::read_base(file)?;
    let known = known_services(store_of(matches)).await?;
    let checked = check_table(&text, known.as_ref());
    let status = files::report(file, &checked.findings);
    if status != ExitStatus::Success {
        return Ok(status);
    }
    let rows = checked.rows.into_iter().map(|numbered| numbered.row);
    let draft = Draft {
        author: author(matches),
        comment: matches
            .get_one::<String>(COMMENT)
            .cloned()
            .unwrap_or_default(),
        proposed_at: wall_time_now(),
        base,
        rows: rows.collect(),
    };
    let difference = TableDifference::between(&draft.base.rows, &draft.rows);
    if difference.is_empty() {
        eyre::bail!("{} does not differ from its base", file.display());
    }
    let base_generation = draft.base.generation;
    let target = files::proposal_file(file, base_generation);
    if target.exists() && !is_forced(matches) {
        eyre::bail!("{} exists; use --force to overwrite it", target.display());
    }
    let proposal = Proposal::new(rand::random(), draft)?;
    files::write(&target, &proposal.to_document()?)?;
    output_line!(
        "{}: based on generation {base_generation}",
        target.display()
    );
    output!("{difference}");
    Ok(ExitStatus::Success)
}

fn parse_short_line(text: &str) -> Result<String, String> {
    if text.chars().count() > MAXIMUM_TEXT_CHARACTERS || text.contains(char::is_control) {
        return Err(format!(
            "one line of at most {MAXIMUM_TEXT_CHARACTERS} characters"
        ));
    }
    Ok(text.to_owned())
}

fn author(matches: &ArgMatches) -> String {
    let given = matches.get_one::<String>(AUTHOR).cloned();
    let user = || std::env::var("USER").ok();
    given.or_else(user).unwrap_or_else(|| "unknown".to_owned())
}

fn wall_time_now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}
