//! Runs of leafs that the source has recently removed from its list.
//!
//! A source that is restored from an older copy lists them again. Such an entry does not show that the leaf
//! is alive until there has been time for the leaf to renew it, or for the entry to expire.

use crate::leaf::LeafRun;
use std::collections::VecDeque;
use std::time::Duration;
use tansylead_types::Moment;

/// A copy is a few seconds old, so runs that were removed longer ago than this are in no copy.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of runs kept; more are removed at once only where a whole service is replaced.
const MAXIMUM_RUNS: usize = 4_096;

/// Recently removed runs, in order of removal.
#[derive(Debug, Default)]
pub struct RemovedLeafs {
    runs: VecDeque<(LeafRun, Moment)>,
}

impl RemovedLeafs {
    /// Records that the source has removed a run.
    pub fn add(&mut self, now: Moment, run: LeafRun) {
        self.drop_expired(now);
        if self.runs.len() == MAXIMUM_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back((run, now));
    }

    /// Forgets a run that the source lists again without having been restored.
    pub fn remove(&mut self, run: &LeafRun) {
        self.runs.retain(|(removed, _)| removed != run);
    }

    /// Whether the source has recently removed the run.
    pub fn contains(&self, now: Moment, run: &LeafRun) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|(removed, at)| removed == run && now.since(*at) < RETENTION)
    }

    fn drop_expired(&mut self, now: Moment) {
        while let Some((_, at)) = self.runs.front()
            && now.since(*at) >= RETENTION
        {
            self.runs.pop_front();
        }
    }
}
