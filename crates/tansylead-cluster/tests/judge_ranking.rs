//! Selection of roll-out judges: the same on all daemons, spread over places and services, and
//! stable when members change.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use tansylead_cluster::membership::{Capacity, MemberRecord, MemberState};
use tansylead_cluster::routing::{JUDGE_COUNT, judges};
use tansylead_types::{InstanceId, NodeId, PlaceName, ServiceName, ZoneName};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn member(number: u16, place: u8) -> MemberRecord {
    let address = ([10, 0, place, 1], number).into();
    MemberRecord {
        instance: InstanceId {
            node: NodeId(address),
            boot: 1,
        },
        incarnation: 1,
        place: PlaceName::new(format!("place-{place}")).expect("valid name"),
        zone: ZoneName::new("zone").expect("valid name"),
        caller_address: address,
        capacity: Capacity::CORE,
        state: MemberState::Alive,
    }
}

fn service(number: usize) -> ServiceName {
    ServiceName::new(format!("service-{number}")).expect("valid name")
}

fn fleet() -> impl Strategy<Value = Vec<MemberRecord>> {
    proptest::collection::btree_set((0_u16..500, 0_u8..5), 1..30).prop_map(|members| {
        let members = members.into_iter();
        members
            .map(|(number, place)| member(number, place))
            .collect()
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_member_that_comes_or_goes_changes_one_judge_at_most(members in fleet(), gone in 0_usize..30) {
        let before = judges(&service(1), &members);
        let mut fewer = members.clone();
        fewer.remove(gone % members.len());
        let after: BTreeSet<NodeId> = judges(&service(1), &fewer).into_iter().collect();
        let lost = before.iter().filter(|judge| !after.contains(judge)).count();
        prop_assert!(lost <= 1, "{before:?} {after:?}");
    }

    #[test]
    fn the_order_of_the_members_does_not_matter(members in fleet(), turn in 0_usize..30) {
        let mut turned = members.clone();
        turned.rotate_left(turn % members.len());
        turned.reverse();
        prop_assert_eq!(judges(&service(1), &members), judges(&service(1), &turned));
    }

    #[test]
    fn no_place_has_two_judges_while_another_has_none(members in fleet()) {
        let places: BTreeSet<&PlaceName> = members.iter().map(|member| &member.place).collect();
        let chosen = judges(&service(1), &members);
        prop_assert_eq!(chosen.len(), members.len().min(JUDGE_COUNT));
        let judging = members.iter().filter(|member| chosen.contains(&member.node()));
        let judging: BTreeSet<&PlaceName> = judging.map(|member| &member.place).collect();
        prop_assert_eq!(judging.len(), places.len().min(chosen.len()));
    }
}

#[test]
fn members_that_leave_or_have_failed_do_not_judge() {
    let mut members: Vec<MemberRecord> = (0..6).map(|number| member(number, 0)).collect();
    let first = judges(&service(1), &members)[0];
    for state in [MemberState::Leaving, MemberState::Failed, MemberState::Left] {
        for member in members.iter_mut().filter(|member| member.node() == first) {
            member.state = state;
        }
        assert!(!judges(&service(1), &members).contains(&first));
    }
    let suspected = members.iter_mut().filter(|member| member.node() == first);
    suspected.for_each(|member| member.state = MemberState::Suspect);
    assert_eq!(judges(&service(1), &members)[0], first);
}

#[test]
fn services_are_judged_by_different_daemons() {
    const MEMBERS: u16 = 30;
    const SERVICES: usize = 600;
    let members: Vec<MemberRecord> = (0..MEMBERS)
        .map(|number| member(number, (number % 3) as u8))
        .collect();
    let mut services_of: BTreeMap<NodeId, usize> = BTreeMap::new();
    for number in 0..SERVICES {
        *services_of
            .entry(judges(&service(number), &members)[0])
            .or_default() += 1;
    }
    let mean = SERVICES / usize::from(MEMBERS);
    assert_eq!(services_of.len(), usize::from(MEMBERS));
    assert!(
        services_of.values().all(|services| *services < 3 * mean),
        "{services_of:?}"
    );
}
