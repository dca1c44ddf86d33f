//! When a part of the deployment was last disrupted.

use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The disruptions of a process, a link or the store; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Disruptions {
    state: Arc<Mutex<DisruptionState>>,
}

#[derive(Debug, Default)]
struct DisruptionState {
    is_ongoing: bool,
    /// When the last one began or ended.
    last: Option<Instant>,
}

impl Disruptions {
    /// Records one that has no duration.
    pub fn record(&self) {
        self.state.lock().last = Some(Instant::now());
    }

    /// Records whether one is ongoing from now on.
    pub fn set_ongoing(&self, is_ongoing: bool) {
        let mut state = self.state.lock();
        if is_ongoing || state.is_ongoing {
            state.last = Some(Instant::now());
        }
        state.is_ongoing = is_ongoing;
    }

    /// Whether there was none for this long.
    pub fn are_absent_for(&self, time: Duration) -> bool {
        let state = self.state.lock();
        !state.is_ongoing && state.last.is_none_or(|last| last.elapsed() >= time)
    }
}
