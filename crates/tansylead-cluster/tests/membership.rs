//! Membership under simulated faults.

mod common;

use common::{Simulation, seconds};
use tansylead_cluster::codec::GossipCodec;
use tansylead_cluster::membership::*;
use tansylead_types::store::{Machine, MachineList, MachineState};
use tansylead_types::{InstanceId, Moment, NodeId, PlaceName, ZoneName};

const PLACES: usize = 5;
const SIZE: usize = 9;

/// `PLACES` x `SIZE` daemons, all of which see each other.
fn converged(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, PLACES, SIZE);
    simulation.run_until(seconds(60), "all join", Simulation::members_agree);
    simulation
}

/// Whether all running daemons other than the subject see it in this state.
fn all_see(simulation: &Simulation, subject: usize, state: MemberState) -> bool {
    let viewers = 0..simulation.daemons.len();
    viewers
        .filter(|viewer| *viewer != subject && simulation.daemons[*viewer].running)
        .all(|viewer| simulation.state_at(viewer, subject) == Some(state))
}

fn any_sees(simulation: &Simulation, subject: usize, state: MemberState) -> bool {
    (0..simulation.daemons.len()).any(|viewer| simulation.state_at(viewer, subject) == Some(state))
}

fn count_seen(simulation: &Simulation, viewer: usize, state: MemberState) -> usize {
    let members = simulation.daemons[viewer].membership.members();
    members.filter(|member| member.state == state).count()
}

#[test]
fn killed_member_is_declared_failed_everywhere_and_nobody_else_is() {
    let mut simulation = converged(1);
    simulation.kill(7);
    simulation.run_until(seconds(30), "failure known", |simulation| {
        all_see(simulation, 7, MemberState::Failed)
    });
    simulation.run(seconds(10));
    assert!(simulation.members_agree());
}

#[test]
fn suspected_member_refutes() {
    let mut simulation = converged(2);
    simulation.freeze(9);
    simulation.run_until(seconds(10), "suspected", |simulation| {
        any_sees(simulation, 9, MemberState::Suspect)
    });
    simulation.resume(9);
    simulation.run_until(seconds(10), "refuted", |simulation| {
        all_see(simulation, 9, MemberState::Alive)
    });
    assert!(simulation.daemons[9].membership.local().incarnation > 0);
    assert!(simulation.daemons[9].membership.counters().refutations > 0);
}

#[test]
fn leaving_member_says_so_itself() {
    let mut simulation = converged(3);
    simulation.event(11, MembershipEvent::Leave);
    simulation.run_until(seconds(5), "leaving known", |simulation| {
        all_see(simulation, 11, MemberState::Leaving)
    });
    simulation.event(11, MembershipEvent::Exit);
    simulation.kill(11);
    simulation.run_until(seconds(5), "left known", |simulation| {
        all_see(simulation, 11, MemberState::Left)
    });
}

#[test]
fn restart_at_the_same_address_replaces_the_earlier_run() {
    let mut simulation = converged(4);
    simulation.restart(13);
    simulation.run_until(seconds(30), "new run known", Simulation::members_agree);
}

#[test]
fn frozen_member_that_resumes_is_alive_again_and_blames_nobody() {
    let mut simulation = converged(5);
    simulation.freeze(17);
    simulation.run_until(seconds(30), "failure known", |simulation| {
        all_see(simulation, 17, MemberState::Failed)
    });
    simulation.run(seconds(60));
    simulation.resume(17);
    assert_eq!(count_seen(&simulation, 17, MemberState::Failed), 0);
    // Earlier than a comparison of tables would show it.
    simulation.run_until(seconds(8), "alive again", Simulation::members_agree);
    assert!(simulation.daemons[17].membership.counters().pauses > 0);
}

