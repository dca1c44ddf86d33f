//! Steps of the fuzz test: everything that callers, leafs, health polls, configuration and process
//! pauses can do to a root, alone or in combination.

use crate::builders::*;
use crate::world::World;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::time::Duration;
use tansylead_query::{AttemptResult, RootEvent, SendAttempt};
use tansylead_types::leaf::{LeafAnswer, LeafHealth, LeafLoad, RefusalReason};
use tansylead_types::*;

/// Number of leafs in the fuzz test.
pub const LEAFS: usize = 5;
/// Number of newest snapshots that `DropOldSnapshots` keeps.
const SNAPSHOTS_KEPT: usize = 2;

/// How an attempt ends.
#[derive(Debug, Clone, Copy)]
pub enum End {
    Answer {
        draining: bool,
    },
    /// Answer to an attempt of another query, if there is one.
    Crossed {
        other: u16,
    },
    OtherSnapshot,
    OtherRoot,
    Refuse(RefusalReason),
    /// Refusal of another attempt.
    RefuseCrossed,
    NotSent,
    Expired,
    Failed,
}

/// Kind of a query.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    Lookup,
    RoutedLookup,
    /// Non-repeatable, addressed to one shard.
    Post,
    /// Non-repeatable, addressed to every shard.
    PostToAll,
}

/// One step of the fuzz test.
#[derive(Debug, Clone)]
pub enum Step {
    Start {
        kind: Kind,
        key: u8,
        millis: u64,
    },
    End {
        pick: u16,
        end: End,
    },
    AnswerMany {
        count: u8,
    },
    /// Reports an end for an attempt that has ended or was cancelled.
    EndPast {
        pick: u16,
        end: End,
    },
    Advance {
        micros: u64,
    },
    /// Pauses the process: timers that come due meanwhile fire late, on a wakeup or the next event.
    Freeze {
        millis: u64,
        woken_by_timer: bool,
    },
    Leaving {
        leaf: usize,
    },
    Health {
        leaf: usize,
        draining: bool,
        healthy: bool,
        versions: u8,
    },
    PollFailed {
        leaf: usize,
    },
    CallerGone {
        pick: u16,
    },
    NewSnapshot {
        shards: usize,
    },
    DropOldSnapshots,
    RemoveLeaf {
        leaf: usize,
    },
    AddLeaf {
        leaf: usize,
        slots: u32,
    },
    Roots {
        roots: u32,
    },
    Rate {
        per_second: f64,
    },
}

/// Empty reference state: which steps may come next does not depend on earlier ones.
#[derive(Debug, Clone, Default)]
pub struct Script;

impl ReferenceStateMachine for Script {
    type State = Script;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Script> {
        Just(Script).boxed()
    }

    fn transitions(_: &Script) -> BoxedStrategy<Step> {
        prop_oneof![
            16 => (kind(), any::<u8>(), 1..400_u64)
                .prop_map(|(kind, key, millis)| Step::Start { kind, key, millis }),
            30 => (any::<u16>(), end()).prop_map(|(pick, end)| Step::End { pick, end }),
            20 => (1..20_u8).prop_map(|count| Step::AnswerMany { count }),
            6 => (any::<u16>(), end()).prop_map(|(pick, end)| Step::EndPast { pick, end }),
            24 => (0..40_000_u64).prop_map(|micros| Step::Advance { micros }),
            2 => (1..20_u64).prop_map(|seconds| Step::Advance { micros: seconds * 1_000_000 }),
            3 => (1..2_000_u64, any::<bool>()).prop_map(|(millis, woken_by_timer)| Step::Freeze {
                millis, woken_by_timer
            }),
            2 => (0..LEAFS).prop_map(|leaf| Step::Leaving { leaf }),
            6 => (0..LEAFS, prop::bool::weighted(0.1), prop::bool::weighted(0.9), any::<u8>())
                .prop_map(|(leaf, draining, healthy, versions)| Step::Health {
                    leaf, draining, healthy, versions
                }),
            2 => (0..LEAFS).prop_map(|leaf| Step::PollFailed { leaf }),
            2 => any::<u16>().prop_map(|pick| Step::CallerGone { pick }),
            3 => (3..8_usize).prop_map(|shards| Step::NewSnapshot { shards }),
            2 => Just(Step::DropOldSnapshots),
            2 => (0..LEAFS).prop_map(|leaf| Step::RemoveLeaf { leaf }),
            4 => (0..LEAFS, 1..4_u32).prop_map(|(leaf, slots)| Step::AddLeaf { leaf, slots }),
            1 => (1..4_u32).prop_map(|roots| Step::Roots { roots }),
            1 => prop::sample::select(vec![0.0, 5.0, 200.0, f64::INFINITY])
                .prop_map(|per_second| Step::Rate { per_second }),
        ]
        .boxed()
    }

