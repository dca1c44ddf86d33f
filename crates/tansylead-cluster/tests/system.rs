//! Whole clusters under random faults, one or several at a time. During the faults the simulation
//! checks every applied change against the accepted writes; after them, members and configuration
//! must converge.

mod common;

use common::fuzz::fuzz_config;
use common::{Faults, Simulation, Store, seconds};
use proptest::prelude::*;
use tansylead_cluster::membership::MembershipEvent;

const PLACES: usize = 5;

#[derive(Debug, Clone)]
enum Fault {
    Write,
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Resume(usize),
    Leave(usize),
    Cut(usize, usize),
    HealCuts,
    Network {
        loss: f64,
        duplication: f64,
        delay_millis: u64,
    },
    StoreDown(bool),
    StoreBackup,
    StoreRestore,
}

fn fault() -> impl Strategy<Value = Fault> {
    let index = any::<prop::sample::Index>().prop_map(|index| index.index(1_000));
    prop_oneof![
        6 => Just(Fault::Write),
        2 => index.clone().prop_map(Fault::Kill),
        3 => index.clone().prop_map(Fault::Restart),
        2 => index.clone().prop_map(Fault::Freeze),
        2 => index.clone().prop_map(Fault::Resume),
        1 => index.prop_map(Fault::Leave),
        1 => (0..PLACES, 1..PLACES).prop_map(|(a, b)| Fault::Cut(a, (a + b) % PLACES)),
        1 => Just(Fault::HealCuts),
        1 => (0.0..0.3, 0.0..0.3, 0_u64..500).prop_map(|(loss, duplication, delay_millis)| {
            Fault::Network { loss, duplication, delay_millis }
        }),
        2 => any::<bool>().prop_map(Fault::StoreDown),
        1 => Just(Fault::StoreBackup),
        1 => Just(Fault::StoreRestore),
    ]
}

fn inject(simulation: &mut Simulation, fault: &Fault, tag: u64, backup: &mut Store) {
    let count = simulation.daemons.len();
    match *fault {
        Fault::Write if simulation.store.down => {}
        Fault::Write => simulation.write(tag),
        Fault::Kill(index) => simulation.kill(index % count),
        Fault::Restart(index) => simulation.restart(index % count),
        Fault::Freeze(index) => simulation.freeze(index % count),
        Fault::Resume(index) => simulation.resume(index % count),
        Fault::Leave(index) => {
            let index = index % count;
            if simulation.daemons[index].running && !simulation.daemons[index].frozen {
                simulation.event(index, MembershipEvent::Leave);
            }
        }
        Fault::Cut(left, right) => simulation.cut(left, right),
        Fault::HealCuts => simulation.faults.cuts.clear(),
        Fault::Network {
            loss,
            duplication,
            delay_millis,
        } => {
            simulation.faults.loss = loss;
            simulation.faults.duplication = duplication;
            simulation.faults.extra_delay_micros = delay_millis * 1_000;
        }
        Fault::StoreDown(down) => simulation.store.down = down,
        Fault::StoreBackup => *backup = simulation.store.clone(),
        Fault::StoreRestore => {
            let down = simulation.store.down;
            simulation.store = Store {
                down,
                ..backup.clone()
            };
        }
    }
}

/// Ends all faults: heals the network, resumes frozen daemons, and restarts killed and leaving
/// ones.
fn stop_faults(simulation: &mut Simulation) {
    simulation.faults = Faults::default();
    simulation.store.down = false;
    for index in 0..simulation.daemons.len() {
        simulation.resume(index);
        let daemon = &simulation.daemons[index];
        if !daemon.running || !daemon.membership.local().state.takes_work() {
            simulation.restart(index);
        }
    }
}

fn run_case(seed: u64, size: usize, faults: &[(Fault, u64)]) {
    let mut simulation = Simulation::new(seed, PLACES, size);
    simulation.write(0);
    simulation.run(seconds(10));
    let mut backup = simulation.store.clone();
    for (tag, (fault, wait_millis)) in faults.iter().enumerate() {
        inject(&mut simulation, fault, tag as u64 + 1, &mut backup);
        simulation.run(std::time::Duration::from_millis(*wait_millis));
    }
    stop_faults(&mut simulation);
    simulation.run_until(seconds(180), "members agree", Simulation::members_agree);
    // All may agree before a write made just before the faults stopped has reached any daemon.
    let revision = simulation.store.revision;
    simulation.run_until(seconds(120), "digests agree", |simulation| {
        simulation.digests_agree() && simulation.all_hold(revision)
    });
    // If the store was never restored from a backup, daemons must hold exactly its objects.
    let restored = |(fault, _): &(Fault, u64)| matches!(fault, Fault::StoreRestore);
    if !faults.iter().any(restored) {
        let stored: Vec<_> = simulation.store.objects.values().collect();
        let held: Vec<_> = simulation.daemons[0].spread.replica().objects().collect();
        assert_eq!(held, stored);
    }
}

/// Faults with the wait after each; a wait of zero makes two faults simultaneous.
fn schedule(length: usize) -> impl Strategy<Value = Vec<(Fault, u64)>> {
    let wait = prop_oneof![Just(0), 100_u64..8_000];
    proptest::collection::vec((fault(), wait), length)
}

proptest! {
    #![proptest_config(fuzz_config(20))]

    #[test]
    fn small_clusters_converge(seed in any::<u64>(), faults in schedule(20)) {
        run_case(seed, 2, &faults);
    }
}

proptest! {
    #![proptest_config(fuzz_config(2))]

    #[test]
    fn clusters_of_a_hundred_converge(seed in any::<u64>(), faults in schedule(30)) {
        run_case(seed, 20, &faults);
    }
}