#[test]
fn regions_parted_for_minutes_keep_their_members_and_rejoin() {
    let mut simulation = converged(6);
    for place in 1..PLACES {
        simulation.cut(0, place);
    }
    simulation.run(seconds(60));
    let other = PlaceName::new("place-1").unwrap();
    assert!(!simulation.daemons[0].membership.is_reachable(&other));
    assert_eq!(count_seen(&simulation, 0, MemberState::Failed), 0);
    // Daemons 0 and 1 are in different places. One member of each place fails, unseen by the other
    // side.
    simulation.kill(1 + PLACES);
    simulation.kill(PLACES);
    simulation.run(seconds(120));
    assert_eq!(simulation.state_at(0, 1 + PLACES), Some(MemberState::Alive));
    simulation.faults.cuts.clear();
    simulation.run_until(seconds(90), "rejoined", |simulation| {
        let reachable = |place: usize| {
            let place = PlaceName::new(format!("place-{place}")).unwrap();
            simulation.daemons[0].membership.is_reachable(&place)
        };
        simulation.members_agree() && (1..PLACES).all(reachable)
    });
}

/// Most machines in the list run no daemon.
#[test]
fn daemon_without_seeds_joins_through_the_machine_list() {
    let mut simulation = converged(16);
    let mut machines: Vec<Machine> = (0..200)
        .map(|index| ([10, 99, 0, index], 80).into())
        .map(|address| Machine {
            address,
            state: MachineState::Live,
        })
        .collect();
    let daemons = simulation.daemons.iter().take(10).map(|d| d.node.0);
    machines.extend(daemons.map(|address| Machine {
        address,
        state: MachineState::Live,
    }));
    simulation.seeds.clear();
    simulation.restart(20);
    simulation.event(20, MembershipEvent::MachineList(MachineList { machines }));
    simulation.run_until(seconds(60), "joined", Simulation::members_agree);
}

/// An isolated member declares all members of its place failed, and must find them again by itself.
#[test]
fn isolated_member_comes_back_soon_after_its_link_does() {
    let mut simulation = converged(13);
    for other in 0..simulation.daemons.len() {
        simulation.cut_link(4, other);
    }
    simulation.run(seconds(120));
    assert_eq!(count_seen(&simulation, 4, MemberState::Failed), SIZE - 1);
    simulation.faults.links.clear();
    simulation.run_until(seconds(20), "back", Simulation::members_agree);
}

/// The halves have no other place and no running seed through which they could find each other.
#[test]
fn halves_of_the_only_place_rejoin() {
    let mut simulation = Simulation::new(15, 1, 9);
    simulation.run_until(seconds(60), "all join", Simulation::members_agree);
    simulation.kill(0);
    for left in 1..5 {
        for right in 5..9 {
            simulation.cut_link(left, right);
        }
    }
    simulation.run(seconds(120));
    assert_eq!(count_seen(&simulation, 8, MemberState::Failed), 5);
    simulation.faults.links.clear();
    simulation.run_until(seconds(60), "rejoined", Simulation::members_agree);
}

/// Repeated summary requests to a permanently lost seed must not block the comparison of tables.
#[test]
fn dead_seed_does_not_stop_the_comparison_of_tables() {
    let mut simulation = converged(17);
    simulation.kill(0);
    simulation.run_until(seconds(60), "seed gone", Simulation::members_agree);
    for place in 1..PLACES {
        simulation.cut(0, place);
    }
    simulation.kill(PLACES);
    simulation.run(seconds(60));
    simulation.faults.cuts.clear();
    simulation.run_until(seconds(60), "failure learnt", Simulation::members_agree);
}

#[test]
fn broken_link_between_two_members_makes_neither_suspect() {
    let mut simulation = converged(14);
    simulation.cut_link(3, 3 + PLACES);
    for _ in 0..300 {
        simulation.run(seconds(1) / 5);
        let suspected = |index| any_sees(&simulation, index, MemberState::Suspect);
        assert!(!suspected(3) && !suspected(3 + PLACES));
    }
}

#[test]
fn places_that_start_apart_find_each_other() {
    let mut simulation = Simulation::new(7, 2, 1);
    simulation.cut(0, 1);
    simulation.restart(0);
    simulation.restart(1);
    simulation.run(seconds(60));
    assert!(!simulation.members_agree());
    simulation.faults.cuts.clear();
    simulation.run_until(seconds(60), "joined", Simulation::members_agree);
}