    fn apply(state: Script, _: &Step) -> Script {
        state
    }
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        6 => Just(Kind::Lookup),
        2 => Just(Kind::RoutedLookup),
        2 => Just(Kind::Post),
        1 => Just(Kind::PostToAll),
    ]
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        20 => prop::bool::weighted(0.02).prop_map(|draining| End::Answer { draining }),
        4 => any::<u16>().prop_map(|other| End::Crossed { other }),
        1 => Just(End::OtherSnapshot),
        1 => Just(End::OtherRoot),
        4 => Just(End::Refuse(RefusalReason::Overloaded)),
        1 => Just(End::Refuse(RefusalReason::Draining)),
        3 => Just(End::Refuse(RefusalReason::SnapshotNotHeld)),
        2 => Just(End::Refuse(RefusalReason::ShardNotHeld)),
        1 => Just(End::Refuse(RefusalReason::Expired)),
        2 => Just(End::RefuseCrossed),
        3 => Just(End::NotSent),
        1 => Just(End::Expired),
        3 => Just(End::Failed),
    ]
}

/// Applies one step to the world.
pub fn apply(world: &mut World, step: &Step) {
    match step {
        Step::Start { kind, key, millis } => start_query(world, *kind, *key, *millis),
        Step::End { pick, end } => {
            if let Some(send) = picked(&world.running(), *pick) {
                end_attempt(world, &send, *end);
            }
        }
        Step::AnswerMany { count } => {
            for send in world.running().iter().take(usize::from(*count)) {
                if world.running().contains(send) {
                    end_attempt(world, send, End::Answer { draining: false });
                }
            }
        }
        Step::EndPast { pick, end } => {
            if let Some(send) = picked(&world.past(), *pick) {
                end_attempt(world, &send, *end);
            }
        }
        Step::Advance { micros } => drop(world.advance(Duration::from_micros(*micros))),
        Step::Rate { per_second } => world.set_rate(*per_second),
        Step::Freeze {
            millis,
            woken_by_timer,
        } => {
            world.now = world.now + Duration::from_millis(*millis);
            if *woken_by_timer {
                world.deliver(RootEvent::Wakeup);
            }
        }
        Step::CallerGone { pick } => {
            let open = world
                .oracle
                .queries
                .iter()
                .filter(|(_, query_record)| !query_record.over);
            let open: Vec<QueryId> = open.map(|(query, _)| *query).collect();
            if let Some(query) = picked(&open, *pick) {
                world.deliver(RootEvent::CallerGone(query));
            }
        }
        _ => apply_to_leafs(world, step),
    }
}

fn apply_to_leafs(world: &mut World, step: &Step) {
    match step {
        Step::Leaving { leaf: number } => {
            drop(world.deliver(RootEvent::LeafLeaving(leaf(*number))))
        }
        Step::Health {
            leaf: number,
            draining,
            healthy,
            versions,
        } => {
            let all = world.snapshots.iter().map(|snapshot| snapshot.version);
            let listed = all
                .enumerate()
                .filter(|(bit, _)| versions.rotate_right(*bit as u32) & 3 != 0);
            let load = LeafLoad {
                draining: *draining,
                ..LeafLoad::default()
            };
            let snapshots = listed.map(|(_, version)| version).collect();
            let report = Some(LeafHealth {
                healthy: *healthy,
                load,
                snapshots,
            });
            world.deliver(RootEvent::LeafHealth {
                leaf: leaf(*number),
                report,
            });
        }
        Step::PollFailed { leaf: number } => {
            world.deliver(RootEvent::LeafHealth {
                leaf: leaf(*number),
                report: None,
            });
        }
        Step::Roots { roots } => drop(world.set_roots(*roots)),
        _ => apply_to_configuration(world, step),
    }
}

