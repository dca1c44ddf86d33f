//! The retry budget bounds extra attempts in any window and with any number of daemons.

use proptest::prelude::*;
use std::time::Duration;
use tansylead_route::{BudgetSettings, ExtraAttempt, RetryBudget};
use tansylead_types::Moment;

const WINDOW: Duration = Duration::from_secs(10);
const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 58.0,
    window: WINDOW,
};

#[derive(Debug, Clone, Copy)]
struct Step {
    daemon: usize,
    after_millis: u64,
    requests: u32,
    extra: u32,
}

fn step(daemons: usize) -> impl Strategy<Value = Step> {
    (0..daemons, 0..700_u64, 0..30_u32, 0..30_u32).prop_map(
        |(daemon, after_millis, requests, extra)| Step {
            daemon,
            after_millis,
            requests,
            extra,
        },
    )
}

fn count(events: &[(Moment, u32)], from: Moment, until: Moment) -> u32 {
    let inside = events.iter().filter(|(at, _)| *at >= from && *at < until);
    inside.map(|(_, number)| number).sum()
}

proptest! {
    #[test]
    fn holds_over_all_daemons_and_windows(
        daemons in 1..6_usize,
        steps in proptest::collection::vec(step(6), 1..300),
    ) {
        let mut now = Moment::from_millis(1_000);
        let mut budgets = vec![RetryBudget::new(SETTINGS, now); daemons];
        let mut requests: Vec<(Moment, u32)> = Vec::new();
        let mut extra: Vec<(Moment, u32)> = Vec::new();
        for step in steps {
            now = now + Duration::from_millis(step.after_millis);
            let budget = &mut budgets[step.daemon % daemons];
            for _ in 0..step.requests {
                budget.on_request(now);
            }
            requests.push((now, step.requests));
            for _ in 0..step.extra {
                if budget.try_take(now, 1.0 / daemons as f64, ExtraAttempt::Retry) {
                    extra.push((now, 1));
                }
            }
            let from = now - WINDOW;
            let until = now + Duration::from_micros(1);
            // The greater of the requests in this window and in the one before.
            let inside = count(&requests, from, until);
            let before = count(&requests, from - WINDOW, from);
            let allowed = SETTINGS.ratio * f64::from(inside.max(before)) + SETTINGS.slack;
            prop_assert!(f64::from(count(&extra, from, until)) <= allowed);
        }
    }
}

#[test]
fn hedges_leave_room_for_retries() {
    let now = Moment::from_millis(60_000);
    let mut budget = RetryBudget::new(SETTINGS, Moment::default());
    let mut hedges = 0;
    while budget.try_take(now, 1.0, ExtraAttempt::Hedge) {
        hedges += 1;
    }
    assert!(hedges > 0);
    assert!(budget.try_take(now, 1.0, ExtraAttempt::Retry));
}

#[test]
fn a_daemon_that_has_just_started_spends_less_of_the_slack() {
    let spend = |now: Moment| {
        let mut budget = RetryBudget::new(SETTINGS, Moment::default());
        let mut taken = 0;
        while budget.try_take(now, 1.0, ExtraAttempt::Retry) {
            taken += 1;
        }
        taken
    };
    assert!(spend(Moment::from_millis(100)) < spend(Moment::from_millis(20_000)));
}
