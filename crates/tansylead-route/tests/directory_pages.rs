//! Replicas of the directory that begin with lists whose pages are of different age.

mod directory_entries;

use directory_entries::{entry, leaf};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use tansylead_route::{
    DirectoryChange, DirectoryDelta, Era, LeafDirectory, LeafEntry, LeafPhase, ListPosition,
    Revision,
};
use tansylead_types::LeafId;

/// Leafs have the numbers below this one, and a page of a list has two of them.
const LEAFS: u8 = 6;
const PAGE_LEAFS: u8 = 2;
const PAGES: usize = 3;
const REPLICAS: usize = 3;

/// The slots of each leaf that has an entry; no two writes have the same number.
type State = BTreeMap<LeafId, u32>;

fn state(directory: &LeafDirectory) -> State {
    let entries = directory.entries();
    entries
        .map(|entry| (entry.leaf.clone(), entry.slots))
        .collect()
}

/// The store in one era: its states by revision, and the changes between them.
#[derive(Debug, Clone)]
struct Store {
    era: u64,
    /// Revision of the first state.
    first: u64,
    states: Vec<State>,
    changes: Vec<DirectoryChange>,
    /// Watches from earlier revisions fail.
    history_start: u64,
    writes: u32,
}

impl Store {
    fn new() -> Self {
        Self {
            era: 0,
            first: 100,
            states: vec![State::new()],
            changes: Vec::new(),
            history_start: 100,
            writes: 0,
        }
    }

    fn revision(&self) -> u64 {
        self.first + self.changes.len() as u64
    }

    fn at(&self, number: u64) -> Revision {
        Revision::new(Era(self.era), number)
    }

    fn state(&self, number: u64) -> &State {
        &self.states[(number - self.first) as usize]
    }

    fn write(&mut self, number: u8, is_gone: bool) {
        self.writes += 1;
        let mut state = self.state(self.revision()).clone();
        let change = if is_gone {
            state.remove(&leaf(number));
            DirectoryChange::Gone(leaf(number))
        } else {
            state.insert(leaf(number), self.writes);
            DirectoryChange::Present(entry(number, self.writes))
        };
        self.states.push(state);
        self.changes.push(change);
    }

    fn restore(&mut self, age: u64) {
        let number = self.revision().saturating_sub(age).max(self.first);
        self.states = vec![self.state(number).clone()];
        self.changes.clear();
        self.first = number;
        self.history_start = number;
        self.era += 1;
    }

    /// A list in pages, each as many revisions old as its lag.
    fn list(&self, lags: &[u64; PAGES]) -> DirectoryDelta {
        let revisions = lags.map(|lag| self.revision().saturating_sub(lag).max(self.first));
        let mut at = ListPosition::from(self.at(revisions[0]));
        let mut entries = Vec::new();
        for (page, revision) in (0..).zip(revisions) {
            let first = page * PAGE_LEAFS;
            if first > 0 {
                at.add_page(leaf(first - 1).as_str(), self.at(revision));
            }
            let state = self.state(revision);
            let listed = (first..first + PAGE_LEAFS).filter_map(|number| {
                let slots = state.get(&leaf(number))?;
                Some(entry(number, *slots))
            });
            entries.extend(listed);
        }
        DirectoryDelta::Everything { at, entries }
    }

