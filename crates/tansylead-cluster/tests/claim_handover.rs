//! A leaving member is no longer needed once the members of the next view have copied its claims,
//! even if they asked before it had learned that view.

use std::net::SocketAddr;
use tansylead_cluster::claims::{
    ClaimMember, ClaimMemberEvent, ClaimRequest, ClaimRequestBody, ClaimSettings, ClaimTime,
};
use tansylead_types::{
    ClaimView, ClaimViewMember, EarlierClaimView, InstanceId, Moment, NodeId, PlaceName, WallTime,
    ZoneName,
};

const TIME: ClaimTime = ClaimTime {
    now: Moment(1_000_000),
    wall: WallTime(1_800_000_000_000),
};

fn instance(number: u8) -> InstanceId {
    InstanceId {
        node: NodeId(SocketAddr::from(([10, 0, 0, number], 7_000))),
        boot: 1,
    }
}

fn members(numbers: &[u8]) -> Vec<ClaimViewMember> {
    let member = |number: &u8| ClaimViewMember {
        instance: instance(*number),
        place: PlaceName::new("north").unwrap(),
        zone: ZoneName::new("a").unwrap(),
    };
    numbers.iter().map(member).collect()
}

fn views() -> (ClaimView, ClaimView) {
    let first = ClaimView {
        epoch: 1,
        members: members(&[1, 2, 3]),
        earlier: vec![],
    };
    let second = ClaimView {
        epoch: 2,
        members: members(&[2, 3]),
        earlier: vec![EarlierClaimView {
            epoch: 1,
            members: first.members.clone(),
        }],
    };
    (first, second)
}

fn learn(member: &mut ClaimMember, view: &ClaimView) {
    let event = ClaimMemberEvent::ViewLearned {
        view: view.clone(),
        generation: view.epoch,
    };
    member.on_event(TIME, event);
}

fn copy_all(member: &mut ClaimMember, requester: u8, view: &ClaimView) {
    let request = ClaimRequest {
        epoch: view.epoch,
        from: instance(requester),
        to: instance(1),
        body: ClaimRequestBody::Copy {
            view: view.clone(),
            after: None,
        },
    };
    member.on_request(TIME, &request);
}

#[test]
fn claims_copied_before_the_view_was_learned_count() {
    let (first, second) = views();
    let mut leaving = ClaimMember::new(instance(1), ClaimSettings::default(), TIME.now);
    learn(&mut leaving, &first);
    copy_all(&mut leaving, 2, &second);
    learn(&mut leaving, &second);
    assert!(leaving.is_needed(), "one member still has to copy");
    copy_all(&mut leaving, 3, &second);
    assert!(!leaving.is_needed());
}

#[test]
fn claims_copied_for_another_view_do_not_count() {
    let (first, second) = views();
    let third = ClaimView {
        epoch: 3,
        ..second.clone()
    };
    let mut leaving = ClaimMember::new(instance(1), ClaimSettings::default(), TIME.now);
    learn(&mut leaving, &first);
    copy_all(&mut leaving, 2, &second);
    copy_all(&mut leaving, 3, &second);
    learn(&mut leaving, &third);
    assert!(leaving.is_needed());
}
