//! `GET /v1/in-force`: on which daemons a store revision is in force. Parameters: `revision`, and
//! `wait_ms`, how long to wait until it is in force on all of them.

use super::error::ApiError;
use std::time::Duration;
use tansylead_cluster::spread::InForceReport;
use tansylead_types::in_force::InForceAnswer;

/// Maximum wait.
const MAXIMUM_WAIT: Duration = Duration::from_secs(120);
/// Wait if the caller states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Parameters of the check.
#[derive(Debug, Clone, Copy)]
pub(super) struct InForceQuery {
    pub(super) revision: u64,
    pub(super) wait: Duration,
}

impl InForceQuery {
    pub(super) fn parse(query: &str) -> Result<Self, ApiError> {
        let revision = parse_number(query, "revision")?.ok_or(ApiError::MalformedParameter {
            parameter: "revision",
            cause: "missing".to_owned(),
        })?;
        let wait = parse_number(query, "wait_ms")?.map(Duration::from_millis);
        Ok(Self {
            revision,
            wait: wait.unwrap_or(DEFAULT_WAIT).min(MAXIMUM_WAIT),
        })
    }
}

fn parse_number(query: &str, parameter: &'static str) -> Result<Option<u64>, ApiError> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(name, _)| *name == parameter);
    let Some((_, value)) = values.next() else {
        return Ok(None);
    };
    let parsed = value.parse();
    parsed
        .map(Some)
        .map_err(|cause| ApiError::MalformedParameter {
            parameter,
            cause: format!("`{value}`: {cause}"),
        })
}

/// Body of the answer for a report.
pub(super) fn report_answer(revision: u64, report: InForceReport) -> InForceAnswer {
    InForceAnswer {
        revision,
        confirmed: report.confirmed,
        total: report.total,
        missing: report.missing.into_iter().map(|node| node.0).collect(),
    }
}
