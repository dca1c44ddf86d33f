//! `tansylead table accept`: writes a proposal to the store and, with `--wait`, waits until it is in
//! force on all live daemons.

use super::arguments::{self, daemon_of, file_of, store_of};
use super::files;
use super::in_force;
use super::store_access::generation_in_force;
use crate::exit_code::ExitStatus;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::time::Duration;
use tansylead_daemon::platform::{StoreClient, WriteError, WriteOutcome};
use tansylead_table::{
    AcceptAction, AcceptEvent, AcceptOutcome, AcceptSettings, Acceptance, Proposal, check_table,
    has_errors, write_rows,
};
use tansylead_types::{Moment, ObjectKey};
use tokio::time::Instant;

/// Name of the command.
pub const NAME: &str = "accept";

const WAIT: &str = "wait";
const WAIT_SECONDS: &str = "wait-seconds";
const TIME_LIMIT_SECONDS: &str = "time-limit-seconds";

/// Definition of the command.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Put a proposal into the store; repeat it to find out about a lost answer")
        .arg(arguments::file("Proposal to accept"))
        .arg(arguments::store())
        .arg(arguments::daemon())
        .arg(
            Arg::new(WAIT)
                .long(WAIT)
                .action(ArgAction::SetTrue)
                .requires("daemon")
                .help("Wait until the change is in force on all live daemons"),
        )
        .arg(
            Arg::new(WAIT_SECONDS)
                .long(WAIT_SECONDS)
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .default_value("30")
                .help("Longest wait for the change to be in force"),
        )
        .arg(
            Arg::new(TIME_LIMIT_SECONDS)
                .long(TIME_LIMIT_SECONDS)
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("20")
                .help("Longest time to try the store for"),
        )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let file = file_of(matches)?;
    let proposal = files::read_proposal(file)?;
    let checked = check_table(&write_rows(&proposal.rows), None);
    if has_errors(&checked.findings) {
        return Ok(files::report(file, &checked.findings));
    }
    let daemon = daemon_of(matches);
    let known_generation = match daemon {
        Some(daemon) => generation_in_force(daemon).await?,
        None => 0,
    };
    let store = store_of(matches).ok_or_else(|| eyre::eyre!("no store given"))?;
    let settings = AcceptSettings {
        time_limit: seconds_of(matches, TIME_LIMIT_SECONDS),
        ..AcceptSettings::default()
    };
    let store = StoreClient::new(store);
    let outcome = drive(&store, proposal, known_generation, settings).await;
    output!("{outcome}");
    match (daemon, &outcome) {
        (Some(daemon), AcceptOutcome::Accepted { revision, .. }) if matches.get_flag(WAIT) => {
            Ok(in_force::wait(daemon, *revision, seconds_of(matches, WAIT_SECONDS)).await)
        }
        _ => Ok(status_of(&outcome)),
    }
}

fn seconds_of(matches: &ArgMatches, argument: &str) -> Duration {
    let seconds = matches.get_one::<u64>(argument).copied();
    Duration::from_secs(seconds.unwrap_or_default())
}

fn status_of(outcome: &AcceptOutcome) -> ExitStatus {
    match outcome {
        AcceptOutcome::Accepted { .. } => ExitStatus::Success,
        AcceptOutcome::Conflict { .. } => ExitStatus::TableConflict,
        AcceptOutcome::NotWritten { .. } => ExitStatus::Unreachable,
        AcceptOutcome::StillUnknown { .. } | AcceptOutcome::NoLongerRecorded { .. } => {
            ExitStatus::AcceptUnknown
        }
        AcceptOutcome::StoreBehind { .. } | AcceptOutcome::StoreReplaced { .. } => {
            ExitStatus::StoreBehind
        }
    }
}

/// Performs the actions of the state machine until it reports an outcome.
async fn drive(
    store: &StoreClient,
    proposal: Proposal,
    known_generation: u64,
    settings: AcceptSettings,
) -> AcceptOutcome {
    let started = Instant::now();
    let now = || Moment(started.elapsed().as_micros() as u64);
    let (mut accept, mut actions) = Acceptance::start(now(), proposal, known_generation, settings);
    loop {
        let action = actions.pop();
        if let Some(AcceptAction::Finish(outcome)) = action {
            return *outcome;
        }
        let wakeup = accept.next_wakeup().unwrap_or_default();
        let wakeup = started + wakeup.since(Moment(0));
        let event = tokio::select! {
            event = perform(store, action) => event,
            () = tokio::time::sleep_until(wakeup) => AcceptEvent::Wakeup,
        };
        actions = accept.on_event(now(), event);
    }
}

/// Performs one request to the store. Without a request it never completes.
async fn perform(store: &StoreClient, action: Option<AcceptAction>) -> AcceptEvent {
    match action {
        Some(AcceptAction::Read) => match store.get(&ObjectKey::Table).await {
            Ok(stored) => AcceptEvent::Read(stored.map(Box::new)),
            Err(error) => AcceptEvent::ReadFailed(error.to_string()),
        },
        Some(AcceptAction::Write(write)) => match store.put(&ObjectKey::Table, &write).await {
            Ok(WriteOutcome::Accepted(stored)) => AcceptEvent::Written(stored),
            Ok(WriteOutcome::Conflict(conflict)) => AcceptEvent::Conflict(conflict),
            Err(WriteError::NotWritten(error)) => AcceptEvent::NotWritten(error.to_string()),
            Err(WriteError::OutcomeUnknown(error)) => AcceptEvent::WriteUnknown(error.to_string()),
        },
        Some(AcceptAction::Finish(_)) | None => std::future::pending().await,
    }
}
