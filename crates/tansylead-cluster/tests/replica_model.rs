//! `ConfigReplica` against a model: whichever lists of a store that is written, backed up and
//! restored arrive, and in whichever order, the replica holds the newest version of each object. A
//! replica that keeps the last value received must fail the same test.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use std::marker::PhantomData;
use tansylead_cluster::spread::ConfigReplica;
use tansylead_types::store::ObjectList;
use tansylead_types::{ChangeId, ObjectKey, ServiceName, StoredObject};

const KEYS: u8 = 3;

#[derive(Debug, Clone, Default)]
struct Store {
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: u64,
}

/// The model: the store, the lists read from it, and what a replica that received them must hold.
#[derive(Debug, Clone, Default)]
struct Model {
    store: Store,
    backup: Store,
    writes: u64,
    lists: Vec<(u64, ObjectList)>,
    held: BTreeMap<ObjectKey, StoredObject>,
    revision: u64,
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8),
    Backup,
    Restore,
    /// Read everything after this revision; the list is delivered at once and kept for `Repeat`.
    Read(u64),
    /// Deliver an earlier list again.
    Repeat(usize),
}

impl Model {
    fn write(&mut self, number: u8) {
        let key = ObjectKey::Service(ServiceName::new(format!("service-{number}")).unwrap());
        self.writes += 1;
        self.store.revision += 1;
        let generation = self.store.objects.get(&key).map_or(0, |o| o.generation) + 1;
        let object = StoredObject {
            key: key.clone(),
            revision: self.store.revision,
            generation,
            change: ChangeId::new(format!("change-{}", self.writes)).unwrap(),
            object: None,
        };
        self.store.objects.insert(key, object);
    }

    fn deliver(&mut self, after: u64, list: &ObjectList) {
        if after > self.revision {
            return;
        }
        let version = |o: &StoredObject| (o.generation, o.revision, o.change.clone());
        for object in &list.objects {
            let held = self.held.get(&object.key);
            if held.is_none_or(|held| version(held) < version(object)) {
                self.held.insert(object.key.clone(), object.clone());
            }
        }
        self.revision = self.revision.max(list.revision);
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let revision = state.store.revision;
        prop_oneof![
            4 => (0..KEYS).prop_map(Step::Write),
            1 => Just(Step::Backup),
            1 => Just(Step::Restore),
            3 => (0..=revision).prop_map(Step::Read),
            3 => (0..state.lists.len().max(1)).prop_map(Step::Repeat),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Write(number) => state.write(*number),
            Step::Backup => state.backup = state.store.clone(),
            Step::Restore => state.store = state.backup.clone(),
            Step::Read(after) => {
                let changed = state.store.objects.values().filter(|o| o.revision > *after);
                let objects = changed.cloned().collect();
                let revision = state.store.revision;
                let list = ObjectList { revision, objects };
                state.deliver(*after, &list);
                state.lists.push((*after, list));
            }
            Step::Repeat(index) => {
                if let Some((after, list)) = state.lists.get(*index).cloned() {
                    state.deliver(after, &list);
                }
            }
        }
        state
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::Read(after) => *after <= state.store.revision,
            Step::Repeat(index) => *index < state.lists.len(),
            _ => true,
        }
    }
}

/// The system under test: the replica, or a broken variant of it.
trait Replica: Default + std::fmt::Debug {
    fn take(&mut self, after: u64, list: ObjectList);
    fn held(&self) -> BTreeMap<ObjectKey, StoredObject>;
    fn revision(&self) -> u64;
    fn check(&self) {}
}

impl Replica for ConfigReplica {
    fn take(&mut self, after: u64, list: ObjectList) {
        let held = self.revision();
        assert_eq!(self.apply(after, list).is_err(), after > held);
    }

    fn held(&self) -> BTreeMap<ObjectKey, StoredObject> {
        self.objects().map(|o| (o.key.clone(), o.clone())).collect()
    }

    fn revision(&self) -> u64 {
        ConfigReplica::revision(self)
    }

    /// A new replica that applies everything ends with the same digest.
    fn check(&self) {
        let mut copy = ConfigReplica::new();
        copy.apply(0, self.delta_after(0)).unwrap();
        assert_eq!(copy.digest(), self.digest());
    }
}

/// Broken variant that keeps the last value received.
#[derive(Debug, Default)]
struct LastSeenReplica {
    objects: BTreeMap<ObjectKey, StoredObject>,
    revision: u64,
}

impl Replica for LastSeenReplica {
    fn take(&mut self, after: u64, list: ObjectList) {
        if after <= self.revision {
            self.revision = list.revision;
            let objects = list.objects.into_iter().map(|o| (o.key.clone(), o));
            self.objects.extend(objects);
        }
    }

    fn held(&self) -> BTreeMap<ObjectKey, StoredObject> {
        self.objects.clone()
    }

    fn revision(&self) -> u64 {
        self.revision
    }
}

#[derive(Debug)]
struct ReplicaTest<R>(PhantomData<R>);

impl<R: Replica> StateMachineTest for ReplicaTest<R> {
    type SystemUnderTest = R;
    type Reference = Model;

    fn init_test(_: &Model) -> R {
        R::default()
    }

    fn apply(mut replica: R, model: &Model, step: Step) -> R {
        let delivered = match step {
            Step::Read(_) => model.lists.last(),
            Step::Repeat(index) => model.lists.get(index),
            _ => None,
        };
        if let Some((after, list)) = delivered.cloned() {
            replica.take(after, list);
        }
        replica
    }

    fn check_invariants(replica: &R, model: &Model) {
        assert_eq!(replica.held(), model.held, "objects held");
        assert_eq!(replica.revision(), model.revision, "revision");
        replica.check();
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn replica_holds_the_newest_of_everything(sequential 1..40 => ReplicaTest<ConfigReplica>);

    #[test]
    #[should_panic(expected = "Test failed")]
    fn replica_that_takes_the_last_seen_fails(sequential 1..40 => ReplicaTest<LastSeenReplica>);
}
