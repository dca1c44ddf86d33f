//! Tests of the mechanisms that spread and bound load: replica choice, ejection, slow start,
//! limits, waiting, hedges, retry budget, admission.

use crate::builders::*;
use crate::mechanisms::*;
use crate::world::World;
use std::time::Duration;
use tansylead_query::{AttemptResult, EngineTuning, RootEvent};
use tansylead_types::leaf::RefusalReason;
use tansylead_types::*;

fn attempts_on(world: &World, number: usize) -> usize {
    let name = leaf(number);
    let past = world.past();
    past.iter().filter(|send| send.leaf == name).count()
}

#[test]
fn two_choices_send_less_to_a_slow_leaf_than_random_choice() {
    let slow_leaf_attempts = |tuning: EngineTuning| {
        let leafs = (0..4).map(|number| descriptor(number, 5)).collect();
        let snapshots = vec![snapshot(1, 4, 4)];
        let mut world = World::new(tuning, ServicePolicy::default(), leafs, snapshots);
        run_with_straggler(&mut world, 0..100, Some(1));
        world.assert_clean();
        attempts_on(&world, 1)
    };
    let mut tuning = EngineTuning::baseline();
    let random = slow_leaf_attempts(tuning.clone());
    tuning.replica_choice = tansylead_query::ReplicaChoice::PowerOfTwoChoices;
    let two_choices = slow_leaf_attempts(tuning);
    assert!(two_choices * 4 < random, "{two_choices} and {random}");
}

#[test]
fn straggler_is_ejected_within_the_share_and_probed_again() {
    // Power of two choices would avoid the straggler too early for it to be ejected.
    let tuning = EngineTuning {
        ejection: true,
        slow_start: true,
        ..EngineTuning::baseline()
    };
    let leafs = (0..4).map(|number| descriptor(number, 5)).collect();
    let snapshots = vec![snapshot(1, 4, 4)];
    let mut world = World::new(tuning, ServicePolicy::default(), leafs, snapshots);
    let mut ejected_at_once = 0;
    for query in 0..200 {
        run_with_straggler(&mut world, query..query + 1, Some(1));
        let statuses = world.engine.status(world.now).leafs;
        let ejected = statuses.iter().filter(|status| status.ejected).count();
        ejected_at_once = ejected_at_once.max(ejected);
    }
    assert_eq!(ejected_at_once, 1);
    let before = attempts_on(&world, 1);
    world.advance(Duration::from_secs(60));
    run_with_straggler(&mut world, 1_000..1_040, None);
    assert!(attempts_on(&world, 1) > before, "probed again");
    let status = &world.engine.status(world.now).leafs[1];
    assert!(!status.ejected);
    world.assert_clean();
}

#[test]
fn failing_leaf_is_ejected_and_still_used_where_nothing_else_is_left() {
    let mut world = world();
    for query in 0..12 {
        let start = lookup(&world, query);
        world.start(start);
        for send in world.running() {
            let fails = send.leaf == leaf(0);
            let result = if fails {
                AttemptResult::NotSent
            } else {
                answered(&send)
            };
            world.end(&send, result);
        }
        world.answer_all();
    }
    assert!(world.engine.status(world.now).leafs[0].ejected);
    world.deliver(RootEvent::LeafLeaving(leaf(1)));
    let start = lookup(&world, 100);
    let sent = sends(&world.start(start));
    assert!(
        sent.iter().any(|send| send.leaf == leaf(0)),
        "last resort for p4-0"
    );
    world.assert_clean();
}

#[test]
fn hung_leaf_is_avoided_before_its_average_shows_it() {
    let mut world = world();
    run_with_straggler(&mut world, 0..40, None);
    let hung = leaf(2);
    for query in 100..130 {
        let start = lookup(&world, query);
        world.start(start);
        world.advance(millis(5));
        for send in world.running().into_iter().filter(|send| send.leaf != hung) {
            world.end(&send, answered(&send));
        }
    }
    world.advance(DEADLINE);
    let complete = world
        .finished
        .iter()
        .filter(|answer| answer.outcome == Outcome::Complete);
    assert_eq!(complete.count(), 70, "hedges cover the hung leaf");
    world.assert_clean();
}

#[test]
fn new_leaf_starts_with_one_attempt_and_grows_to_its_slots() {
    let mut world = world();
    world.leafs.push(descriptor(4, 5));
    world.configure();
    let limit = |world: &World| world.engine.status(world.now).leafs[4].limit;
    assert_eq!(limit(&world), 1);
    world.advance(Duration::from_secs(3));
    assert_eq!(limit(&world), 3);
    world.advance(Duration::from_secs(2));
    assert_eq!(limit(&world), 5);
}