#[test]
fn third_of_a_place_lost_at_once() {
    let mut simulation = converged(8);
    for index in 0..SIZE / 3 {
        simulation.kill(2 + index * PLACES);
    }
    simulation.run_until(seconds(60), "losses known", Simulation::members_agree);
}

#[test]
fn lossy_slow_network_converges_after_it_heals() {
    let mut simulation = converged(9);
    simulation.faults.loss = 0.2;
    simulation.faults.duplication = 0.2;
    simulation.faults.extra_delay_micros = 300_000;
    simulation.run(seconds(60));
    simulation.faults = common::Faults::default();
    simulation.run_until(seconds(60), "converged", Simulation::members_agree);
}

#[test]
fn steady_state_stays_within_its_rate() {
    const BYTES_PER_SECOND_LIMIT: u64 = 4_000;
    const SAMPLE_SECONDS: u64 = 30;
    let mut simulation = converged(10);
    simulation.run(seconds(30));
    let before: Vec<u64> = simulation.daemons.iter().map(|d| d.sent_bytes).collect();
    simulation.run(seconds(SAMPLE_SECONDS));
    for (daemon, before) in simulation.daemons.iter().zip(before) {
        let rate = (daemon.sent_bytes - before) / SAMPLE_SECONDS;
        assert!(
            rate < BYTES_PER_SECOND_LIMIT,
            "{} sends {rate} B/s",
            daemon.node
        );
    }
}

#[test]
fn foreign_packets_are_counted_and_dropped() {
    let mut simulation = converged(11);
    let mut sender = simulation.daemons[0].membership.local().clone();
    sender.instance.node.0.set_port(9_999);
    let from = sender.instance.node.0;
    let packet = GossipPacket {
        sender,
        config: ConfigDigest::default(),
        members_hash: 0,
        message: GossipMessage::Gossip,
        updates: Vec::new(),
    };
    let foreign = GossipCodec::new("another cluster").encode(&packet).unwrap();
    simulation.inject(3, from, foreign);
    assert_eq!(simulation.packet_errors, 1);
    let own = GossipCodec::new("simulated").encode(&packet).unwrap();
    let elsewhere = "10.9.9.9:1".parse().unwrap();
    simulation.inject(3, elsewhere, own);
    assert_eq!(
        simulation.daemons[3]
            .membership
            .counters()
            .sender_mismatches,
        1
    );
    assert!(simulation.members_agree());
}

/// Two runs share an address, as after a clock that went back or an address that moved: the run
/// with the lower boot must be told that it was replaced.
#[test]
fn earlier_run_finds_itself_replaced() {
    let local = |port: u16, boot: u64| LocalMember {
        instance: InstanceId {
            node: NodeId(([10, 0, 0, 1], port).into()),
            boot,
        },
        place: PlaceName::new("bangkok").unwrap(),
        zone: ZoneName::new("bangkok-1").unwrap(),
        caller_address: ([10, 0, 0, 1], port).into(),
        capacity: Capacity::CORE,
    };
    let now = Moment::from_millis(1);
    let machine = |local: LocalMember, seeds: Vec<NodeId>| {
        Membership::new(now, local, seeds, MembershipSettings::default(), 1)
    };
    let observer_node = local(1, 5).instance.node;
    let mut observer = machine(local(1, 5), Vec::new());
    let mut later = machine(local(2, 9), vec![observer_node]);
    let mut earlier = machine(local(2, 8), vec![observer_node]);
    for sender in [&mut later, &mut earlier] {
        for packet in sent(sender.on_event(now, MembershipEvent::Wakeup)) {
            let from = packet.sender.node().0;
            let packet = Box::new(packet);
            let answers = sent(observer.on_event(now, MembershipEvent::Packet { from, packet }));
            for packet in answers {
                let from = observer_node.0;
                let packet = Box::new(packet);
                let actions = sender.on_event(now, MembershipEvent::Packet { from, packet });
                let by = local(2, 9).instance;
                let replaced = actions.contains(&MembershipAction::Replaced { by });
                assert_eq!(replaced, sender.local().instance.boot == 8);
            }
        }
    }
    assert_eq!(observer.counters().stale_instances, 1);
}

