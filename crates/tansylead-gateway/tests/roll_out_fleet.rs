//! Which judge daemons follow, and how a roll-out goes on when daemons, messages or the source fail.

mod roll_out_world;

use roll_out_world::faulty_source::{FaultySource, service};
use roll_out_world::fleet::{Fleet, until};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::RollOutState;
use tansylead_types::NodeId;
use tokio::task::LocalSet;

const DAEMONS: u16 = 6;
/// A roll-out that does not end while the test runs.
const LONG: Duration = Duration::from_secs(600);
/// Several periods of reports.
const SOME_PERIODS: Duration = Duration::from_millis(700);

fn source() -> Rc<FaultySource> {
    Rc::new(FaultySource::new())
}

/// Runs a test with a fleet that knows of an order.
async fn with_order(
    duration: Duration,
    test: impl AsyncFnOnce(&Fleet, &Rc<FaultySource>, Vec<NodeId>),
) {
    let source = source();
    let running = async {
        let fleet = Fleet::start(DAEMONS, &source);
        source.add_order(1, duration);
        fleet.set_orders(&source.orders());
        let judges = fleet.daemons[0].view.judges(&service());
        test(&fleet, &source, judges).await;
    };
    LocalSet::new().run_until(running).await;
}

#[tokio::test]
async fn nothing_is_sent_while_no_roll_out_runs() {
    let source = source();
    let running = async {
        let fleet = Fleet::start(DAEMONS, &source);
        fleet.set_orders(&source.orders());
        tokio::time::sleep(SOME_PERIODS).await;
        assert!(fleet.network.reports.borrow().is_empty());
        source.add_order(1, LONG);
        fleet.set_orders(&source.orders());
        until("reports come", || {
            !fleet.network.reports.borrow().is_empty()
        })
        .await;
        source.set_state(RollOutState::RolledBack);
        fleet.set_orders(&source.orders());
        fleet.network.reports.borrow_mut().clear();
        tokio::time::sleep(SOME_PERIODS).await;
        assert!(fleet.network.reports.borrow().is_empty());
    };
    LocalSet::new().run_until(running).await;
}

#[tokio::test]
async fn all_daemons_follow_the_judge_ranked_first() {
    with_order(LONG, async |fleet, _, judges| {
        fleet
            .wait_until_followed(judges[0], &fleet.others(judges[0]))
            .await;
    })
    .await;
}

#[tokio::test]
async fn a_judge_that_is_cut_off_is_left_for_the_next_and_followed_again_later() {
    with_order(LONG, async |fleet, _, judges| {
        let others = fleet.others(judges[0]);
        fleet.wait_until_followed(judges[0], &others).await;
        fleet.network.cut.borrow_mut().insert(judges[0]);
        fleet.wait_until_followed(judges[1], &others).await;
        fleet.network.cut.borrow_mut().insert(judges[1]);
        let rest: Vec<NodeId> = others
            .iter()
            .filter(|node| **node != judges[1])
            .copied()
            .collect();
        fleet.wait_until_followed(judges[2], &rest).await;
        fleet.network.cut.borrow_mut().clear();
        fleet.wait_until_followed(judges[0], &others).await;
    })
    .await;
}

#[tokio::test]
async fn a_judge_that_was_killed_is_left_for_the_next() {
    with_order(LONG, async |fleet, _, judges| {
        let others = fleet.others(judges[0]);
        fleet.wait_until_followed(judges[0], &others).await;
        fleet.daemon(judges[0]).stop();
        fleet.wait_until_followed(judges[1], &others).await;
    })
    .await;
}

#[tokio::test]
async fn lost_doubled_and_late_messages_do_not_keep_a_judge_from_being_followed() {
    with_order(LONG, async |fleet, _, judges| {
        fleet.network.faults.set(0.2);
        fleet
            .wait_until_followed(judges[0], &fleet.others(judges[0]))
            .await;
    })
    .await;
}

#[tokio::test]
async fn a_daemon_that_has_not_joined_neither_reports_nor_judges() {
    with_order(LONG, async |fleet, _, judges| {
        let lost = fleet.daemon(judges[0]);
        lost.view.set_members(Vec::new(), false);
        let others = fleet.others(judges[0]);
        fleet.wait_until_followed(judges[1], &others).await;
        tokio::time::sleep(SOME_PERIODS).await;
        let reports = fleet.network.reports.borrow();
        assert!(reports.iter().all(|report| report.reporter != lost.node));
    })
    .await;
}

#[tokio::test]
async fn a_daemon_reports_under_the_boot_that_membership_tells() {
    with_order(LONG, async |fleet, _, judges| {
        let daemon = fleet.daemon(fleet.others(judges[0])[0]);
        daemon.view.set_boot(2);
        until("the new run reports and follows", || {
            let reports = fleet.network.reports.borrow();
            reports.iter().any(|report| {
                report.reporter == daemon.node && report.boot == 2 && report.follows.is_some()
            })
        })
        .await;
    })
    .await;
}
