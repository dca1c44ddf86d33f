//! Which peer a daemon polls, and how long a watch of the source lasts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_cluster::membership::{Capacity, MemberRecord, MemberState};
use tansylead_gateway::cluster::{ClusterView, PeerSession, RegistrationNeed, TopicAges};
use tansylead_gateway::settings::GatewayBounds;
use tansylead_types::{InstanceId, NodeId, PlaceName, ZoneName};

/// Number of polls until the session is over.
fn polls(mut session: PeerSession, is_best: bool) -> u32 {
    let mut polls = 1;
    while !session.on_answer(is_best) {
        polls += 1;
    }
    polls
}

#[test]
fn a_substitute_is_left_soon_once_a_better_peer_is_known() {
    // Regression: after failures a daemon stayed for 30 polls with a peer that was no watcher, so that
    // its data grew stale and it asked the store itself every few seconds.
    let session = PeerSession::new(true);
    assert!((2..=5).contains(&polls(session, false)));
}

#[test]
fn the_best_peer_is_kept_and_any_other_left_at_once() {
    assert!(polls(PeerSession::new(false), true) >= 30);
    assert_eq!(polls(PeerSession::new(false), false), 1);
}

#[test]
fn a_watcher_confirms_its_word_before_it_is_too_old_for_others() {
    // Regression: with a fixed wait after a pause between watches, data grew older than the limit.
    for limit_millis in [3_000.0, 5_000.0, 60_000.0] {
        let bounds = GatewayBounds {
            configuration_limit_millis: limit_millis,
            leaving_limit_millis: limit_millis,
            ..GatewayBounds::default()
        };
        for age_millis in [0, 100, 600] {
            let age = Duration::from_millis(age_millis);
            let confirmed_after = age + bounds.watch_wait(Some(age));
            assert!(confirmed_after < bounds.staleness_limit());
        }
    }
}

#[test]
fn data_that_is_too_stale_is_confirmed_at_once() {
    let bounds = GatewayBounds::default();
    assert!(bounds.watch_wait(None) <= Duration::from_millis(200));
    let old = Duration::from_secs(60);
    assert!(bounds.watch_wait(Some(old)) <= Duration::from_millis(200));
}

#[test]
fn a_roll_back_is_learned_in_time_where_services_can_be_rolled_out() {
    let bounds = GatewayBounds {
        roll_back_limit_millis: 1_000.0,
        ..GatewayBounds::default()
    };
    assert!(bounds.staleness_limit() < Duration::from_secs(1));
    let without = GatewayBounds {
        follow_roll_outs: false,
        ..bounds
    };
    assert!(without.staleness_limit() > Duration::from_secs(1));
}

/// The members of two regions with `each` members, and the view of the first one.
fn view(each: u16) -> (ClusterView, Vec<MemberRecord>) {
    let mut members = Vec::new();
    for (region, name) in ["north", "south"].into_iter().enumerate() {
        for number in 0..each {
            let address = ([10, 0, region as u8, 1], 1_000 + number).into();
            members.push(MemberRecord {
                instance: InstanceId {
                    node: NodeId(address),
                    boot: 1,
                },
                incarnation: 1,
                place: PlaceName::new(name).expect("valid name"),
                zone: ZoneName::new(name).expect("valid name"),
                caller_address: address,
                capacity: Capacity::CORE,
                state: MemberState::Alive,
            });
        }
    }
    let own = &members[0];
    let view = ClusterView::new(own.node(), own.place.clone(), 2, Vec::new());
    view.set_members(members.clone(), true);
    (view, members)
}

#[test]
fn a_watcher_of_the_own_region_is_polled_first_and_every_daemon_agrees_who_that_is() {
    let (view, members) = view(14);
    let best = view.feed_peers()[0];
    assert!(view.is_best_feed_peer(best));
    assert!(view.is_in_own_region(best));
    let watching = members.iter().filter(|member| {
        let own = ClusterView::new(member.node(), member.place.clone(), 2, Vec::new());
        own.set_members(members.clone(), true);
        own.is_watcher()
    });
    let watching: Vec<NodeId> = watching.map(MemberRecord::node).collect();
    assert_eq!(watching.len(), 4, "two in each region");
    assert!(watching.contains(&NodeId(best)));
}

