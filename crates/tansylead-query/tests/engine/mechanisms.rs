//! One test for each mechanism of the engine. The oracle checks every event and action.

use crate::builders::*;
use crate::world::World;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_query::{AttemptResult, EngineTuning, RootAction, RootEvent, SendAttempt};
use tansylead_types::leaf::RefusalReason;
use tansylead_types::*;

pub const DEADLINE: Duration = Duration::from_millis(200);

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn world_with(policy: ServicePolicy, slots: u32, snapshots: Vec<Snapshot>) -> World {
    let leafs = (0..4).map(|number| descriptor(number, slots)).collect();
    World::new(EngineTuning::default(), policy, leafs, snapshots)
}

pub fn world() -> World {
    world_with(ServicePolicy::default(), 5, vec![snapshot(1, 4, 4)])
}

pub fn lookup(world: &World, query: u64) -> tansylead_query::StartQuery {
    start(query, world.now, DEADLINE)
}

fn post(world: &World, query: u64) -> tansylead_query::StartQuery {
    non_repeatable(lookup(world, query), "account-1")
}

pub fn sends(actions: &[RootAction]) -> Vec<SendAttempt> {
    let sent = actions.iter().filter_map(|action| match action {
        RootAction::Send(send) => Some(send.clone()),
        _ => None,
    });
    sent.collect()
}

pub fn answered(send: &SendAttempt) -> AttemptResult {
    AttemptResult::Answered(answer_to(send))
}

fn refused(send: &SendAttempt, reason: RefusalReason) -> AttemptResult {
    AttemptResult::Refused(refusal_of(send, reason))
}

pub fn last(world: &World) -> &QueryAnswer {
    world.finished.last().expect("a query has finished")
}

fn reasons(answer: &QueryAnswer) -> Vec<MissingReason> {
    let missing = answer.coverage.missing.iter();
    missing.map(|missing| missing.reason).collect()
}

/// Runs queries one after the other; leaf `slow` takes longer than the others.
pub fn run_with_straggler(world: &mut World, queries: std::ops::Range<u64>, slow: Option<usize>) {
    for query in queries {
        let start = lookup(world, query);
        world.start(start);
        world.advance(millis(2));
        for send in world.running() {
            if Some(&send.leaf) != slow.map(leaf).as_ref() {
                world.end(&send, answered(&send));
            }
        }
        world.advance(millis(30));
        world.answer_all();
    }
}

#[test]
fn pins_the_newest_snapshot_that_is_live_on_every_shard() {
    let snapshots = vec![snapshot(1, 4, 4), snapshot(2, 3, 4)];
    let mut world = world_with(ServicePolicy::default(), 5, snapshots);
    let start = lookup(&world, 0);
    world.start(start);
    world.answer_all();
    assert_eq!(last(&world).snapshot, Some(SnapshotVersion(2)));
    // Shard p3-0 is held by leafs 0 and 1; both report that they hold version 1 only.
    world.deliver(health(0, false, &[1]));
    world.deliver(health(1, false, &[1]));
    world.advance(Duration::from_secs(11));
    let start = lookup(&world, 1);
    world.start(start);
    world.answer_all();
    assert_eq!(last(&world).snapshot, Some(SnapshotVersion(1)));
    assert_eq!(last(&world).outcome, Outcome::Complete);
    world.assert_clean();
}

#[test]
fn falls_back_to_the_best_coverage_and_names_the_missing_shard() {
    let mut world = world();
    world.deliver(RootEvent::LeafLeaving(leaf(0)));
    world.deliver(RootEvent::LeafLeaving(leaf(1)));
    let start = lookup(&world, 0);
    world.start(start);
    world.answer_all();
    let answer = last(&world);
    assert_eq!(answer.outcome, Outcome::Partial);
    assert_eq!(answer.coverage.answered, 3);
    assert_eq!(reasons(answer), [MissingReason::NoReplica]);
    world.assert_clean();
}

