//! A roll-out without any evidence ends, and its conclusion is stored in the source, whatever fails meanwhile.

mod roll_out_world;

use roll_out_world::faulty_source::{Fault, FaultySource, service};
use roll_out_world::fleet::{Fleet, until};
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::state::Gateway;
use tansylead_route::RollOutState;
use tansylead_types::NodeId;
use tokio::task::LocalSet;

const DAEMONS: u16 = 6;
const DURATION: Duration = Duration::from_secs(2);
/// Longer than the other judges take to write what the first one has concluded.
const OTHERS_WRITE_TIME: Duration = Duration::from_secs(6);

/// One roll-out of a fleet.
struct World {
    fleet: Fleet,
    source: Rc<FaultySource>,
    judges: Vec<NodeId>,
}

impl World {
    /// Runs a test with a fleet that knows of an order and follows its judge.
    async fn run(test: impl AsyncFnOnce(&World)) {
        let source = Rc::new(FaultySource::new());
        let running = async {
            let fleet = Fleet::start(DAEMONS, &source);
            source.add_order(1, DURATION);
            fleet.set_orders(&source.orders());
            let judges = fleet.daemons[0].view.judges(&service());
            let others = fleet.others(judges[0]);
            fleet.wait_until_followed(judges[0], &others).await;
            let world = World {
                fleet,
                source: Rc::clone(&source),
                judges,
            };
            test(&world).await;
        };
        LocalSet::new().run_until(running).await;
    }

    fn state(&self) -> Option<RollOutState> {
        self.source.current().map(|order| order.state)
    }

    async fn until_rolled_back(&self) {
        let is_back = || self.state() == Some(RollOutState::RolledBack);
        until("the order is rolled back", is_back).await;
    }

    /// Conclusions for which a write was requested.
    fn conclusions(&self) -> Vec<RollOutState> {
        let writes = self.source.writes.borrow();
        let conclusions = writes.iter().filter(|state| state.is_final());
        conclusions.copied().collect()
    }
}

fn known_state(gateway: &Gateway) -> Option<RollOutState> {
    let known = gateway.roll_outs()?;
    known.get(&service()).map(|order| order.state)
}

#[tokio::test]
async fn the_first_judge_writes_the_beginning_and_the_end_once() {
    World::run(async |world| {
        world.until_rolled_back().await;
        let first = &world.fleet.daemon(world.judges[0]).gateway;
        let is_applied = || known_state(first) == Some(RollOutState::RolledBack);
        until("its judge has applied it", is_applied).await;
        let expected = [RollOutState::Running, RollOutState::RolledBack];
        assert_eq!(*world.source.writes.borrow(), expected);
    })
    .await;
}

#[tokio::test]
async fn a_lost_answer_is_read_back() {
    World::run(async |world| {
        let is_running = || world.state() == Some(RollOutState::Running);
        until("the beginning is written", is_running).await;
        let faults = [Fault::AnswerLost];
        world.source.write_faults.borrow_mut().extend(faults);
        world.until_rolled_back().await;
        let first = &world.fleet.daemon(world.judges[0]).gateway;
        let is_applied = || known_state(first) == Some(RollOutState::RolledBack);
        until("its judge has applied it", is_applied).await;
        assert_eq!(world.conclusions(), [RollOutState::RolledBack]);
    })
    .await;
}

#[tokio::test]
async fn the_next_judge_concludes_if_the_first_is_killed_before() {
    World::run(async |world| {
        world.fleet.daemon(world.judges[0]).stop();
        world.until_rolled_back().await;
    })
    .await;
}

#[tokio::test]
async fn what_the_first_judge_wrote_stands_if_it_is_killed_right_after() {
    World::run(async |world| {
        world.until_rolled_back().await;
        world.fleet.daemon(world.judges[0]).stop();
        let written = world.source.current();
        // The other daemons get no message: the next judge takes the conclusion over, and finds it at the source.
        let next = &world.fleet.daemon(world.judges[1]).gateway;
        let is_applied = || known_state(next) == Some(RollOutState::RolledBack);
        until("the next judge knows", is_applied).await;
        assert_eq!(world.source.current(), written);
    })
    .await;
}

#[tokio::test]
async fn a_conclusion_is_written_when_the_source_is_back_long_after_the_deadline() {
    World::run(async |world| {
        world.source.is_away.set(true);
        until("a conclusion is refused", || {
            !world.conclusions().is_empty()
        })
        .await;
        tokio::time::sleep(DURATION).await;
        assert_ne!(world.state(), Some(RollOutState::RolledBack));
        world.source.is_away.set(false);
        world.until_rolled_back().await;
    })
    .await;
}

#[tokio::test]
async fn two_judges_that_do_not_hear_of_one_another_leave_one_conclusion() {
    World::run(async |world| {
        world.fleet.network.cut.borrow_mut().insert(world.judges[0]);
        world.until_rolled_back().await;
        let written = world.source.current();
        tokio::time::sleep(OTHERS_WRITE_TIME).await;
        assert_eq!(world.source.current(), written);
        for judge in &world.judges[..2] {
            let gateway = &world.fleet.daemon(*judge).gateway;
            assert_eq!(known_state(gateway), Some(RollOutState::RolledBack));
        }
    })
    .await;
}

#[tokio::test]
async fn nothing_is_written_to_a_withdrawn_order() {
    World::run(async |world| {
        world.source.remove_order();
        world.fleet.set_orders(&world.source.orders());
        tokio::time::sleep(2 * DURATION).await;
        assert_eq!(world.conclusions(), []);
    })
    .await;
}

#[tokio::test]
async fn lost_doubled_and_late_messages_do_not_keep_an_end_from_being_written() {
    World::run(async |world| {
        world.fleet.network.faults.set(0.2);
        world.until_rolled_back().await;
    })
    .await;
}

/// Guards against an outcome that stays lost while the judge that would write it again does not know of it.
#[tokio::test]
async fn an_outcome_that_the_source_lost_is_written_again_though_the_first_judge_stands_still() {
    World::run(async |world| {
        world.until_rolled_back().await;
        world.fleet.set_orders(&world.source.orders());
        world.fleet.daemon(world.judges[0]).stop();
        world.source.restore();
        world.fleet.set_orders(&world.source.orders());
        world.until_rolled_back().await;
        let begun = |state: &&RollOutState| **state == RollOutState::Running;
        let writes = world.source.writes.borrow();
        assert_eq!(writes.iter().filter(begun).count(), 1, "{writes:?}");
    })
    .await;
}

/// Guards against an order that has ended and is begun again by a daemon that has just started.
#[tokio::test]
async fn a_judge_to_which_most_members_do_not_report_writes_no_beginning() {
    let source = Rc::new(FaultySource::new());
    let running = async {
        let fleet = Fleet::start(DAEMONS, &source);
        source.add_order(1, DURATION * 2);
        let first = fleet.daemons[0].view.judges(&service())[0];
        let knowing = &fleet.daemon(first).gateway;
        knowing.apply_roll_outs(source.orders());
        tokio::time::sleep(DURATION).await;
        assert!(source.writes.borrow().is_empty());
        fleet.set_orders(&source.orders());
        let is_begun = || source.writes.borrow().contains(&RollOutState::Running);
        until("the order is begun", is_begun).await;
    };
    LocalSet::new().run_until(running).await;
}
