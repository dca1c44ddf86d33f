//! Waits while the machine is suspended: the timers of the runtime stop, and the clock continues.

use std::time::Duration;
use tansylead_gateway::Clock;

/// Time by which the clock advances while the timers are stopped.
const SUSPENDED: Duration = Duration::from_millis(30);

/// Lets time pass for the clock alone: the runtime's timers, which are paused, do not advance while a task is
/// ready to run.
fn suspend() {
    std::thread::sleep(SUSPENDED);
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_when_its_moment_has_passed_in_a_suspension() {
    let moment = Clock.now() + SUSPENDED;
    let waiting = Clock.sleep_until(moment);
    tokio::pin!(waiting);
    // The wait starts, and nothing lets the timers advance.
    assert!(futures_util::poll!(&mut waiting).is_pending());
    suspend();
    assert!(futures_util::poll!(&mut waiting).is_pending());
    assert!(Clock.record_lag(Duration::from_secs(2)));
    assert!(futures_util::poll!(&mut waiting).is_ready());
    assert!(Clock.time_left(moment).is_zero());
}

#[tokio::test(start_paused = true)]
async fn a_short_lag_is_no_pause() {
    assert!(!Clock.record_lag(Duration::from_millis(400)));
    assert!(Clock.record_lag(Duration::from_millis(1_000)));
}

#[tokio::test]
async fn an_answer_in_time_is_returned_even_at_the_limit() {
    let answered = Clock.timeout_at(Clock.now(), std::future::ready(1)).await;
    assert_eq!(answered, Ok(1));
    let never = std::future::pending::<()>();
    assert!(Clock.timeout_at(Clock.now(), never).await.is_err());
}
