//! Spread of configuration under simulated faults. The simulation checks every applied change: only
//! accepted writes are applied, and no generation or revision decreases.

mod common;

use common::{Faults, Simulation, Store, seconds, write_of};
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_cluster::membership::{Capacity, ConfigDigest, LocalMember, Sequence};
use tansylead_cluster::spread::*;
use tansylead_types::store::ObjectList;
use tansylead_types::{
    InstanceId, Moment, NodeId, ObjectKey, PlaceName, ServiceName, StepError, ZoneName,
};

const PLACES: usize = 5;
const SIZE: usize = 9;

/// Daemons that have joined and hold the first table.
fn ready(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, PLACES, SIZE);
    simulation.write(0);
    simulation.run_until(seconds(60), "all ready", |simulation| {
        simulation.members_agree() && simulation.all_hold(1)
    });
    simulation
}

/// Announcements are needed for this: the digests on membership packets alone spread a change more
/// slowly.
#[test]
fn change_reaches_every_daemon_within_a_second() {
    let mut simulation = Simulation::new(1, PLACES, 24);
    simulation.write(0);
    simulation.run_until(seconds(60), "all ready", |simulation| {
        simulation.members_agree() && simulation.all_hold(1)
    });
    for tag in 1..=5 {
        simulation.write(tag);
        let revision = simulation.store.revision;
        let time = simulation.run_until(seconds(1), "in force", |s| s.all_hold(revision));
        println!("change {tag} in force everywhere after {time:?}");
    }
}

#[test]
fn only_a_few_daemons_read_the_store() {
    let simulation = ready(2);
    let readers = simulation
        .running()
        .filter(|d| d.spread.is_reader())
        .count();
    assert_eq!(
        readers,
        PLACES * SpreadSettings::default().readers_per_place
    );
}

#[test]
fn restarted_daemon_gets_everything_from_peers_while_the_store_is_down() {
    let mut simulation = ready(3);
    simulation.store.down = true;
    simulation.run(seconds(30));
    for index in 0..simulation.daemons.len() {
        simulation.restart(index);
        simulation.run_until(seconds(30), "ready again", |s| s.all_hold(1));
    }
}

#[test]
fn daemon_with_neither_store_nor_peers_is_not_ready_and_says_why() {
    let store = Store {
        down: true,
        ..Store::default()
    };
    let mut simulation = Simulation::with_store(4, 1, 2, store);
    simulation.run(seconds(30));
    let Readiness::NotReady(reason) = simulation.daemons[0].spread.readiness() else {
        panic!("ready without any configuration");
    };
    assert_eq!(
        reason.to_string(),
        "no configuration: store: failing: read store (store): connection refused; \
         peers: none of 1 holds a configuration"
    );
    simulation.store.down = false;
    simulation.run_until(seconds(60), "ready", Simulation::digests_agree);
}

#[test]
fn store_restored_to_an_older_state_never_lowers_anything() {
    let mut simulation = ready(5);
    let backup = simulation.store.clone();
    for tag in 1..=4 {
        simulation.write(tag);
    }
    simulation.run_until(seconds(10), "written", |s| s.all_hold(5));
    simulation.store = backup;
    simulation.restart(0);
    simulation.run(seconds(30));
    assert!(simulation.all_hold(5));
    assert!(simulation.running().any(|daemon| {
        *daemon.spread.store_state() == StoreState::Behind { store_revision: 1 }
    }));
    // New writes first reuse generations that daemons hold, and then exceed them.
    for tag in 10..=20 {
        simulation.write(tag);
        simulation.run(seconds(1));
    }
    simulation.run_until(seconds(30), "overtaken", |simulation| {
        let newest = &simulation.store.objects[&ObjectKey::Table];
        let holds = |held: &tansylead_types::StoredObject| held == newest;
        simulation
            .running()
            .all(|daemon| daemon.spread.replica().get(&newest.key).is_some_and(holds))
    });
    simulation.run_until(seconds(60), "digests agree", Simulation::digests_agree);
}

fn service(name: &str) -> ObjectKey {
    ObjectKey::Service(ServiceName::new(name).unwrap())
}

