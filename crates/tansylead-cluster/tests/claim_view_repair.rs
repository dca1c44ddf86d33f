//! After the store was restored to an older state, the view in force is written again until its
//! generation equals the view's epoch, and no member grants in it before that.

mod claims_support;

use claims_support::{instance, key, member};
use std::collections::BTreeMap;
use tansylead_cluster::claims::*;
use tansylead_types::{ClaimView, EarlierClaimView, InstanceId, Moment, WallTime};

const EPOCH: u64 = 5;

fn view() -> ClaimView {
    let members: Vec<_> = (0..3).map(|node| member(node, 1, node, node)).collect();
    ClaimView {
        epoch: EPOCH,
        members: members.clone(),
        earlier: vec![EarlierClaimView {
            epoch: EPOCH - 1,
            members,
        }],
    }
}

fn answers_of(nodes: impl IntoIterator<Item = u16>) -> BTreeMap<InstanceId, ClaimMemberStatus> {
    let status = ClaimMemberStatus {
        epoch: EPOCH,
        complete: true,
        claims: 0,
    };
    let nodes = nodes.into_iter();
    nodes
        .map(|node| (instance(node, 1), status.clone()))
        .collect()
}

fn step(repair: ClaimViewRepair, held: u64) -> ClaimViewRepairStep {
    repair.next_step(&view(), held, &answers_of(0..2), EPOCH)
}

/// Lets planners write in turn to a compare-and-set store; with `loses_answer`, every second answer
/// is lost after its write. Returns the final generation and the number of accepted writes.
fn write_until_repaired(mut store: u64, planners: usize, loses_answer: bool) -> (u64, u64) {
    let mut repairs = vec![ClaimViewRepair::default(); planners];
    let mut accepted = 0;
    for repair in &mut repairs {
        repair.on_store_generation(store, EPOCH);
    }
    for turn in 0..100 {
        let repair = &mut repairs[turn % planners];
        let ClaimViewRepairStep::Write {
            expected_generation,
        } = step(*repair, EPOCH)
        else {
            continue;
        };
        if expected_generation == store {
            store += 1;
            accepted += 1;
        }
        if !loses_answer || turn % 2 == 0 {
            repair.on_store_generation(store, EPOCH);
        }
    }
    (store, accepted)
}

#[test]
fn the_view_is_written_again_until_its_generation_is_its_epoch() {
    // Generation 0: the restored store has no such object.
    for store in 0..EPOCH {
        for (planners, loses_answer) in [(1, false), (1, true), (3, false), (3, true)] {
            let result = write_until_repaired(store, planners, loses_answer);
            assert_eq!(result, (EPOCH, EPOCH - store), "{planners} {loses_answer}");
        }
    }
}

#[test]
fn nothing_is_written_without_a_reason_or_against_a_newer_view() {
    use ClaimViewRepairStep::{NotNeeded, Wait, Write};
    let mut repair = ClaimViewRepair::default();
    assert_eq!(
        step(repair, EPOCH),
        NotNeeded,
        "no answer from the store yet"
    );
    assert_eq!(
        step(repair, EPOCH + 2),
        NotNeeded,
        "deleted and created again"
    );
    let expected_generation = 3;
    let write = Write {
        expected_generation,
    };
    assert_eq!(step(repair, 3), write, "a daemon that started afterwards");

    repair.on_store_generation(EPOCH + 1, EPOCH);
    assert_eq!(step(repair, EPOCH), NotNeeded, "another planner won");
    repair.on_store_generation(3, EPOCH);
    assert_eq!(step(repair, EPOCH), write);
    let mut earlier = ClaimViewRepair::default();
    earlier.on_store_generation(EPOCH - 1, EPOCH - 1);
    assert_eq!(
        step(earlier, EPOCH),
        NotNeeded,
        "the view has changed since"
    );
    let view = view();
    let minority = repair.next_step(&view, EPOCH, &answers_of([0]), EPOCH);
    assert_eq!(minority, Wait, "a newer view may be in force elsewhere");
    let others = repair.next_step(&view, EPOCH, &answers_of(7..12), EPOCH);
    assert_eq!(others, Wait, "not members of the view");
    let newer = repair.next_step(&view, EPOCH, &answers_of(0..3), EPOCH + 1);
    assert_eq!(newer, Wait, "a member has seen a newer view");
}

#[test]
fn a_view_below_its_epoch_seals_but_is_adopted_only_at_its_epoch() {
    let time = ClaimTime {
        now: Moment(0),
        wall: WallTime(1_000),
    };
    let mut late = ClaimMember::new(instance(0, 1), ClaimSettings::default(), Moment(0));
    let learn = |generation: u64| ClaimMemberEvent::ViewLearned {
        view: view(),
        generation,
    };
    assert_eq!(late.on_event(time, learn(3)), Vec::new());
    assert_eq!((late.status().epoch, late.highest_epoch()), (0, EPOCH));
    let request = ClaimRequest {
        epoch: EPOCH,
        from: instance(9, 1),
        to: instance(0, 1),
        body: ClaimRequestBody::Claim {
            key: key("rent"),
            claim: ClaimId {
                sequence: 0,
                attempt: 0,
            },
            expires: WallTime(20_000),
        },
    };
    let refused = late.on_request(time, &request).body;
    assert!(matches!(
        refused,
        ClaimResponseBody::ClaimRefused {
            refusal: ClaimRefusal::EpochMismatch,
            ..
        }
    ));
    // If the earlier generation were adopted, this one would be ignored, and the member could never
    // be complete.
    assert!(!late.on_event(time, learn(EPOCH)).is_empty());
    assert_eq!(late.status().epoch, EPOCH);
}
