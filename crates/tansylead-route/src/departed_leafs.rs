//! Runs of leafs that the source took out of its list lately.
//!
//! A source that comes back from an older copy lists them again. Such an entry says nothing of a leaf until
//! the leaf itself has had the time to write it again, or to lapse.

use crate::leaf::LeafRun;
use std::collections::VecDeque;
use std::time::Duration;
use tansylead_types::Moment;

/// A copy is some seconds old; what went longer before it is in no copy.
const REMEMBERED: Duration = Duration::from_secs(60);
/// Runs that are remembered at most; more go at once only where a whole service is replaced.
const MAXIMUM_RUNS: usize = 4_096;

/// The runs, in the order in which they went.
#[derive(Debug, Default)]
pub struct DepartedLeafs {
    runs: VecDeque<(LeafRun, Moment)>,
}

impl DepartedLeafs {
    /// Notes that the source took a run out.
    pub fn add(&mut self, now: Moment, run: LeafRun) {
        self.forget_old(now);
        if self.runs.len() == MAXIMUM_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back((run, now));
    }

    /// Notes that the source lists a run again, of its own accord.
    pub fn remove(&mut self, run: &LeafRun) {
        self.runs.retain(|(departed, _)| departed != run);
    }

    /// Whether the source took the run out lately.
    pub fn contains(&self, now: Moment, run: &LeafRun) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|(departed, at)| departed == run && now.since(*at) < REMEMBERED)
    }

    fn forget_old(&mut self, now: Moment) {
        while let Some((_, at)) = self.runs.front()
            && now.since(*at) >= REMEMBERED
        {
            self.runs.pop_front();
        }
    }
}
