//! Waits while the machine is suspended: the timers of the runtime stand still, and the clock goes on.

use std::time::Duration;
use tansylead_gateway::Clock;

/// Time by which the clock goes on while the timers stand still.
const SUSPENDED: Duration = Duration::from_millis(30);

/// Lets time pass for the clock alone: with the runtime's timers paused and a task ready to run, these do not
/// go on.
fn suspend() {
    std::thread::sleep(SUSPENDED);
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_when_its_moment_has_passed_in_a_suspension() {
    let moment = Clock.now() + SUSPENDED;
    let waiting = Clock.sleep_until(moment);
    tokio::pin!(waiting);
    // The wait begins, and nothing else lets the timers go on.
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
async fn an_answer_in_time_beats_the_limit() {
    let answered = Clock.timeout_at(Clock.now(), std::future::ready(1)).await;
    assert_eq!(answered, Ok(1));
    let never = std::future::pending::<()>();
    assert!(Clock.timeout_at(Clock.now(), never).await.is_err());
}
