//! `tansylead table`: pull, check, propose, review, accept and history of the operators' table.
//!
//! Each command is one module here. The logic is in `tansylead-table`, the client of the store in
//! `tansylead_daemon::platform`.

mod accept;
mod arguments;
mod check;
mod files;
mod history;
mod in_force;
mod propose;
mod pull;
mod review;
mod store_access;

use crate::commands::Subcommand;
use crate::exit_code::ExitStatus;
use clap::{ArgMatches, Command};
use eyre::WrapErr;

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

const EXAMPLES: &str = "\
The way of a change:
  tansylead table pull table.csv --store 10.0.0.1:7000
  (edit table.csv in a spreadsheet)
  tansylead table check table.csv --store 10.0.0.1:7000
  tansylead table propose table.csv --comment 'holiday in Phuket' --store 10.0.0.1:7000
  (put table.csv.proposal-7.toml into version control)
  tansylead table review table.csv.proposal-7.toml --store 10.0.0.1:7000
  tansylead table accept table.csv.proposal-7.toml --store 10.0.0.1:7000 \\
      --daemon 10.0.0.7:8080 --wait

Exit codes:
  0 done                              11 conflict: the table has changed since the base
  1 failed                            12 not known whether the change was accepted
  2 wrong usage                       13 accepted, not in force on all daemons in time
  8 no answer from store or daemon    14 the store was put back to an older state
  10 the table has errors";

fn command() -> Command {
    Command::new("table")
        .about("Pull, check, propose, review and accept the table of weights and limits")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(pull::command())
        .subcommand(check::command())
        .subcommand(propose::command())
        .subcommand(review::command())
        .subcommand(accept::command())
        .subcommand(history::command())
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    match matches.subcommand() {
        Some((pull::NAME, arguments)) => runtime.block_on(pull::run(arguments)),
        Some((check::NAME, arguments)) => runtime.block_on(check::run(arguments)),
        Some((propose::NAME, arguments)) => runtime.block_on(propose::run(arguments)),
        Some((review::NAME, arguments)) => runtime.block_on(review::run(arguments)),
        Some((accept::NAME, arguments)) => runtime.block_on(accept::run(arguments)),
        Some((history::NAME, arguments)) => runtime.block_on(history::run(arguments)),
        _ => eyre::bail!("no table command given"),
    }
}
