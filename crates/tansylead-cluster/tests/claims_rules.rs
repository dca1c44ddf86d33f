//! Rules of the claim state machines: members, requesters, expiry and the answer cache.

mod claims_support;

use claims_support::{instance, key, member};
use std::time::Duration;
use tansylead_cluster::claims::*;
use tansylead_types::{
    ClaimView, ClaimViewMember, Coverage, InstanceId, Moment, Outcome, QueryAnswer, ShardResult,
    WallTime,
};

const WALL: u64 = 1_000_000;

fn time_at(millis: u64) -> ClaimTime {
    ClaimTime {
        now: Moment::from_millis(millis),
        wall: WallTime(WALL + millis),
    }
}

fn expires_in(millis: u64) -> WallTime {
    WallTime(WALL + millis)
}

fn view_of(members: Vec<ClaimViewMember>) -> ClaimView {
    ClaimView {
        epoch: 1,
        members,
        earlier: Vec::new(),
    }
}

fn claim_request(from: InstanceId, attempt: u32, expires: WallTime) -> ClaimRequest {
    let claim = ClaimId {
        sequence: 0,
        attempt,
    };
    let body = ClaimRequestBody::Claim {
        key: key("a"),
        claim,
        expires,
    };
    ClaimRequest {
        epoch: 1,
        from,
        to: instance(0, 1),
        body,
    }
}

/// The only member of a view; it grants without asking others.
fn lone_member(settings: ClaimSettings) -> ClaimMember {
    let mut lone = ClaimMember::new(instance(0, 1), settings, Moment(0));
    let view = view_of(vec![member(0, 1, 0, 0)]);
    lone.on_event(
        time_at(0),
        ClaimMemberEvent::ViewLearned {
            view,
            generation: 1,
        },
    );
    lone
}

fn refusal_of(response: ClaimResponse) -> Option<ClaimRefusal> {
    match response.body {
        ClaimResponseBody::ClaimRefused { refusal, .. } => Some(refusal),
        _ => None,
    }
}

fn is_granted(response: &ClaimResponse) -> bool {
    matches!(response.body, ClaimResponseBody::Granted { .. })
}

#[test]
fn a_member_grants_a_key_once_until_it_expires() {
    let mut lone = lone_member(ClaimSettings::default());
    let first = claim_request(instance(5, 1), 0, expires_in(10_000));
    let other = claim_request(instance(6, 1), 0, expires_in(60_000));
    assert!(is_granted(&lone.on_request(time_at(0), &first)));
    assert!(
        is_granted(&lone.on_request(time_at(1), &first)),
        "the same claim again"
    );
    for millis in [2, 9_999, 10_499] {
        let response = lone.on_request(time_at(millis), &other);
        let is_held = matches!(&response.body, ClaimResponseBody::Held { holders, .. }
            if holders[0].owner == instance(5, 1));
        assert!(is_held, "{response:?} at {millis}");
    }
    assert!(
        is_granted(&lone.on_request(time_at(10_500), &other)),
        "expired, and the clock skew has passed"
    );
}

#[test]
fn a_released_claim_is_free_and_does_not_come_back() {
    let mut lone = lone_member(ClaimSettings::default());
    let first = claim_request(instance(5, 1), 3, expires_in(10_000));
    let claim = ClaimId {
        sequence: 0,
        attempt: 3,
    };
    let body = ClaimRequestBody::Release {
        key: key("a"),
        claim,
        expires: expires_in(10_000),
    };
    let release = ClaimRequest {
        body,
        ..first.clone()
    };
    lone.on_request(time_at(0), &first);
    lone.on_request(time_at(1), &release);
    assert_eq!(
        refusal_of(lone.on_request(time_at(2), &first)),
        Some(ClaimRefusal::Abandoned)
    );
    let other = claim_request(instance(6, 1), 0, expires_in(10_000));
    assert!(is_granted(&lone.on_request(time_at(3), &other)));
    lone.on_request(time_at(4), &release);
    let third = claim_request(instance(7, 1), 0, expires_in(10_000));
    assert!(
        !is_granted(&lone.on_request(time_at(5), &third)),
        "a late release does not free another owner's claim"
    );
}