#[test]
fn starts_over_on_another_snapshot_when_the_pinned_one_goes_away() {
    let snapshots = vec![snapshot(1, 4, 4), snapshot(2, 3, 4)];
    let mut world = world_with(ServicePolicy::default(), 5, snapshots);
    let start = lookup(&world, 0);
    let first = sends(&world.start(start));
    world.end(&first[1], answered(&first[1]));
    let redirected = world.end(
        &first[0],
        refused(&first[0], RefusalReason::SnapshotNotHeld),
    );
    let redirected = sends(&redirected);
    assert_eq!(redirected.len(), 1, "the other replica is asked first");
    let restarted = world.end(
        &redirected[0],
        refused(&redirected[0], RefusalReason::SnapshotNotHeld),
    );
    let restarted = sends(&restarted);
    assert_eq!(restarted.len(), 4);
    assert!(restarted.iter().all(|send| send.snapshot.0 == 1));
    world.answer_all();
    assert_eq!(last(&world).outcome, Outcome::Complete);
    assert_eq!(last(&world).snapshot, Some(SnapshotVersion(1)));
    assert_eq!(world.engine.counters().restarts, 1);
    world.assert_clean();
}

/// Found by the fuzz test: the refusal reached a paused root after its query's deadline.
#[test]
fn late_refusal_still_tells_that_the_leaf_lost_the_snapshot() {
    let mut world = world();
    let query = lookup(&world, 0);
    let sent = sends(&world.start(query));
    world.now = world.now + DEADLINE;
    world.end(&sent[0], refused(&sent[0], RefusalReason::SnapshotNotHeld));
    let query = lookup(&world, 1);
    let next = sends(&world.start(query));
    assert!(next.iter().all(|send| send.leaf != sent[0].leaf));
    world.assert_clean();
}

#[test]
fn non_repeatable_query_never_starts_over() {
    let snapshots = vec![snapshot(1, 4, 4), snapshot(2, 3, 4)];
    let mut world = world_with(ServicePolicy::default(), 5, snapshots);
    let start = post(&world, 0);
    world.start(start);
    while let Some(send) = world.running().first().cloned() {
        world.end(&send, refused(&send, RefusalReason::SnapshotNotHeld));
    }
    assert_eq!(last(&world).outcome, Outcome::NotRun);
    assert_eq!(last(&world).snapshot, Some(SnapshotVersion(2)));
    assert_eq!(world.engine.counters().restarts, 0);
    world.assert_clean();
}

#[test]
fn repartition_leaves_queries_in_progress_on_their_shard_list() {
    let mut world = world();
    let start = lookup(&world, 0);
    world.start(start);
    world.snapshots = vec![snapshot(2, 7, 4)];
    world.configure();
    world.answer_all();
    assert_eq!(last(&world).coverage.total, 4);
    let start = lookup(&world, 1);
    world.start(start);
    world.answer_all();
    assert_eq!(last(&world).coverage.total, 7);
    world.assert_clean();
}

#[test]
fn same_version_with_another_shard_list_leaves_queries_in_progress_alone() {
    let mut world = world_with(ServicePolicy::default(), 1, vec![snapshot(1, 4, 4)]);
    for query in 0..2 {
        let start = lookup(&world, query);
        world.start(start);
    }
    let waiting = world.engine.status(world.now).waiting_shards;
    assert!(waiting > 0);
    let listed = world.oracle.shard_lists.clone();
    world.snapshots = vec![snapshot(1, 3, 4)];
    world.configure();
    world.oracle.shard_lists = listed;
    world.answer_all();
    assert!(
        world
            .finished
            .iter()
            .all(|answer| answer.coverage.total == 4)
    );
    assert!(
        world
            .finished
            .iter()
            .all(|answer| answer.outcome == Outcome::Complete)
    );
    world.assert_clean();
}

#[test]
fn routing_key_always_reaches_the_same_single_shard() {
    let mut world = world();
    let mut owners = BTreeMap::new();
    for query in 0..40 {
        let key = format!("account-{}", query % 10);
        let mut start = lookup(&world, query);
        start.request.routing_key = Some(key.clone());
        let sent = sends(&world.start(start));
        assert_eq!(sent.len(), 1);
        let owner = owners.entry(key).or_insert_with(|| sent[0].shard.clone());
        assert_eq!(*owner, sent[0].shard);
        world.answer_all();
    }
    let shards: std::collections::BTreeSet<_> = owners.values().collect();
    assert!(shards.len() > 1, "keys are spread");
    world.assert_clean();
}

