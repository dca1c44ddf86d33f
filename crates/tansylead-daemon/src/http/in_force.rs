//! `GET /v1/in-force`: on which daemons a store revision is in force.

use super::error::ApiError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_cluster::spread::InForceReport;

/// Path of the check. Parameters: `revision`, and `wait_ms` for how long to wait for it.
pub const IN_FORCE_PATH: &str = "/v1/in-force";
/// Longest wait.
const LONGEST_WAIT: Duration = Duration::from_secs(120);
/// Wait if the caller states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// Parameters of the check.
#[derive(Debug, Clone, Copy)]
pub(super) struct InForceQuery {
    pub(super) revision: u64,
    pub(super) wait: Duration,
}

impl InForceQuery {
    pub(super) fn parse(query: &str) -> Result<Self, ApiError> {
        let revision = number(query, "revision")?.ok_or(ApiError::MalformedParameter {
            parameter: "revision",
            cause: "missing".to_owned(),
        })?;
        let wait = number(query, "wait_ms")?.map(Duration::from_millis);
        Ok(Self {
            revision,
            wait: wait.unwrap_or(DEFAULT_WAIT).min(LONGEST_WAIT),
        })
    }
}

fn number(query: &str, parameter: &'static str) -> Result<Option<u64>, ApiError> {
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

/// On which daemons a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceBody {
    /// Daemons that hold the revision, by their own word.
    pub confirmed: usize,
    /// Running daemons.
    pub total: usize,
    /// Peer addresses of those that do not hold it, or did not say.
    pub missing: Vec<SocketAddr>,
}

impl From<InForceReport> for InForceBody {
    fn from(report: InForceReport) -> Self {
        Self {
            confirmed: report.confirmed,
            total: report.total,
            missing: report.missing.into_iter().map(|node| node.0).collect(),
        }
    }
}