#[test]
fn roots_divide_slots_but_keep_one_each() {
    let mut world = world();
    let limits = |world: &World| -> Vec<u32> {
        let statuses = world.engine.status(world.now).leafs;
        statuses.iter().map(|status| status.limit).collect()
    };
    world.set_roots(2);
    assert_eq!(limits(&world), [2, 2, 2, 2]);
    world.set_roots(9);
    assert_eq!(limits(&world), [1, 1, 1, 1]);
    world.assert_clean();
}

#[test]
fn overload_lowers_the_limit_pauses_the_leaf_and_success_raises_it() {
    let mut world = world();
    let start = lookup(&world, 0);
    let sent = sends(&world.start(start));
    let mut refusal = refusal_of(&sent[0], RefusalReason::Overloaded);
    refusal.retry_after_millis = Some(40);
    let shed = sent[0].leaf.clone();
    world.end(&sent[0], AttemptResult::Refused(refusal));
    let limit = |world: &World| {
        let statuses = world.engine.status(world.now).leafs;
        let status = statuses.iter().find(|status| status.leaf == shed).unwrap();
        status.limit
    };
    assert_eq!(limit(&world), 3);
    world.answer_all();
    let start = lookup(&world, 1);
    let during_pause = sends(&world.start(start));
    assert!(during_pause.iter().all(|send| send.leaf != shed));
    world.answer_all();
    world.advance(millis(40));
    for other in (0..4).map(leaf).filter(|other| *other != shed) {
        world.deliver(RootEvent::LeafLeaving(other));
    }
    run_with_straggler(&mut world, 10..20, None);
    assert_eq!(limit(&world), 5);
    world.assert_clean();
}

#[test]
fn freed_slot_goes_to_the_waiting_shard_with_the_earliest_deadline() {
    let mut world = world_with(ServicePolicy::default(), 1, vec![snapshot(1, 1, 4)]);
    let mut queries: Vec<_> = (0..4).map(|query| lookup(&world, query)).collect();
    queries[2].deadline = world.now + millis(300);
    queries[3].deadline = world.now + millis(150);
    for query in queries {
        world.start(query);
    }
    let running = world.running();
    assert_eq!(running.len(), 2, "two replicas with one slot each");
    let next = sends(&world.end(&running[0], answered(&running[0])));
    assert_eq!(next[0].query, QueryId(3));
    let next = sends(&world.end(&next[0], answered(&next[0])));
    assert_eq!(next[0].query, QueryId(2));
    world.assert_clean();
}

#[test]
fn query_that_cannot_get_its_slots_in_time_is_refused_at_once() {
    let mut world = world_with(ServicePolicy::default(), 1, vec![snapshot(1, 4, 4)]);
    let mut refused = 0;
    for query in 0..200 {
        let start = start(query, world.now, millis(50));
        let sent = world.start(start);
        if sends(&sent).is_empty() && !sent.is_empty() {
            refused += 1;
        }
    }
    assert_eq!(world.engine.counters().refused_capacity, refused);
    assert!(refused > 150);
    assert!(
        world
            .finished
            .iter()
            .all(|answer| answer.outcome == Outcome::NotRun)
    );
    assert!(
        world
            .finished
            .iter()
            .all(|answer| answer.retry_after.is_some())
    );
    world.assert_clean();
}

#[test]
fn hedge_goes_out_after_the_learned_delay_and_the_loser_is_cancelled() {
    let mut world = world();
    run_with_straggler(&mut world, 0..40, None);
    let start = lookup(&world, 100);
    let sent = sends(&world.start(start));
    for send in &sent[1..] {
        world.end(send, answered(send));
    }
    let early = sends(&world.advance(millis(1)));
    assert!(early.is_empty());
    let hedge = sends(&world.advance(millis(2)));
    assert_eq!(hedge.len(), 1);
    assert_eq!(hedge[0].shard, sent[0].shard);
    assert_ne!(hedge[0].leaf, sent[0].leaf);
    let actions = world.end(&hedge[0], answered(&hedge[0]));
    let cancelled = actions.iter().any(|action| {
        matches!(action, tansylead_query::RootAction::Cancel { attempt, .. } if *attempt == sent[0].attempt)
    });
    assert!(cancelled);
    assert_eq!(last(&world).results.len(), 4);
    let in_flight = |world: &World| -> u32 {
        let statuses = world.engine.status(world.now).leafs;
        statuses.iter().map(|status| status.in_flight).sum()
    };
    assert_eq!(in_flight(&world), 1, "the loser may still run");
    world.advance(millis(100));
    assert_eq!(in_flight(&world), 0);
    world.assert_clean();
}