#[test]
fn early_partial_waits_for_its_moment_and_the_least_coverage() {
    let policy = ServicePolicy {
        wait: WaitPolicy::EarlyPartial { after_millis: 20 },
        ..ServicePolicy::default()
    };
    let mut world = world_with(policy, 5, vec![snapshot(1, 4, 4)]);
    let start = lookup(&world, 0);
    let sent = sends(&world.start(start));
    world.end(&sent[0], answered(&sent[0]));
    world.advance(millis(50));
    assert!(world.finished.is_empty(), "a quarter is less than a half");
    world.end(&sent[1], answered(&sent[1]));
    assert_eq!(last(&world).outcome, Outcome::Partial);
    assert_eq!(last(&world).coverage.answered, 2);
    world.assert_clean();
}

#[test]
fn whole_deadline_waits_for_the_last_shard_until_the_deadline() {
    let mut world = world();
    let start = lookup(&world, 0);
    let sent = sends(&world.start(start));
    for send in &sent[1..] {
        world.end(send, answered(send));
    }
    world.advance(DEADLINE - millis(1));
    assert!(world.finished.is_empty());
    world.advance(millis(1));
    assert_eq!(last(&world).outcome, Outcome::Partial);
    assert_eq!(reasons(last(&world)), [MissingReason::DeadlineExceeded]);
    world.assert_clean();
}

#[test]
fn crossed_late_and_duplicate_answers_are_discarded_and_counted() {
    let mut world = world();
    let (first, second) = (lookup(&world, 0), lookup(&world, 1));
    let first = sends(&world.start(first));
    let second = sends(&world.start(second));
    world.end(&first[0], answered(&second[0]));
    world.answer_all();
    world.end(&first[0], answered(&first[0]));
    let counters = world.engine.counters();
    assert_eq!(counters.answers_mismatched, 1);
    assert_eq!(counters.answers_late + counters.answers_duplicate, 1);
    assert!(
        world
            .finished
            .iter()
            .all(|answer| answer.results.len() == 4)
    );
    world.assert_clean();
}

#[test]
fn not_run_comes_at_once_with_a_time_to_come_back() {
    let mut world = world();
    let start = post(&world, 0);
    world.start(start);
    while let Some(send) = world.running().first().cloned() {
        world.end(&send, refused(&send, RefusalReason::Draining));
    }
    assert_eq!(last(&world).outcome, Outcome::NotRun);
    assert!(last(&world).retry_after.is_some());
    world.assert_clean();
}

#[test]
fn refused_before_a_snapshot_is_pinned_without_configuration_or_time() {
    let mut unconfigured = world_with(ServicePolicy::default(), 5, Vec::new());
    let start = lookup(&unconfigured, 0);
    unconfigured.start(start);
    assert_eq!(last(&unconfigured).outcome, Outcome::NotRun);
    let mut world = world();
    let mut start = lookup(&world, 0);
    start.deadline = world.now;
    world.start(start);
    assert_eq!(last(&world).outcome, Outcome::NotRun);
    assert_eq!(last(&world).attempts, 0);
    world.assert_clean();
}

#[test]
fn post_that_may_have_run_ends_unknown_at_once() {
    let mut world = world();
    let start = post(&world, 0);
    let sent = sends(&world.start(start));
    world.end(&sent[0], AttemptResult::Failed);
    assert_eq!(last(&world).outcome, Outcome::Unknown);
    assert_eq!(last(&world).attempts, 1);
    world.assert_clean();
}

#[test]
fn post_without_an_answer_is_never_hedged_and_ends_unknown_at_the_deadline() {
    let mut world = world();
    run_with_straggler(&mut world, 0..40, None);
    let start = post(&world, 100);
    world.start(start);
    world.advance(DEADLINE);
    assert_eq!(last(&world).outcome, Outcome::Unknown);
    assert_eq!(last(&world).attempts, 1);
    world.assert_clean();
}

#[test]
fn post_past_its_expiry_ends_not_run_at_once_and_blames_no_leaf() {
    let mut world = world();
    for query in 0..5 {
        let start = post(&world, query);
        let sent = sends(&world.start(start));
        world.end(&sent[0], AttemptResult::Expired);
        assert_eq!(last(&world).outcome, Outcome::NotRun);
        assert_eq!(last(&world).attempts, 1);
    }
    let statuses = world.engine.status(world.now).leafs;
    assert!(statuses.iter().all(|status| !status.ejected));
    world.assert_clean();
}