#[test]
fn members_refuse_claims_outside_their_bounds() {
    let settings = ClaimSettings {
        maximum_claims: 1,
        ..ClaimSettings::default()
    };
    let mut lone = lone_member(settings);
    let ask = |expires| claim_request(instance(5, 1), 0, expires);
    let too_long = ask(expires_in(600_502));
    assert_eq!(
        refusal_of(lone.on_request(time_at(1), &too_long)),
        Some(ClaimRefusal::ExpiryTooLong)
    );
    let past = ask(expires_in(1));
    assert_eq!(
        refusal_of(lone.on_request(time_at(1), &past)),
        Some(ClaimRefusal::Expired)
    );
    let mut wrong_epoch = ask(expires_in(1_000));
    wrong_epoch.epoch = 0;
    assert_eq!(
        refusal_of(lone.on_request(time_at(1), &wrong_epoch)),
        Some(ClaimRefusal::EpochMismatch)
    );
    assert!(is_granted(
        &lone.on_request(time_at(1), &ask(expires_in(1_000)))
    ));
    let mut second = ask(expires_in(1_000));
    second.body = ClaimRequestBody::Claim {
        key: key("b"),
        claim: ClaimId {
            sequence: 1,
            attempt: 0,
        },
        expires: expires_in(1_000),
    };
    assert_eq!(
        refusal_of(lone.on_request(time_at(1), &second)),
        Some(ClaimRefusal::TooManyClaims)
    );
    let mut higher = ask(expires_in(1_000));
    higher.epoch = 2;
    lone.on_request(time_at(2), &higher);
    assert!(
        !is_granted(&lone.on_request(time_at(2), &ask(expires_in(1_000)))),
        "sealed"
    );
}

#[test]
fn a_view_whose_predecessors_are_unknown_grants_nothing() {
    let mut lone = ClaimMember::new(instance(0, 1), ClaimSettings::default(), Moment(0));
    let view = view_of(vec![member(0, 1, 0, 0)]);
    // Epoch 1 at generation 3: the object was deleted and created again.
    lone.on_event(
        time_at(0),
        ClaimMemberEvent::ViewLearned {
            view,
            generation: 3,
        },
    );
    let request = claim_request(instance(5, 1), 0, expires_in(10_000));
    assert_eq!(
        refusal_of(lone.on_request(time_at(1), &request)),
        Some(ClaimRefusal::NotCopied)
    );
}

#[test]
fn a_restarted_daemon_is_another_member() {
    let mut restarted = ClaimMember::new(instance(0, 2), ClaimSettings::default(), Moment(0));
    let view = view_of(vec![member(0, 1, 0, 0)]);
    restarted.on_event(
        time_at(0),
        ClaimMemberEvent::ViewLearned {
            view,
            generation: 1,
        },
    );
    let request = claim_request(instance(5, 1), 0, expires_in(10_000));
    let response = restarted.on_request(time_at(1), &request);
    assert_eq!(response.body, ClaimResponseBody::AnotherInstance);
    let to_itself = ClaimRequest {
        to: instance(0, 2),
        ..request
    };
    let refusal = refusal_of(restarted.on_request(time_at(1), &to_itself));
    assert_eq!(refusal, Some(ClaimRefusal::NotMember));
}

#[test]
fn split_votes_end_with_one_winner() {
    let settings = ClaimSettings::default();
    let members: Vec<_> = (0..3).map(|node| member(node, 1, node, node)).collect();
    let view = view_of(members);
    let terms = ClaimTerms {
        key: key("a"),
        claim: ClaimId {
            sequence: 0,
            attempt: 0,
        },
        expires: expires_in(60_000),
    };
    let mut winners = 0;
    for round in 0..50 {
        let mut members: Vec<ClaimMember> = (0..3).map(|_| lone_member(settings.clone())).collect();
        let mut roots: Vec<(ClaimRequester, Vec<ClaimRequesterAction>)> = (0..3)
            .map(|root| {
                let (me, seed) = (instance(20 + root, 1), round * 10 + u64::from(root));
                let terms = terms.clone();
                ClaimRequester::start(me, settings.clone(), &view, terms, seed, time_at(0))
            })
            .collect();
        for (root, (_, actions)) in roots.iter_mut().enumerate() {
            // Each root reaches a different member first, so each gets one vote.
            actions.rotate_left(root);
        }
        winners += run_vote(&mut members, &mut roots);
    }
    assert_eq!(winners, 50, "every split vote ends with a winner");
}