/// The view of each member.
fn all_views(members: &[MemberRecord]) -> Vec<(NodeId, ClusterView)> {
    let of_member = |member: &MemberRecord| {
        let view = ClusterView::new(member.node(), member.place.clone(), 2, Vec::new());
        view.set_members(members.to_vec(), true);
        (member.node(), view)
    };
    members.iter().map(of_member).collect()
}

#[test]
fn a_daemon_passes_changes_on_to_few_others() {
    // Regression: one watcher sent a large configuration to 23 daemons and filled its link. Requests reached
    // leafs 0.6 s late, with a longer time limit than was left (hunt-1be7-3, grown Registry).
    let (_, members) = view(48);
    let mut polled: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for (_, own) in all_views(&members) {
        if !own.is_watcher() {
            let best = own.feed_peers()[0];
            assert!(own.is_in_own_region(best));
            *polled.entry(best).or_default() += 1;
        }
    }
    assert!(polled.values().all(|daemons| *daemons <= 8), "{polled:?}");
}

#[test]
fn the_daemons_that_watch_do_not_grow_in_number_with_the_fleet() {
    // Regression: with one watcher for eight daemons, 95 daemons made 785 paid calls on a day without faults.
    for each in [4, 24, 400] {
        let (_, members) = view(each);
        let views = all_views(&members);
        let watching = views.iter().filter(|(_, own)| own.is_watcher());
        assert_eq!(watching.count(), 4, "two in each of two regions");
    }
}

#[test]
fn only_seeds_watch_before_they_have_joined_and_the_others_poll_them() {
    // Regression: each of 95 daemons that started together asked the source itself.
    let (_, members) = view(24);
    let seeds: Vec<SocketAddr> = members[..2].iter().map(|seed| seed.node().0).collect();
    for member in &members {
        let own = ClusterView::new(member.node(), member.place.clone(), 2, seeds.clone());
        own.set_members(members[..9].to_vec(), false);
        let is_seed = seeds.contains(&member.node().0);
        assert_eq!(own.is_watcher(), is_seed);
        if !is_seed {
            let best = own.feed_peers()[0];
            assert!(seeds.contains(&best));
            assert!(own.is_best_feed_peer(best));
        }
    }
}

#[test]
fn a_daemon_whose_parent_fails_polls_others_closer_to_the_source_first() {
    let (_, members) = view(48);
    let views = all_views(&members);
    let watchers = views.iter().filter(|(_, own)| own.is_watcher());
    let watchers: Vec<SocketAddr> = watchers.map(|(node, _)| node.0).collect();
    for (node, own) in &views {
        let peers = own.feed_peers();
        assert!(!peers.contains(&node.0));
        if own.is_watcher() {
            assert!(own.is_in_own_region(peers[0]));
            assert!(peers[..3].iter().all(|peer| watchers.contains(peer)));
        } else {
            assert!(own.is_in_own_region(peers[1]), "the other watcher at least");
        }
    }
}

#[test]
fn a_daemon_that_has_not_joined_soon_asks_its_seeds_again() {
    // Regression: after a loss of all daemons, seeds that knew nothing yet were abandoned for members that
    // knew nothing either, and 37 of 95 daemons asked the source themselves.
    let (_, members) = view(24);
    let seeds: Vec<SocketAddr> = members[..3].iter().map(|seed| seed.node().0).collect();
    let member = &members[10];
    let own = ClusterView::new(member.node(), member.place.clone(), 2, seeds.clone());
    own.set_members(members.clone(), false);
    let peers = own.feed_peers();
    let asked_seeds = peers.iter().filter(|peer| seeds.contains(peer));
    assert!(2 * asked_seeds.count() >= peers.len());
}

