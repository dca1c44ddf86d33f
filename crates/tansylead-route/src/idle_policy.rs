//! How long an idle connection to a leaf is kept.
//!
//! An idle connection costs memory; a new one costs the leaf a slot for a moment and the request a
//! round trip. So a connection is kept for a few times the usual gap between requests, if it is
//! likely to be used by then. Some leafs drop idle connections without closing them, and reset what
//! is sent on them next. Connections to such a leaf are kept for less than the idle time after which
//! one was reset.

use std::time::Duration;
use tansylead_types::Moment;

/// Shortest time that a connection is kept, unless the leaf drops idle connections earlier.
const SHORTEST: Duration = Duration::from_secs(1);
/// Longest time that a connection is kept.
const LONGEST: Duration = Duration::from_secs(5);
/// Number of mean gaps that a connection is kept for: with random arrivals, 95 in 100 gaps are shorter.
const GAPS: f64 = 3.0;
/// Weight of a new gap in the moving average.
const GAP_WEIGHT: f64 = 0.2;
/// Connections are kept for this share of the idle time after which one was reset.
const IDLE_RESET_SHARE: f64 = 0.5;
/// No leaf drops a connection that was idle for less, so a loss after less is a lost answer and tells nothing
/// about idle times. A request that is lost with a dropped connection may have run, so requests that are not
/// repeatable are sent only on connections that were idle for less.
pub const SHORTEST_IDLE_RESET: Duration = Duration::from_millis(250);
/// How long a reset after idle time limits the time that connections are kept.
const IDLE_RESET_MEMORY: Duration = Duration::from_secs(10);

/// When idle connections to one leaf are closed.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdlePolicy {
    last_use: Option<Moment>,
    mean_gap: Option<Duration>,
    idle_reset: Option<IdleReset>,
}

/// The leaf reset a connection that had been idle.
#[derive(Debug, Clone, Copy)]
struct IdleReset {
    noticed_at: Moment,
    limit: Duration,
}

impl IdlePolicy {
    /// Records a request to the leaf.
    pub fn on_use(&mut self, now: Moment) {
        if let Some(last) = self.last_use.replace(now) {
            let gap = now.since(last);
            let mean = self.mean_gap.unwrap_or(gap);
            let weighted = mean.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
            self.mean_gap = Some(weighted);
        }
    }

    /// Mean gap between requests to the leaf; none before the second request.
    pub fn mean_gap(&self) -> Option<Duration> {
        self.mean_gap
    }

    /// Records that a connection was reset when it was used after being idle for `idle`.
    pub fn on_idle_reset(&mut self, now: Moment, idle: Duration) {
        if idle < SHORTEST_IDLE_RESET {
            return;
        }
        let limit = idle.mul_f64(IDLE_RESET_SHARE);
        let known = self.idle_reset_limit(now);
        self.idle_reset = Some(IdleReset {
            noticed_at: now,
            limit: known.map_or(limit, |known| known.min(limit)),
        });
    }

    /// How long an idle connection is kept from now on. Where connections are scarce, the leaf may
    /// refuse a new one, so open ones are kept longest.
    pub fn limit(&self, now: Moment, are_scarce: bool) -> Duration {
        let wanted = self.mean_gap.map_or(SHORTEST, |gap| gap.mul_f64(GAPS));
        let kept = if are_scarce {
            LONGEST
        } else if wanted > LONGEST {
            SHORTEST
        } else {
            wanted.max(SHORTEST)
        };
        self.idle_reset_limit(now)
            .map_or(kept, |limit| kept.min(limit))
    }

    fn idle_reset_limit(&self, now: Moment) -> Option<Duration> {
        let idle_reset = self.idle_reset?;
        let is_recent = now.since(idle_reset.noticed_at) < IDLE_RESET_MEMORY;
        is_recent.then_some(idle_reset.limit)
    }
}
