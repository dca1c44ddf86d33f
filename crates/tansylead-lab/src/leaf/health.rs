//! What the health endpoint of a stand-in leaf says, true or not.

use super::faults::{HealthMode, LeafFaults};
use std::collections::VecDeque;
use std::time::Duration;
use tansylead_types::leaf::{LeafHealth, LeafLoad};
use tokio::time::Instant;

/// Most true reports that are remembered.
const MAXIMUM_REPORTS: usize = 1_024;

/// True reports over time.
#[derive(Debug, Default)]
pub struct HealthHistory {
    reports: VecDeque<(Instant, LeafHealth)>,
}

impl HealthHistory {
    /// Remembers the truth of this moment.
    pub fn record(&mut self, now: Instant, report: LeafHealth) {
        self.reports.push_back((now, report));
        if self.reports.len() > MAXIMUM_REPORTS {
            self.reports.pop_front();
        }
    }

    /// What the endpoint says; none if it hangs.
    pub fn reported(&self, now: Instant, faults: &LeafFaults) -> Option<LeafHealth> {
        let mut report = match faults.health {
            HealthMode::Hanging => return None,
            HealthMode::Lagging { millis } => self.as_of(now, Duration::from_millis(millis)),
            _ => self.as_of(now, Duration::ZERO),
        };
        match faults.health {
            HealthMode::AlwaysHealthy => {
                report.healthy = true;
                report.load = LeafLoad {
                    slots: report.load.slots,
                    ..LeafLoad::default()
                };
            }
            HealthMode::AlwaysUnhealthy => report.healthy = false,
            _ => {}
        }
        if let Some(claimed) = &faults.claimed_snapshots {
            report.snapshots.clone_from(claimed);
        }
        Some(report)
    }

    /// The last report that is at least `age` old; the oldest one if none is.
    fn as_of(&self, now: Instant, age: Duration) -> LeafHealth {
        self.reports
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= age)
            .or_else(|| self.reports.front())
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }
}