fn apply_to_configuration(world: &mut World, step: &Step) {
    match step {
        Step::NewSnapshot { shards } => {
            let newest = world
                .oracle
                .shard_lists
                .keys()
                .last()
                .map_or(0, |last| last.0);
            world.snapshots.push(snapshot(newest + 1, *shards, LEAFS));
        }
        Step::DropOldSnapshots => {
            let surplus = world.snapshots.len().saturating_sub(SNAPSHOTS_KEPT);
            world.snapshots.drain(..surplus);
        }
        Step::RemoveLeaf { leaf: number } => {
            world
                .leafs
                .retain(|descriptor| descriptor.leaf != leaf(*number));
        }
        Step::AddLeaf {
            leaf: number,
            slots,
        } => {
            world
                .leafs
                .retain(|descriptor| descriptor.leaf != leaf(*number));
            world.leafs.push(descriptor(*number, *slots));
        }
        other => unreachable!("{other:?} does not change the configuration"),
    }
    world.configure();
}

fn start_query(world: &mut World, kind: Kind, key: u8, millis: u64) {
    let number = world.oracle.queries.len() as u64;
    let mut query = start(number, world.now, Duration::from_millis(millis));
    let key = format!("account-{}", key % 8);
    match kind {
        Kind::Lookup => {}
        Kind::RoutedLookup => query.request.routing_key = Some(key),
        Kind::Post => query = non_repeatable(query, &key),
        Kind::PostToAll => {
            query = non_repeatable(query, &key);
            query.request.routing_key = None;
        }
    }
    world.start(query);
}

fn end_attempt(world: &mut World, send: &SendAttempt, end: End) {
    let result = match end {
        End::Answer { draining } => {
            let mut answer = answer_to(send);
            answer.load.draining = draining;
            AttemptResult::Answered(answer)
        }
        End::Crossed { other } => {
            let mut running = world.running();
            running.retain(|other| other.query != send.query);
            let same_shard = running.iter().filter(|other| other.shard == send.shard);
            let same_shard: Vec<SendAttempt> = same_shard.cloned().collect();
            let other = picked(&same_shard, other).or_else(|| picked(&running, other));
            let other = other.unwrap_or_else(|| send.clone());
            AttemptResult::Answered(answer_to(&other))
        }
        End::OtherSnapshot => {
            let snapshot = SnapshotVersion(send.snapshot.0 + 1);
            let result = content(send.query, &send.shard, snapshot);
            let answer = answer_to(send);
            AttemptResult::Answered(LeafAnswer {
                snapshot,
                result,
                ..answer
            })
        }
        End::OtherRoot => {
            let mut answer = answer_to(send);
            answer.root = "root-2".to_owned();
            answer.result = "\"another root's data\"".to_owned();
            AttemptResult::Answered(answer)
        }
        End::Refuse(reason) => AttemptResult::Refused(refusal_of(send, reason)),
        End::RefuseCrossed => {
            let mut refusal = refusal_of(send, RefusalReason::Overloaded);
            refusal.attempt = AttemptId(send.attempt.0 + 1);
            AttemptResult::Refused(refusal)
        }
        End::NotSent => AttemptResult::NotSent,
        End::Expired => AttemptResult::Expired,
        End::Failed => AttemptResult::Failed,
    };
    world.end(send, result);
}

fn picked<T: Clone>(items: &[T], pick: u16) -> Option<T> {
    let count = items.len();
    (count > 0).then(|| items[usize::from(pick) % count].clone())
}
