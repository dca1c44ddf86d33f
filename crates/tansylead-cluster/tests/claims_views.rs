//! Rules of claim views: the group of a key, and when a view changes.

mod claims_support;

use claims_support::{key, member};
use std::collections::{BTreeMap, BTreeSet};
use tansylead_cluster::claims::*;
use tansylead_types::{ClaimView, ClaimViewMember, InstanceId, Moment};

#[test]
fn a_group_has_three_places_or_else_three_zones() {
    let places: Vec<_> = (0..9).map(|node| member(node, 1, node % 3, node)).collect();
    let zones: Vec<_> = (0..9).map(|node| member(node, 1, 0, node % 3)).collect();
    for number in 0..200 {
        let key = key(&format!("key-{number}"));
        let by_place: BTreeSet<_> = claim_group(&places, &key)
            .iter()
            .map(|member| &member.place)
            .collect();
        let by_zone: BTreeSet<_> = claim_group(&zones, &key)
            .iter()
            .map(|member| &member.zone)
            .collect();
        assert_eq!((by_place.len(), by_zone.len()), (GROUP_SIZE, GROUP_SIZE));
    }
}

#[test]
fn sealed_members_meet_every_majority() {
    for members in 1..=15 {
        assert!(seal_quorum(members) + majority(members) > members);
    }
}

fn live(nodes: impl IntoIterator<Item = u16>, boot: u64) -> Vec<LiveDaemon> {
    let daemon = |node: u16| LiveDaemon {
        member: member(node, boot, node % 3, node % 6),
        is_leaving: false,
    };
    nodes.into_iter().map(daemon).collect()
}

#[test]
fn a_view_changes_little_and_only_on_the_side_of_the_majority() {
    let none = BTreeSet::new();
    let first = next_claim_view(None, &live(0..20, 1), &none, &none).expect("a first view");
    assert_eq!(first.members.len(), MAXIMUM_VIEW_MEMBERS);
    let complete: BTreeSet<_> = first.members.iter().map(|member| member.instance).collect();
    assert_eq!(
        next_claim_view(Some(&first), &live(0..20, 1), &none, &complete),
        None
    );

    let lost = first.members[3].instance;
    let without: Vec<_> = live(0..20, 1)
        .into_iter()
        .filter(|daemon| daemon.member.instance != lost)
        .collect();
    let departed = BTreeSet::from([lost]);
    let second = next_claim_view(Some(&first), &without, &departed, &complete).expect("a change");
    let stayed = second
        .members
        .iter()
        .filter(|member| complete.contains(&member.instance))
        .count();
    assert_eq!((second.epoch, second.members.len(), stayed), (2, 15, 14));
    assert_eq!(second.earlier.len(), 1);
    assert_eq!(
        next_claim_view(Some(&first), &without, &departed, &none),
        None,
        "not settled"
    );

    let few = live(0..6, 1);
    let is_absent = |member: &ClaimViewMember| few.iter().all(|daemon| daemon.member != *member);
    let departed = first
        .members
        .iter()
        .filter(|member| is_absent(member))
        .map(|member| member.instance)
        .collect();
    assert_eq!(
        next_claim_view(Some(&first), &few, &departed, &complete),
        None,
        "a minority"
    );
    let restarted = live(0..20, 2);
    let replaced = next_claim_view(Some(&first), &restarted, &complete, &none);
    assert_eq!(replaced.expect("all are known to be dead").earlier.len(), 1);
}

#[test]
fn a_member_is_replaced_after_a_while_or_when_it_leaves() {
    let statuses = |view: &ClaimView| -> BTreeMap<InstanceId, ClaimMemberStatus> {
        let status = ClaimMemberStatus {
            epoch: view.epoch,
            complete: true,
            claims: 0,
        };
        view.members
            .iter()
            .map(|member| (member.instance, status.clone()))
            .collect()
    };
    let mut planner = ClaimViewPlanner::new(Moment(0));
    let (five, none) = (live(0..5, 1), BTreeMap::new());
    assert_eq!(
        planner.plan(Moment::from_millis(1_000), None, &five, &none),
        None,
        "too early"
    );
    let view = planner
        .plan(Moment::from_millis(6_000), None, &five, &none)
        .expect("a view");
    let reports = statuses(&view);
    let four = live(0..4, 1);
    let mut fresh = ClaimViewPlanner::new(Moment(0));
    for (seconds, is_due) in [(20, false), (21, false), (32, true)] {
        let at = Moment::from_millis(seconds * 1_000);
        assert_eq!(
            fresh.is_change_due(at, Some(&view), &four),
            is_due,
            "{seconds}"
        );
        assert_eq!(
            fresh.plan(at, Some(&view), &four, &none),
            None,
            "not known to be settled"
        );
    }
    let at = Moment::from_millis(33_000);
    assert!(
        fresh.plan(at, Some(&view), &four, &reports).is_some(),
        "settled"
    );
    let mut plan = |seconds: u64, live: &[LiveDaemon]| {
        planner.plan(
            Moment::from_millis(seconds * 1_000),
            Some(&view),
            live,
            &reports,
        )
    };
    assert_eq!(plan(20, &five), None);
    assert_eq!(plan(21, &four), None, "absent for a moment");
    assert_eq!(plan(25, &five), None, "back again");
    assert_eq!(plan(26, &four), None);
    assert_eq!(plan(36, &four).map(|view| view.members.len()), Some(4));
    let mut leaving = five.clone();
    leaving[0].is_leaving = true;
    assert_eq!(plan(37, &leaving).map(|view| view.members.len()), Some(4));
}