#[test]
fn a_daemon_alone_polls_seeds_and_registered_daemons() {
    let seeds: Vec<SocketAddr> = vec![([10, 0, 0, 1], 1).into(), ([10, 0, 0, 2], 1).into()];
    let registered: SocketAddr = ([10, 0, 0, 3], 1).into();
    let place = PlaceName::new("north").expect("valid name");
    let own = ClusterView::new(NodeId(seeds[0]), place, 2, seeds.clone());
    own.set_registered(vec![registered, seeds[0]]);
    assert!(own.is_alone());
    assert_eq!(own.feed_peers(), vec![seeds[1], registered]);
    assert!(own.is_best_feed_peer(registered), "it is kept");
}

#[test]
fn data_of_unknown_age_counts_as_old_as_its_daemon() {
    // Regression: 95 daemons that started together each asked the source to confirm the result of the
    // cached read, before the watching daemons could confirm it to them.
    let bounds = GatewayBounds::default();
    let limit = bounds.staleness_limit();
    let moment = Duration::from_millis(1);
    assert!(!bounds.is_stale(None, limit));
    assert!(bounds.is_stale(None, limit + moment));
    assert!(!bounds.is_stale(Some(limit), limit * 10));
    assert!(bounds.is_stale(Some(limit + moment), limit * 10));
}

#[test]
fn watchers_register_and_so_do_daemons_that_find_nobody() {
    // Regression: 95 daemons made 95 registrations.
    let (_, members) = view(24);
    let young = Duration::from_secs(3);
    let old = Duration::from_secs(30);
    for (node, own) in all_views(&members) {
        let need = RegistrationNeed::new(&own, old);
        assert_eq!(need.must_register, own.is_watcher(), "{node}");
        assert!(!need.must_discover);
    }
    let member = &members[5];
    let own = ClusterView::new(member.node(), member.place.clone(), 2, Vec::new());
    own.set_members(vec![member.clone()], false);
    assert!(RegistrationNeed::new(&own, young).must_register, "alone");
    assert!(RegistrationNeed::new(&own, young).must_discover, "alone");
    own.set_members(members[..9].to_vec(), false);
    assert!(
        !RegistrationNeed::new(&own, young).must_discover,
        "still joining"
    );
    assert!(
        RegistrationNeed::new(&own, old).must_discover,
        "never joined"
    );
}

#[test]
fn a_daemon_that_still_receives_the_table_of_a_large_fleet_needs_no_discovery() {
    // Regression: daemons that had not joined in the time of a small fleet all registered, and read the list
    // every 2 s.
    for (known, seconds) in [(1_000_u16, 25), (2_000, 45)] {
        let (_, members) = view(known);
        let member = &members[5];
        let own = ClusterView::new(member.node(), member.place.clone(), 2, Vec::new());
        own.set_members(members[..usize::from(known)].to_vec(), false);
        let need = RegistrationNeed::new(&own, Duration::from_secs(seconds));
        assert!(!need.must_discover, "{known}");
        assert!(
            RegistrationNeed::new(&own, Duration::from_secs(60)).must_discover,
            "not for ever"
        );
    }
}

#[test]
fn a_fresher_confirmation_is_sent_at_once_but_not_the_same_one_again() {
    // Regression: a confirmation that arrived while a poll was in flight was sent a whole poll later, and
    // half of the daemons asked the source since their data had grown stale meanwhile.
    let ages = |configuration, leafs| TopicAges {
        configuration,
        leafs,
        evacuations: Some(0),
        roll_outs: Some(0),
    };
    let held = ages(Some(3_900), Some(3_900));
    assert!(ages(Some(5), Some(3_880)).is_fresher_than(held));
    assert!(ages(Some(3_880), Some(5)).is_fresher_than(held));
    assert!(!ages(Some(3_880), Some(3_880)).is_fresher_than(held));
    assert!(!ages(Some(3_910), None).is_fresher_than(held));
    assert!(ages(None, Some(4_000)).is_fresher_than(ages(None, None)));
}