/// Delivers one message of each root in turn for 5 seconds; returns the number of winners.
fn run_vote(
    members: &mut [ClaimMember],
    roots: &mut [(ClaimRequester, Vec<ClaimRequesterAction>)],
) -> u32 {
    let mut winners = 0;
    for millis in 0..5_000 {
        let time = time_at(millis);
        for (requester, actions) in roots.iter_mut() {
            if requester
                .next_wakeup()
                .is_some_and(|wakeup| wakeup <= time.now)
            {
                actions.extend(requester.on_event(time, ClaimRequesterEvent::Wakeup));
            }
            if actions.is_empty() {
                continue;
            }
            match actions.remove(0) {
                ClaimRequesterAction::Decide(ClaimDecision::Granted(_)) => winners += 1,
                ClaimRequesterAction::Decide(_) => {}
                ClaimRequesterAction::Send(request) => {
                    let asked = request.to;
                    let index = usize::from(asked.node.0.port() - 7_000);
                    // Each member is the only one of its view, at node 0, so the address is mapped.
                    let mapped = ClaimRequest {
                        to: instance(0, 1),
                        ..request
                    };
                    let response = members[index].on_request(time, &mapped);
                    let response = ClaimResponse {
                        from: asked,
                        ..response
                    };
                    let event = ClaimRequesterEvent::Response { asked, response };
                    actions.extend(requester.on_event(time, event));
                }
            }
        }
    }
    assert!(winners <= 1, "at most one winner");
    winners
}

#[test]
fn dispatch_is_refused_near_and_after_the_expiry() {
    let settings = ClaimSettings::default();
    let check = |expires| check_before_dispatch(expires, WallTime(WALL), &settings);
    assert_eq!(check(expires_in(501)), Ok(()));
    assert_eq!(check(expires_in(500)), Err(DispatchRefused::Expired));
    assert_eq!(check(WallTime(0)), Err(DispatchRefused::Expired));
    assert_eq!(
        check(expires_in(600_501)),
        Err(DispatchRefused::ExpiryTooLong)
    );
}

fn answer(bytes: usize) -> QueryAnswer {
    QueryAnswer {
        request: "request".parse().expect("valid"),
        outcome: Outcome::Complete,
        snapshot: None,
        coverage: Coverage::default(),
        results: vec![ShardResult {
            shard: "shard".parse().expect("valid"),
            result: "x".repeat(bytes),
        }],
        retry_after: None,
        reason: None,
        attempts: 1,
    }
}

#[test]
fn a_repeated_key_gets_its_answer_until_it_expires() {
    let mut cache = AnswerCache::new(ClaimSettings::default(), 2_000, 3);
    let (expires, wall) = (expires_in(10_000), WallTime(WALL));
    let BeginOutcome::Claim(claim) = cache.begin(&key("a"), expires, wall) else {
        panic!("a new key starts");
    };
    let known = cache.begin(&key("a"), expires, wall);
    assert_eq!(known, BeginOutcome::Known(AnswerStatus::InProgress));
    cache.mark_not_run(&key("a"), claim);
    let BeginOutcome::Claim(again) = cache.begin(&key("a"), expires, wall) else {
        panic!("a key that did not run starts again");
    };
    assert_eq!(
        (again.sequence, again.attempt),
        (claim.sequence, claim.attempt + 1)
    );
    cache.finish(&key("a"), again, answer(1_000));
    let finished = AnswerStatus::Finished(Box::new(answer(1_000)));
    assert_eq!(
        cache.begin(&key("a"), expires, wall),
        BeginOutcome::Known(finished)
    );
    let BeginOutcome::Claim(second) = cache.begin(&key("b"), expires, wall) else {
        panic!("another key starts");
    };
    cache.finish(&key("b"), second, answer(1_000));
    assert_eq!(
        cache.status(&key("a"), wall),
        AnswerStatus::Unknown,
        "evicted"
    );
    assert_eq!(
        cache.begin(&key("a"), expires, wall),
        BeginOutcome::Known(AnswerStatus::Unknown)
    );
    assert!(cache.bytes() <= 2_000);
    assert!(matches!(
        cache.begin(&key("c"), expires, wall),
        BeginOutcome::Claim(_)
    ));
    assert_eq!(cache.begin(&key("d"), expires, wall), BeginOutcome::Full);
    let after = expires_in(10_500);
    assert!(matches!(
        cache.begin(&key("d"), expires_in(20_000), after),
        BeginOutcome::Claim(_)
    ));
    assert_eq!(
        (cache.keys(), cache.bytes()),
        (1, 0),
        "expired keys are dropped"
    );
}

#[test]
fn the_wait_covers_lease_expiry_skew_and_drift() {
    let settings = ClaimSettings::default();
    let least = settings.lease + settings.longest_expiry + settings.clock_skew * 2;
    assert!(settings.wait_for_earlier_claims() > least);
    assert!(
        settings.heartbeat_period * 2 < settings.lease,
        "one heartbeat may be lost"
    );
    assert!(settings.wait_for_earlier_claims() < least + Duration::from_secs(5));
}
