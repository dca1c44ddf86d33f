//! Exit codes of the program. Scripts rely on the numbers, so they must not change.

use crate::http_client::Unreachable;
use std::process::ExitCode;
use tansylead_daemon::SettingsError;

/// How the program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Something failed that has no code of its own.
    Failure = 1,
    /// The settings are invalid. (2 is missing here because clap exits with it on wrong usage.)
    InvalidSettings = 3,
    /// `query`: the answer is partial.
    Partial = 4,
    /// `query`: the request was refused and has not run.
    NotRun = 5,
    /// `query`: the request may have run.
    Unknown = 6,
    /// `serve`: stopped with requests still open.
    DrainIncomplete = 7,
    /// The daemon could not be reached, or the store could not be read or written.
    Unreachable = 8,
    /// `status`: the daemon is not ready.
    NotReady = 9,
    /// `table`: the table has errors.
    TableErrors = 10,
    /// `table`: the table in the store has changed since the proposal's base.
    TableConflict = 11,
    /// `table accept`: it is unknown whether the change was accepted.
    AcceptUnknown = 12,
    /// `table accept --wait`: accepted, but not in force on all live daemons in time.
    NotInForce = 13,
    /// `table accept`: the store was restored to an older state.
    StoreBehind = 14,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// The exit status for an error that ended the program.
pub fn status_of(error: &eyre::Report) -> ExitStatus {
    if error.downcast_ref::<SettingsError>().is_some() {
        return ExitStatus::InvalidSettings;
    }
    if error.downcast_ref::<Unreachable>().is_some() {
        return ExitStatus::Unreachable;
    }
    ExitStatus::Failure
}