#[test]
fn extra_attempts_stay_within_the_budget_when_every_attempt_fails() {
    let mut world = world();
    for query in 0..300 {
        let start = lookup(&world, query);
        world.start(start);
        while let Some(send) = world.running().first().cloned() {
            world.end(&send, AttemptResult::Failed);
        }
    }
    let counters = world.engine.counters();
    let extra = counters.attempts_retry + counters.attempts_hedge;
    assert_eq!(counters.attempts_first, 1_200);
    assert!(
        (60..=70).contains(&extra),
        "5 % of 1200 and a burst of 10: {extra}"
    );
    world.assert_clean();
}

#[test]
fn long_deadline_outlasts_a_restart_of_both_replicas() {
    let mut world = world_with(ServicePolicy::default(), 5, vec![snapshot(1, 1, 4)]);
    let down_until = world.now + Duration::from_secs(3);
    let query = start(0, world.now, Duration::from_secs(30));
    world.start(query);
    while world.finished.is_empty() {
        for send in world.running() {
            let down = world.now < down_until;
            let result = if down {
                AttemptResult::NotSent
            } else {
                answered(&send)
            };
            world.end(&send, result);
        }
        world.advance(millis(100));
    }
    assert_eq!(last(&world).outcome, Outcome::Complete);
    assert!(last(&world).attempts <= 8);
    world.assert_clean();
}

#[test]
fn hedges_leave_half_of_the_burst_to_retries() {
    let mut world = world();
    for query in 0..40 {
        let start = lookup(&world, query);
        world.start(start);
        world.advance(DEADLINE);
    }
    let status = world.engine.status(world.now);
    assert!(status.counters.attempts_hedge > 0);
    assert!(status.retry_budget >= 5.0, "{}", status.retry_budget);
    world.assert_clean();
}

#[test]
fn rate_share_refuses_what_is_above_it_with_a_time_to_come_back() {
    let mut world = world();
    world.set_rate(20.0);
    let mut complete = 0;
    for query in 0..100 {
        let start = lookup(&world, query);
        world.start(start);
        world.answer_all();
        complete += usize::from(last(&world).outcome == Outcome::Complete);
        world.advance(millis(10));
    }
    assert!(
        (20..=22).contains(&complete),
        "20 a second and a burst of 2: {complete}"
    );
    assert_eq!(world.engine.counters().refused_rate, 100 - complete as u64);
    world.assert_clean();
}

#[test]
fn paused_root_sends_nothing_for_queries_whose_deadline_has_passed() {
    let mut world = world_with(ServicePolicy::default(), 1, vec![snapshot(1, 4, 4)]);
    for query in 0..3 {
        let start = lookup(&world, query);
        world.start(start);
    }
    let running = world.running();
    world.now = world.now + DEADLINE * 2;
    let actions = world.end(&running[0], answered(&running[0]));
    assert!(sends(&actions).is_empty());
    assert_eq!(world.finished.len(), 3);
    world.assert_clean();
}

/// Found by the fuzz test: the deadline was due when a paused root received the caller's
/// disconnect.
#[test]
fn caller_gone_at_a_root_paused_past_the_deadline_gets_no_answer() {
    let mut world = world();
    let start = lookup(&world, 0);
    world.start(start);
    world.now = world.now + DEADLINE;
    world.deliver(RootEvent::CallerGone(QueryId(0)));
    assert!(world.finished.is_empty());
    world.assert_clean();
}

/// Found by the fuzz test: hedges were due when a paused root received the configuration that
/// removes the leafs they would have been sent to.
#[test]
fn paused_root_hears_of_leafs_before_it_hedges() {
    let mut world = world();
    run_with_straggler(&mut world, 0..40, None);
    let query = lookup(&world, 100);
    world.start(query);
    world.now = world.now + DEADLINE / 2;
    world.leafs.clear();
    let actions = world.configure();
    assert!(sends(&actions).is_empty(), "{actions:?}");
    world.assert_clean();
}

#[test]
fn paused_root_hears_of_a_leaving_leaf_before_it_hedges() {
    let mut world = world_with(ServicePolicy::default(), 5, vec![snapshot(1, 1, 4)]);
    run_with_straggler(&mut world, 0..60, None);
    let query = lookup(&world, 100);
    let sent = sends(&world.start(query));
    let other = usize::from(sent[0].leaf == leaf(0));
    world.now = world.now + DEADLINE / 2;
    let actions = world.deliver(RootEvent::LeafLeaving(leaf(other)));
    assert!(sends(&actions).is_empty(), "{actions:?}");
    world.assert_clean();
}

#[test]
fn caller_gone_cancels_everything_without_an_answer() {
    let mut world = world();
    let start = lookup(&world, 0);
    world.start(start);
    let actions = world.deliver(RootEvent::CallerGone(QueryId(0)));
    assert_eq!(actions.len(), 4, "four cancels: {actions:?}");
    world.advance(DEADLINE);
    assert!(world.finished.is_empty());
    world.assert_clean();
}