fn sent(actions: Vec<MembershipAction>) -> Vec<GossipPacket> {
    let packets = actions.into_iter().filter_map(|action| match action {
        MembershipAction::Send { packet, .. } => Some(*packet),
        _ => None,
    });
    packets.collect()
}

/// Packets stay within the size limit even with the longest names and addresses.
#[test]
fn longest_names_fit_into_packets() {
    let long = |text: &str, number: u16| format!("{}{number:04}", text.repeat(60));
    let member = |number: u16| LocalMember {
        instance: InstanceId {
            node: NodeId(([0xfd00, 0, 0, 0, 0, 0, 0, number], 65_000).into()),
            boot: u64::MAX - 1,
        },
        place: PlaceName::new(long("p", number % 7)).unwrap(),
        zone: ZoneName::new(long("z", number)).unwrap(),
        caller_address: ([0xfd00, 0, 0, 0, 0, 0, 0, number], 65_001).into(),
        capacity: Capacity::CORE,
    };
    let codec = GossipCodec::new("simulated");
    let settings = MembershipSettings::default();
    let now = Moment::from_millis(1);
    let mut machine = Membership::new(now, member(0), Vec::new(), settings, 1);
    let place = member(0).place;
    for number in 1..200 {
        for message in [
            GossipMessage::Gossip,
            GossipMessage::SummaryRequest,
            GossipMessage::PageRequest {
                place: place.clone(),
                after: None,
            },
            GossipMessage::Ping(Sequence(u32::MAX)),
        ] {
            let sender = member(number).record();
            let from = sender.node().0;
            let packet = Box::new(GossipPacket {
                sender,
                config: ConfigDigest {
                    revision: u64::MAX,
                    hash: u64::MAX,
                },
                members_hash: u64::MAX,
                message,
                updates: Vec::new(),
            });
            let time = Moment::from_millis(u64::from(number) * 250);
            for packet in sent(machine.on_event(time, MembershipEvent::Packet { from, packet })) {
                codec.encode(&packet).expect("packet fits");
            }
        }
    }
}

/// A member that left does not refute its record, so corrections sent between such members must not
/// repeat without end.
#[test]
fn members_that_have_left_but_still_run_do_not_flood_each_other() {
    const SAMPLE_SECONDS: u64 = 10;
    const BYTES_PER_SECOND_LIMIT: u64 = 4_000;
    let mut simulation = converged(12);
    simulation.event(3, MembershipEvent::Exit);
    simulation.event(3 + PLACES, MembershipEvent::Exit);
    simulation.run(seconds(3));
    let to = vec![simulation.daemons[3 + PLACES].node];
    simulation.event(3, MembershipEvent::Announce { to });
    let before: u64 = simulation.daemons.iter().map(|d| d.sent_bytes).sum();
    simulation.run(seconds(SAMPLE_SECONDS));
    let after: u64 = simulation.daemons.iter().map(|d| d.sent_bytes).sum();
    let rate = (after - before) / SAMPLE_SECONDS / (PLACES * SIZE) as u64;
    assert!(rate < BYTES_PER_SECOND_LIMIT, "{rate} B/s per daemon");
}

/// The machine list holds many more leafs than daemons, and leafs never answer pings.
#[test]
fn leafs_in_the_machine_list_do_not_hold_up_joining() {
    let mut simulation = Simulation::new(11, 3, 2);
    let leaf = |port: u16| Machine {
        address: ([127, 0, 0, 1], port).into(),
        state: MachineState::Live,
    };
    let list = MachineList {
        machines: (1..=240).map(leaf).collect(),
    };
    for index in 0..simulation.daemons.len() {
        simulation.restart(index);
        simulation.event(index, MembershipEvent::MachineList(list.clone()));
    }
    simulation.run_until(seconds(15), "all join", Simulation::members_agree);
}