/// A restored store reuses revisions that daemons already hold, so new writes at these revisions do
/// not appear in a list of changes.
#[test]
fn new_object_of_a_restored_store_is_found_below_the_revision_held() {
    let mut simulation = ready(9);
    let backup = simulation.store.clone();
    for tag in 1..=9 {
        simulation.write(tag);
    }
    simulation.run_until(seconds(10), "written", |s| s.all_hold(10));
    simulation.store = backup;
    let key = service("court-notices");
    simulation.write_key(key.clone(), 20);
    simulation.run_until(seconds(60), "new object", |simulation| {
        simulation
            .running()
            .all(|d| d.spread.replica().get(&key).is_some())
    });
    assert!(simulation.all_hold(10));
}

#[test]
fn peers_with_other_objects_at_the_same_revision_exchange_them() {
    let now = Moment::from_millis(1);
    let node = |number: u8| NodeId(([10, 0, 0, number], 7_000).into());
    let machine = |number: u8| {
        let local = LocalMember {
            instance: InstanceId {
                node: node(number),
                boot: 1,
            },
            place: PlaceName::new("bangkok").unwrap(),
            zone: ZoneName::new("bangkok-1").unwrap(),
            caller_address: node(number).0,
            capacity: Capacity::CORE,
        };
        SpreadMachine::new(now, local, true, SpreadSettings::default(), 1)
    };
    let mut machines = [machine(1), machine(2)];
    let lists = [("portal", 1), ("desk", 2)];
    for (machine, (name, tag)) in machines.iter_mut().zip(lists) {
        let objects = vec![write_of(service(name), 1, 4, tag)];
        let result = Ok(ObjectList {
            revision: 4,
            objects,
        });
        let peer = node(9);
        machine.on_event(
            now,
            SpreadEvent::PullFinished {
                peer,
                after: 0,
                result,
            },
        );
    }
    for (own, other) in [(0, 1), (1, 0)] {
        let digest = machines[other].replica().digest();
        let peer = node(other as u8 + 1);
        let actions = machines[own].on_event(now, SpreadEvent::PeerConfig { peer, digest });
        assert!(actions.contains(&SpreadAction::Pull { peer, after: 0 }));
        let result = Ok(machines[other].serve(0).unwrap());
        machines[own].on_event(
            now,
            SpreadEvent::PullFinished {
                peer,
                after: 0,
                result,
            },
        );
    }
    assert_eq!(
        machines[0].replica().digest(),
        machines[1].replica().digest()
    );
    assert_eq!(machines[0].replica().objects().count(), 2);
}

#[test]
fn parted_region_without_store_catches_up_after_the_cut() {
    let mut simulation = ready(6);
    for place in 1..PLACES {
        simulation.cut(0, place);
    }
    simulation.run(seconds(30));
    simulation.store.down = true;
    simulation.run(seconds(60));
    simulation.store.down = false;
    simulation.write(1);
    simulation.faults = Faults::default();
    simulation.run_until(seconds(30), "caught up", |s| s.all_hold(2));
}

#[test]
fn in_force_check_names_the_missing_daemon() {
    let mut simulation = ready(7);
    simulation.freeze(8);
    simulation.write(1);
    simulation.run(seconds(2));
    let members = simulation.daemons[0].membership.members();
    let running: Vec<_> = members.filter(|m| m.state.is_running()).cloned().collect();
    let sequence = Sequence(1);
    let settings = InForceSettings {
        time_limit: seconds(3),
        ..InForceSettings::default()
    };
    let mut check = InForceCheck::new(simulation.now, 2, running, settings, sequence);
    let mut event = InForceEvent::Wakeup;
    loop {
        for action in check.on_event(simulation.now, event) {
            if let InForceAction::Query { to, sequence } = action {
                simulation.query(0, to, sequence);
            }
        }
        let Some(next) = check.next_wakeup() else {
            break;
        };
        simulation.run(next.since(simulation.now).max(Duration::from_millis(1)));
        event = InForceEvent::Wakeup;
        for (sequence, peer, digest) in std::mem::take(&mut simulation.daemons[0].replies) {
            check.on_event(
                simulation.now,
                InForceEvent::Reply {
                    sequence,
                    peer,
                    digest,
                },
            );
        }
    }
    let report = check.report();
    assert_eq!(report.total, PLACES * SIZE);
    assert_eq!(report.confirmed, PLACES * SIZE - 1);
    assert_eq!(report.missing, vec![simulation.daemons[8].node]);
}

