//! Additional faults of a soak: the store is restored from a copy that is some seconds old, leafs restart under their
//! ids, and another writer adds entries to those of the leafs.

use crate::deployment::Deployment;
use crate::store::StoreCopy;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Separates these draws from those of the other faults, so that a seed keeps giving the same faults.
const SEED_OFFSET: u64 = 0x6472_696c_6c73;
/// Share of a soak's faults after which the store is restored from a copy.
const RESTORE_SHARE: f64 = 0.12;
/// Share of restores that are done twice.
const TWICE_SHARE: f64 = 0.3;
/// Share of a soak's faults after which a leaf restarts under its id.
const SAME_ID_RESTART_SHARE: f64 = 0.1;
/// Share of a soak's faults after which another writer adds an entry.
const FOREIGN_SHARE: f64 = 0.1;
/// Maximum age of a copy.
const MAXIMUM_COPY_AGE: Duration = Duration::from_secs(12);

/// Draws and runs the drills of a soak.
#[derive(Debug)]
pub(crate) struct Drills {
    random: StdRng,
    copies: Vec<(Instant, StoreCopy)>,
}

impl Drills {
    /// Prepares the drills of a seed.
    pub(crate) fn draw(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
            copies: Vec::new(),
        }
    }

    /// Runs the drills that are drawn now, if any. Returns a description of each.
    pub(crate) async fn run_due(&mut self, deployment: &mut Deployment) -> io::Result<Vec<String>> {
        let mut done = Vec::new();
        if self.random.random_bool(RESTORE_SHARE) {
            done.extend(self.restore(deployment).await);
        }
        if self.random.random_bool(SAME_ID_RESTART_SHARE) {
            done.push(self.restart_leaf(deployment).await?);
        }
        if self.random.random_bool(FOREIGN_SHARE) {
            done.push(self.add_foreign_entry(deployment));
        }
        self.copies
            .retain(|(taken, _)| taken.elapsed() < MAXIMUM_COPY_AGE);
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
        let downtime = Duration::from_millis(self.random.random_range(50..2_500));
        deployment.leafs[index].leaf = None;
        deployment.leafs[index].proxy.reset();
        tokio::time::sleep(downtime).await;
        deployment.restart_leaf_under_its_id(index).await?;
        Ok(format!("LeafRestartedUnderItsId({index}, {downtime:?})"))
    }

    /// Adds an entry among those of the leafs; its address has no listener.
    fn add_foreign_entry(&mut self, deployment: &Deployment) -> String {
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
