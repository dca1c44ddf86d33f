//! Drills beside the other faults of a soak: the store comes back from a copy some seconds old, leafs start again
//! under the id that they had, and another writer leaves entries among those of the leafs.

use crate::deployment::Deployment;
use crate::store::StoreCopy;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Keeps the numbers drawn here apart from those of the faults: these stay what a seed has always meant.
const SEED_OFFSET: u64 = 0x6472_696c_6c73;
/// Share of the faults of a soak after which the store comes back from a copy.
const RESTORE_SHARE: f64 = 0.12;
/// Share after which it does so twice.
const TWICE_SHARE: f64 = 0.3;
/// Share after which a leaf starts again under its id.
const REBORN_SHARE: f64 = 0.1;
/// Share after which another writer leaves an entry.
const FOREIGN_SHARE: f64 = 0.1;
/// A copy is no older than this.
const OLDEST_COPY: Duration = Duration::from_secs(12);

/// When there are drills, and which.
#[derive(Debug)]
pub(crate) struct Drills {
    random: StdRng,
    copies: Vec<(Instant, StoreCopy)>,
}

impl Drills {
    /// The drills of a seed.
    pub(crate) fn draw(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
            copies: Vec::new(),
        }
    }

    /// Holds drills, or none. Returns what was done.
    pub(crate) async fn proceed(&mut self, deployment: &mut Deployment) -> io::Result<Vec<String>> {
        let mut done = Vec::new();
        if self.random.random_bool(RESTORE_SHARE) {
            done.extend(self.restore(deployment).await);
        }
        if self.random.random_bool(REBORN_SHARE) {
            done.push(self.restart_leaf(deployment).await?);
        }
        if self.random.random_bool(FOREIGN_SHARE) {
            done.push(self.leave_entry(deployment));
        }
        self.copies
            .retain(|(taken, _)| taken.elapsed() < OLDEST_COPY);
        self.copies.push((Instant::now(), deployment.store.copy()));
        Ok(done)
    }

    async fn restore(&mut self, deployment: &Deployment) -> Option<String> {
        let (taken, copy) = self.copies.choose(&mut self.random)?.clone();
        let age = taken.elapsed();
        deployment.oracle.begin_fault(true);
        deployment.restore_store(copy.clone());
        let is_twice = self.random.random_bool(TWICE_SHARE);
        if is_twice {
            let pause = Duration::from_millis(self.random.random_range(100..3_000));
            tokio::time::sleep(pause).await;
            deployment.restore_store(copy);
        }
        deployment.oracle.end_fault(true);
        Some(format!("StoreRestored(age {age:?}, twice {is_twice})"))
    }

    async fn restart_leaf(&mut self, deployment: &mut Deployment) -> io::Result<String> {
        let index = self.random.random_range(0..deployment.leafs.len());
        let time = Duration::from_millis(self.random.random_range(50..2_500));
        deployment.leafs[index].leaf = None;
        deployment.leafs[index].proxy.reset();
        tokio::time::sleep(time).await;
        deployment.restart_leaf_under_its_id(index).await?;
        Ok(format!("LeafReborn({index}, {time:?})"))
    }

    /// An entry beside those of leafs; it names an address where nobody listens.
    fn leave_entry(&mut self, deployment: &Deployment) -> String {
        let entry = foreign_entries()
            .choose(&mut self.random)
            .cloned()
            .unwrap_or(Value::Null);
        let name = format!("x-{}", self.random.random_range(0..4));
        deployment.store.put("servers", &name, entry.clone());
        format!("ForeignEntry({name}, {entry})")
    }
}

fn foreign_entries() -> Vec<Value> {
    vec![
        Value::Null,
        json!("text"),
        json!({"service": "files"}),
        json!({"service": "files", "address": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": 5, "state": "resting", "warmup_left_ms": 0, "seq": 1, "born": 1}),
        json!({"service": "files", "address": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": "5", "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1}),
        json!({"service": "files", "address": 7, "zone": "north", "version": "v1", "slots": 5, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1}),
        json!({"service": "nobody", "address": "127.0.0.1:9", "zone": "nowhere", "version": "v1", "slots": 5, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1}),
    ]
}
