//! Exit codes of the program. Scripts rely on them: never renumber.

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
    /// Settings cannot be used. (2 is wrong usage, as the command-line library has it.)
    InvalidSettings = 3,
    /// `query`: the answer is partial.
    Partial = 4,
    /// `query`: the request was refused and has not run.
    NotRun = 5,
    /// `query`: the request may have run.
    Unknown = 6,
    /// `serve`: stopped with requests still open.
    DrainCut = 7,
    /// No answer from the daemon or the store.
    Unreachable = 8,
    /// `status`: the daemon is not ready.
    NotReady = 9,
    /// `table`: the table has errors.
    TableErrors = 10,
    /// `table`: the table in the store has changed since the proposal's base.
    TableConflict = 11,
    /// `table accept`: not known whether the change was accepted.
    AcceptUnknown = 12,
    /// `table accept --wait`: accepted, but not in force on all live daemons in time.
    NotInForce = 13,
    /// `table accept`: the store was put back to an older state.
    StoreBehind = 14,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// The code for an error that ended the program.
pub fn status_of(error: &eyre::Report) -> ExitStatus {
    if error.downcast_ref::<SettingsError>().is_some() {
        return ExitStatus::InvalidSettings;
    }
    if error.downcast_ref::<Unreachable>().is_some() {
        return ExitStatus::Unreachable;
    }
    ExitStatus::Failure
}
