//! Retry budget of one service: bounds extra attempts, kept by each daemon on its own.
//!
//! The bound holds for all daemons together and for any window: extra attempts in a window are at
//! most `ratio` times the requests, plus `slack`. Each daemon spends at most `ratio` times its own
//! requests plus its share of the slack. To keep the bound, daemons need to know only how many
//! daemons there are, and how many of them are roots.

use crate::sliding_count::SlidingCount;
use std::time::Duration;
use tansylead_types::Moment;

/// Share of the bound that is used; the rest is headroom for counts that differ at the edges of
/// windows and for requests whose daemon is replaced.
const USED_SHARE: f64 = 0.8;
/// Share of the slack used in the first window after a daemon starts: the run before the restart
/// may have spent its own share in the same window.
const FIRST_WINDOW_SHARE: f64 = 0.4;
/// Share of the allowance that hedges leave to retries after a failure.
const RETRY_RESERVE: f64 = 0.25;

/// Bound on extra attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Extra attempts for each request.
    pub ratio: f64,
    /// Extra attempts beyond the ratio, by all daemons together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Why an extra attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtraAttempt {
    /// An earlier attempt has failed.
    Retry,
    /// An answer is overdue.
    Hedge,
}

/// Requests to one service and extra attempts over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: BudgetSettings,
    started: Moment,
    requests: SlidingCount,
    extra: SlidingCount,
}

impl RetryBudget {
    /// Creates the budget of a daemon that started at `started`.
    pub fn new(settings: BudgetSettings, started: Moment) -> Self {
        Self {
            settings,
            started,
            requests: SlidingCount::new(settings.window),
            extra: SlidingCount::new(settings.window),
        }
    }

    /// Records a request to the service.
    pub fn on_request(&mut self, now: Moment) {
        self.requests.add(now);
    }

    /// Takes one extra attempt if the bound allows it. `slack_share` is this daemon's share of the
    /// slack, 0 to 1; the shares of all daemons add up to 1 at most.
    pub fn try_take(&mut self, now: Moment, slack_share: f64, kind: ExtraAttempt) -> bool {
        let allowance = self.allowance(now, slack_share);
        let usable = match kind {
            ExtraAttempt::Retry => allowance,
            ExtraAttempt::Hedge => allowance * (1.0 - RETRY_RESERVE),
        };
        if f64::from(self.extra.sum(now)) + 1.0 > usable {
            return false;
        }
        self.extra.add(now);
        true
    }

    fn allowance(&self, now: Moment, slack_share: f64) -> f64 {
        let is_first_window = now.since(self.started) < self.settings.window;
        let used_share = if is_first_window {
            FIRST_WINDOW_SHARE
        } else {
            USED_SHARE
        };
        let slack = self.settings.slack * used_share * slack_share;
        f64::from(self.requests.sum(now)) * self.settings.ratio * USED_SHARE + slack
    }
}