#[test]
fn post_goes_to_another_replica_only_after_it_certainly_did_not_run() {
    let mut world = world();
    let start = post(&world, 0);
    let sent = sends(&world.start(start));
    let next = sends(&world.end(&sent[0], AttemptResult::NotSent));
    assert_ne!(next[0].leaf, sent[0].leaf);
    world.end(&next[0], answered(&next[0]));
    assert_eq!(last(&world).outcome, Outcome::Complete);
    world.assert_clean();
}

#[test]
fn in_band_drain_mark_outweighs_healthy_polls_until_a_new_life() {
    let mut world = world();
    let start = lookup(&world, 0);
    let sent = sends(&world.start(start));
    let mut answer = answer_to(&sent[0]);
    answer.load.draining = true;
    let leaving = sent[0].leaf.clone();
    world.end(&sent[0], AttemptResult::Answered(answer));
    world.answer_all();
    let number = (0..4).find(|number| leaf(*number) == leaving).unwrap();
    for query in 1..60 {
        world.advance(Duration::from_secs(1));
        world.deliver(health(number, false, &[1]));
        let start = lookup(&world, query);
        let sent = sends(&world.start(start));
        assert!(sent.iter().all(|send| send.leaf != leaving));
        world.answer_all();
    }
    world.deliver(RootEvent::LeafHealth {
        leaf: leaving.clone(),
        report: None,
    });
    world.deliver(health(number, false, &[1]));
    let statuses = world.engine.status(world.now).leafs;
    assert!(statuses.iter().all(|status| !status.leaving));
    world.assert_clean();
}

fn is_leaving(world: &World, number: usize) -> bool {
    world.engine.status(world.now).leafs[number].leaving
}

#[test]
fn late_announcement_of_the_old_process_does_not_outlast_the_new_one() {
    let mut world = world();
    let start = lookup(&world, 0);
    let sent = sends(&world.start(start));
    let mut answer = answer_to(&sent[0]);
    answer.load.draining = true;
    let leaving = sent[0].leaf.clone();
    world.end(&sent[0], AttemptResult::Answered(answer));
    world.answer_all();
    let number = (0..4).find(|number| leaf(*number) == leaving).unwrap();
    world.deliver(RootEvent::LeafHealth {
        leaf: leaving.clone(),
        report: None,
    });
    world.deliver(RootEvent::LeafLeaving(leaving));
    for _ in 0..30 {
        assert!(is_leaving(&world, number));
        world.deliver(health(number, false, &[1]));
        world.advance(Duration::from_secs(1));
    }
    world.deliver(health(number, false, &[1]));
    assert!(!is_leaving(&world, number));
    world.assert_clean();
}

#[test]
fn announcement_holds_against_healthy_polls_while_it_is_repeated() {
    let mut world = world();
    for second in 0..100 {
        if second % 10 == 0 {
            world.deliver(RootEvent::LeafLeaving(leaf(0)));
        }
        world.deliver(health(0, false, &[1]));
        assert!(is_leaving(&world, 0));
        world.advance(Duration::from_secs(1));
    }
    world.advance(Duration::from_secs(30));
    world.deliver(health(0, false, &[1]));
    assert!(!is_leaving(&world, 0), "the announcement was not repeated");
    world.assert_clean();
}

#[test]
fn leaving_mark_is_forgotten_when_the_configuration_adds_the_leaf_again() {
    let mut world = world();
    world.deliver(RootEvent::LeafLeaving(leaf(2)));
    let leafs = world.leafs.clone();
    world.leafs.remove(2);
    world.configure();
    world.leafs = leafs;
    world.configure();
    let status = &world.engine.status(world.now).leafs[2];
    assert!(!status.leaving);
    assert_eq!(status.limit, 1, "a leaf that returns is cold");
    world.assert_clean();
}

#[test]
fn shards_waiting_for_a_leaf_that_leaves_move_on() {
    let mut world = world_with(ServicePolicy::default(), 1, vec![snapshot(1, 4, 4)]);
    for query in 0..2 {
        let start = lookup(&world, query);
        world.start(start);
    }
    world.deliver(RootEvent::LeafLeaving(leaf(0)));
    world.deliver(RootEvent::LeafLeaving(leaf(1)));
    let statuses = world.engine.status(world.now).leafs;
    assert_eq!((statuses[0].waiting, statuses[1].waiting), (0, 0));
    world.answer_all();
    assert_eq!(world.finished.len(), 2);
    world.assert_clean();
}