    /// The answer to a watch, with at most this many revisions; a list if the history is gone.
    fn watch(&self, after: Option<Revision>, most: u64) -> DirectoryDelta {
        let watched = after.filter(|after| {
            after.era == Era(self.era)
                && (self.history_start..=self.revision()).contains(&after.number)
        });
        let Some(after) = watched else {
            return self.list(&[0; PAGES]);
        };
        let until = self.revision().min(after.number.saturating_add(most));
        let changes = (after.number..until).map(|number| {
            let index = (number - self.first) as usize;
            self.changes[index].clone()
        });
        DirectoryDelta::Changes {
            after,
            at: self.at(until),
            changes: changes.collect(),
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Write {
        number: u8,
        is_gone: bool,
    },
    List {
        replica: usize,
        lags: [u64; PAGES],
    },
    Watch {
        replica: usize,
        most: u64,
    },
    Poll {
        replica: usize,
        peer: usize,
    },
    /// A list, a watch or a poll whose answer arrives later.
    Sent(Box<Step>),
    /// The oldest answer that has not arrived yet arrives.
    Arrive,
    ForgetHistory,
    Restore {
        age: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    let lag = || prop_oneof![Just(0_u64), 0..12_u64];
    let call = prop_oneof![
        (replica.clone(), [lag(), lag(), lag()])
            .prop_map(|(replica, lags)| Step::List { replica, lags }),
        (replica.clone(), 1..8_u64).prop_map(|(replica, most)| Step::Watch { replica, most }),
        (replica.clone(), replica).prop_map(|(replica, peer)| Step::Poll { replica, peer }),
    ];
    prop_oneof![
        8 => (0..LEAFS, any::<bool>()).prop_map(|(number, is_gone)| Step::Write { number, is_gone }),
        8 => call.clone(),
        2 => call.prop_map(|call| Step::Sent(Box::new(call))),
        2 => Just(Step::Arrive),
        1 => Just(Step::ForgetHistory),
        1 => (0..10_u64).prop_map(|age| Step::Restore { age }),
    ]
}

/// A replica, and the earliest revision that each of its entries can be of.
#[derive(Debug, Default)]
struct Replica {
    directory: LeafDirectory,
    seen: BTreeMap<LeafId, Revision>,
}

impl Replica {
    /// Applies a delta. Checks that no entry went back, and that all are as new as the replica says.
    fn apply(&mut self, store: &Store, delta: DirectoryDelta) -> Result<(), TestCaseError> {
        self.directory.apply(delta);
        let held = state(&self.directory);
        let Some(revision) = self.directory.revision() else {
            return Ok(());
        };
        if revision.era != Era(store.era) {
            return Ok(());
        }
        for number in 0..LEAFS {
            let leaf = leaf(number);
            let seen = self.seen.get(&leaf).copied().unwrap_or_default();
            let earliest = seen.max(revision).number.max(store.first);
            let mut later = earliest..=store.revision();
            let known = later.find(|later| store.state(*later).get(&leaf) == held.get(&leaf));
            prop_assert!(known.is_some(), "{leaf} is older than {earliest}: {held:?}");
            self.seen.extend(known.map(|known| (leaf, store.at(known))));
        }
        let position = self.directory.position().and_then(ListPosition::uniform);
        if let Some(revision) = position {
            prop_assert_eq!(&held, store.state(revision.number));
        }
        Ok(())
    }
}

#[derive(Debug)]
struct World {
    store: Store,
    replicas: [Replica; REPLICAS],
    in_flight: Vec<(usize, DirectoryDelta)>,
}

impl World {
    /// The answer to a call now, and the replica that made it.
    fn answer(&self, call: &Step) -> Option<(usize, DirectoryDelta)> {
        match call {
            Step::List { replica, lags } => Some((*replica, self.store.list(lags))),
            Step::Watch { replica, most } => {
                let after = self.replicas[*replica].directory.revision();
                Some((*replica, self.store.watch(after, *most)))
            }
            Step::Poll { replica, peer } => {
                let held = self.replicas[*replica].directory.position();
                let delta = self.replicas[*peer].directory.delta_for(held)?;
                Some((*replica, delta))
            }
            _ => None,
        }
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Write { number, is_gone } => self.store.write(*number, *is_gone),
            Step::Sent(call) => self.in_flight.extend(self.answer(call)),
            Step::Arrive if !self.in_flight.is_empty() => {
                let (replica, delta) = self.in_flight.remove(0);
                self.replicas[replica].apply(&self.store, delta)?;
            }
            Step::Arrive => {}
            Step::ForgetHistory => self.store.history_start = self.store.revision(),
            Step::Restore { age } => self.store.restore(*age),
            call => {
                if let Some((replica, delta)) = self.answer(call) {
                    self.replicas[replica].apply(&self.store, delta)?;
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(52),
        ..ProptestConfig::default()
    })]

    /// Guards against a position that does not hold for every entry: what changed on an old page is never told again.
    #[test]
    fn after_catching_up_the_directory_equals_the_store(
        steps in proptest::collection::vec(step(), 1..80),
        by_peers in any::<bool>(),
    ) {
        let mut world = World {
            store: Store::new(),
            replicas: Default::default(),
            in_flight: Vec::new(),
        };
        for step in &steps {
            world.run(step)?;
        }
        // The first one watches. The others follow it, or watch too.
        world.run(&Step::Watch { replica: 0, most: u64::MAX })?;
        for replica in 1..REPLICAS {
            if by_peers {
                world.run(&Step::Poll { replica, peer: 0 })?;
            } else {
                world.run(&Step::Watch { replica, most: u64::MAX })?;
            }
        }
        for replica in &world.replicas {
            let newest = world.store.state(world.store.revision());
            prop_assert_eq!(&state(&replica.directory), newest);
        }
    }
}

fn at(number: u64) -> Revision {
    Revision::first_era(number)
}

fn leaving(number: u8) -> LeafEntry {
    LeafEntry {
        phase: LeafPhase::Draining,
        ..entry(number, 1)
    }
}

/// A list of two pages with two leafs each.
fn two_pages(first: u64, second: u64, entries: &[LeafEntry]) -> DirectoryDelta {
    let mut position = ListPosition::from(at(first));
    position.add_page(leaf(1).as_str(), at(second));
    DirectoryDelta::Everything {
        at: position,
        entries: entries.to_vec(),
    }
}

/// Guards against a leaf that leaves unseen, since its page was older than the first one.
#[test]
fn a_list_is_only_as_new_as_its_oldest_page() {
    let mut directory = LeafDirectory::default();
    directory.apply(two_pages(75, 74, &[entry(0, 1), entry(2, 1)]));
    assert_eq!(directory.revision(), Some(at(74)));
    let watched = DirectoryDelta::Changes {
        after: at(74),
        at: at(75),
        changes: vec![DirectoryChange::Present(leaving(2))],
    };
    let changes = directory.apply(watched);
    assert_eq!(changes, [DirectoryChange::Present(leaving(2))]);
    assert_eq!(directory.position(), Some(&at(75).into()));
}

/// Guards against an entry that goes back to an older revision of itself while the others catch up.
#[test]
fn what_a_newer_page_has_is_not_undone_by_earlier_changes() {
    let mut directory = LeafDirectory::default();
    // Leaf 1 came at 60 and was gone at 90.
    directory.apply(two_pages(100, 50, &[entry(0, 9), entry(2, 1)]));
    let partial = DirectoryDelta::Changes {
        after: at(50),
        at: at(70),
        changes: vec![
            DirectoryChange::Present(entry(1, 1)),
            DirectoryChange::Present(entry(0, 3)),
            DirectoryChange::Present(leaving(2)),
        ],
    };
    let changes = directory.apply(partial);
    assert_eq!(changes, [DirectoryChange::Present(leaving(2))]);
    assert_eq!(directory.revision(), Some(at(70)));
    assert_eq!(directory.entries().count(), 2);
}

/// Guards against a peer that lacks what came and went while this daemon read a list.
#[test]
fn a_peer_between_two_lists_gets_all_entries() {
    let mut reading = LeafDirectory::default();
    reading.apply(two_pages(40, 40, &[entry(0, 1)]));
    reading.apply(two_pages(100, 100, &[entry(0, 1)]));
    let mut peer = LeafDirectory::default();
    // Leaf 1 was there between 45 and 70.
    peer.apply(two_pages(50, 50, &[entry(0, 1), entry(1, 1)]));
    peer.apply(reading.delta_for(peer.position()).expect("news"));
    assert_eq!(state(&peer), state(&reading));
}

/// Guards against whole directories for every daemon of a fleet that starts together.
#[test]
fn daemons_with_uneven_lists_follow_a_watching_one_by_its_changes() {
    let list = two_pages(75, 74, &[entry(0, 1), entry(2, 1)]);
    let mut watching = LeafDirectory::default();
    let mut other = LeafDirectory::default();
    watching.apply(list.clone());
    other.apply(list);
    watching.apply(DirectoryDelta::Changes {
        after: at(74),
        at: at(80),
        changes: vec![
            DirectoryChange::Present(leaving(2)),
            DirectoryChange::Gone(leaf(0)),
        ],
    });
    let delta = watching.delta_for(other.position()).expect("news");
    assert!(matches!(delta, DirectoryDelta::Changes { .. }));
    other.apply(delta);
    assert_eq!(state(&other), state(&watching));
    assert_eq!(other.position(), watching.position());
}