/// The oracle must detect a write that was never accepted.
#[test]
#[should_panic(expected = "never accepted")]
fn oracle_notices_an_object_nobody_wrote() {
    let mut simulation = ready(8);
    let forged = write_of(ObjectKey::Table, 7, 7, 7);
    simulation.store.revision = 7;
    simulation.store.objects.insert(forged.key.clone(), forged);
    simulation.run(seconds(10));
}

/// Address of a node in one of several networks.
fn node_of(network: u8, number: u8) -> NodeId {
    NodeId(([10, 0, network, number], 7_000).into())
}

/// A daemon that has joined and holds no configuration.
fn empty_machine(now: Moment, number: u8) -> SpreadMachine {
    let local = LocalMember {
        instance: InstanceId {
            node: node_of(0, number),
            boot: 1,
        },
        place: PlaceName::new("bangkok").unwrap(),
        zone: ZoneName::new("bangkok-1").unwrap(),
        caller_address: node_of(0, number).0,
        capacity: Capacity::CORE,
    };
    let settings = SpreadSettings::default();
    SpreadMachine::new(now, local, true, settings, u64::from(number))
}

/// Reports to a machine that a peer holds revision 4; returns the peer that it then pulls from.
fn report_holder(machine: &mut SpreadMachine, now: Moment, peer: NodeId) -> Option<NodeId> {
    let digest = ConfigDigest {
        revision: 4,
        hash: 4,
    };
    pulled_from(&machine.on_event(now, SpreadEvent::PeerConfig { peer, digest }))
}

fn pulled_from(actions: &[SpreadAction]) -> Option<NodeId> {
    actions.iter().find_map(|action| match action {
        SpreadAction::Pull { peer, .. } => Some(*peer),
        _ => None,
    })
}

/// Daemons that start together learn of the same holders; they must not all pull from the same one.
#[test]
fn daemons_that_start_together_pull_from_many_holders() {
    const DAEMONS: u8 = 40;
    const HOLDERS: u8 = 8;
    let now = Moment::from_millis(1);
    let mut asked = BTreeSet::new();
    for number in 1..=DAEMONS {
        let mut machine = empty_machine(now, number);
        for holder in 1..=HOLDERS {
            report_holder(&mut machine, now, node_of(1, holder));
        }
        // The first pull goes to the first holder reported; after it fails there is a choice.
        let failed = SpreadEvent::PullFinished {
            peer: node_of(1, 1),
            after: 0,
            result: Err(StepError::new("pull", "peer", "no answer")),
        };
        let second = pulled_from(&machine.on_event(now, failed));
        asked.insert(second.expect("no other holder asked"));
    }
    assert!(
        asked.len() > usize::from(HOLDERS) / 2,
        "asked only {asked:?}"
    );
}

/// Giving up a transfer of megabytes too early only adds load to the network that slows it.
#[test]
fn pull_of_everything_is_given_more_time_than_a_pull_of_changes() {
    let settings = SpreadSettings::default();
    let start = Moment::from_millis(1);
    let mut machine = empty_machine(start, 1);
    let first = report_holder(&mut machine, start, node_of(1, 1));
    assert_eq!(first, Some(node_of(1, 1)));
    let later = start + settings.pull_timeout + Duration::from_millis(1);
    assert_eq!(report_holder(&mut machine, later, node_of(1, 2)), None);
    let late = start + settings.full_pull_timeout;
    let wakeup = machine.on_event(late, SpreadEvent::Wakeup);
    assert_eq!(pulled_from(&wakeup), Some(node_of(1, 2)));
    assert!(settings.pull_limit(4) < settings.pull_limit(0));
}
