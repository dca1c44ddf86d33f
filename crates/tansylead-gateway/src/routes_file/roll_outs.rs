//! Orders to roll out in a routes file, and their checks.

use super::RoutesFileError;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_route::{OrderId, Revision, RollOut, RollOutState};
use tansylead_types::{ServiceName, SoftwareVersion};

/// Checks the orders of a file that lists these services.
pub(super) fn check_roll_outs(
    roll_outs: &[RollOutDocument],
    listed: &BTreeSet<&ServiceName>,
    path: &str,
) -> Result<(), RoutesFileError> {
    let mut seen = BTreeSet::new();
    for roll_out in roll_outs {
        let service = roll_out.service.clone();
        let path = path.to_owned();
        if !listed.contains(&service) {
            return Err(RoutesFileError::UnlistedRollOut { path, service });
        }
        if roll_out.duration().is_none() {
            let value = roll_out.duration_seconds;
            return Err(RoutesFileError::RollOutDuration {
                path,
                service,
                value,
            });
        }
        if !seen.insert(&roll_out.service) {
            return Err(RoutesFileError::TwoRollOuts { path, service });
        }
    }
    Ok(())
}

/// An order to roll out.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RollOutDocument {
    service: ServiceName,
    target: SoftwareVersion,
    duration_seconds: f64,
    #[serde(default)]
    state: StateDocument,
}

/// State of a roll-out.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateDocument {
    #[default]
    Ordered,
    Running,
    Completed,
    RolledBack,
}

impl From<StateDocument> for RollOutState {
    fn from(state: StateDocument) -> Self {
        match state {
            StateDocument::Ordered => Self::Ordered,
            StateDocument::Running => Self::Running,
            StateDocument::Completed => Self::Completed,
            StateDocument::RolledBack => Self::RolledBack,
        }
    }
}

impl RollOutDocument {
    /// Time for the roll-out; none if it is not above zero or too long.
    fn duration(&self) -> Option<Duration> {
        let duration = Duration::try_from_secs_f64(self.duration_seconds).ok()?;
        (!duration.is_zero()).then_some(duration)
    }

    /// The order as of a version of the file; none if its duration is invalid. A file does not say when an order
    /// was given, so a repeated order counts as the same one.
    pub(super) fn into_order(self, at: Revision) -> Option<RollOut> {
        const CREATED: &str = "";
        let duration = self.duration()?;
        Some(RollOut {
            order: OrderId::new(&self.service, &self.target, duration, CREATED),
            service: self.service,
            target: self.target,
            duration,
            state: self.state.into(),
            changed_at: at,
        })
    }
}
