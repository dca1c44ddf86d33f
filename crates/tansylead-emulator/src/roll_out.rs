//! The operator's orders to roll out, and how the platform starts and stops leafs as roll-outs progress.

use crate::deployment::Deployment;
use crate::leaf::LeafControl;
use crate::leaf_registry::LeafRegistry;
use crate::oracle::Oracle;
use crate::roll_out_plan::{RollOutPlan, TargetLeafs};
use crate::roll_out_rules::RollOutId;
use crate::seen_roll_out::{RollOutEnd, RollOutOrder};
use crate::store::{StoreCopy, StoreServer};
use crate::version::LeafVersion;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Kind of the orders' objects in the store.
const KIND: &str = "rollouts";
/// Period at which the platform polls the state of a roll-out.
const CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Time after which the entries of stopped leafs expire.
const ENTRY_EXPIRY: Duration = Duration::from_secs(3);
/// Delay before leafs of a version start to drain that was rolled back or whose order was replaced or withdrawn.
const DRAIN_DELAY: Duration = Duration::from_secs(4);
/// Time for which leafs drain before they stop.
const DRAIN_DURATION: Duration = Duration::from_secs(4);

/// The current roll-outs and the platform's tasks for them, which are aborted when this is dropped.
#[derive(Debug, Default)]
pub(crate) struct RollOutTasks {
    watched: HashMap<String, Arc<WatchedRollOut>>,
    tasks: JoinSet<()>,
}

impl Deployment {
    /// Orders a roll-out and starts the leafs of the target version. Replaces an earlier order for the same
    /// service.
    pub async fn roll_out(&mut self, plan: &RollOutPlan) -> io::Result<RollOutId> {
        let earlier = self.supersede(&plan.service);
        let id = self.oracle.record_order(RollOutOrder {
            service: plan.service.clone(),
            target: plan.target.clone(),
            kind: plan.kind(),
            is_bad: plan.is_bad(),
            duration: plan.duration,
        });
        self.write_order(plan, earlier.as_deref());
        let version = LeafVersion::new(&plan.target, plan.defect.clone());
        if plan.leafs != TargetLeafs::Never {
            for (zone, work) in self.registry.zones_and_work(&plan.service) {
                let added = self.add_leaf_of(&plan.service, &zone, work, version.clone());
                added.await?;
            }
        }
        let watched = Arc::new(WatchedRollOut {
            id,
            service: plan.service.clone(),
            version,
            store: self.store.clone(),
            oracle: self.oracle.clone(),
            registry: self.registry.clone(),
            progress: Mutex::new(Progress::Open),
            restored: Mutex::default(),
        });
        if let TargetLeafs::Crash(after) = plan.leafs {
            let crashing = Arc::clone(&watched);
            self.roll_outs.tasks.spawn(async move {
                tokio::time::sleep(after).await;
                crashing.crash();
            });
        }
        self.roll_outs.tasks.spawn(watch(Arc::clone(&watched)));
        let running = &mut self.roll_outs.watched;
        running.insert(plan.service.clone(), watched);
        Ok(id)
    }

    /// Withdraws the order for a service.
    pub fn withdraw_roll_out(&mut self, service: &str) {
        self.supersede(service);
        self.store.delete(KIND, service);
    }

    /// Whether a service has an order that has not ended.
    pub fn is_rolling_out(&self, service: &str) -> bool {
        let watched = self.roll_outs.watched.get(service);
        watched.is_some_and(|watched| *watched.progress.lock() == Progress::Open)
    }

    /// Names of the services of all leafs.
    pub fn services(&self) -> Vec<String> {
        let services = self.leafs.iter().map(|leaf| leaf.plan.service.clone());
        let services: BTreeSet<String> = services.collect();
        services.into_iter().collect()
    }

    /// Whether a service runs a version already.
    pub fn runs_version(&self, service: &str, version: &str) -> bool {
        self.registry.version(service).name == version
    }

    /// How the last roll-out of a service ended.
    pub fn roll_out_end(&self, service: &str) -> Option<RollOutEnd> {
        match *self.roll_outs.watched.get(service)?.progress.lock() {
            Progress::Ended(end) => Some(end),
            Progress::Open | Progress::Superseded => None,
        }
    }

    /// Records that the store is about to be restored from a copy, which may revert the outcomes of roll-outs that
    /// have ended.
    pub(crate) fn record_restore(&self, copy: &StoreCopy) {
        let era = self.store.era() + 1;
        for watched in self.roll_outs.watched.values() {
            watched.record_restore(era, copy);
        }
    }

    /// Writes an order and replaces an earlier one, if any. An order for the same version is created anew, because the
    /// status of the earlier one could not be told apart from its own.
    fn write_order(&self, plan: &RollOutPlan, earlier: Option<&str>) {
        if earlier == Some(plan.target.as_str()) {
            self.store.delete(KIND, &plan.service);
        }
        let spec = json!({
            "service": plan.service,
            "target_version": plan.target,
            "duration_s": plan.duration.as_secs_f64(),
        });
        let orders = &mut self.operator_state.lock().orders;
        orders.insert(plan.service.clone(), spec.clone());
        self.store.put(KIND, &plan.service, spec);
    }

    /// Stops watching the last roll-out of a service and returns its target.
    fn supersede(&mut self, service: &str) -> Option<String> {
        let earlier = self.roll_outs.watched.remove(service)?;
        earlier.supersede();
        Some(earlier.version.name.clone())
    }
}

/// Progress of a roll-out, as the platform knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Open,
    Ended(RollOutEnd),
    Superseded,
}

/// A roll-out that the platform watches.
#[derive(Debug)]
struct WatchedRollOut {
    id: RollOutId,
    service: String,
    version: LeafVersion,
    store: StoreServer,
    oracle: Oracle,
    registry: LeafRegistry,
    progress: Mutex<Progress>,
    /// State of the roll-out in the copy that the store was restored from, and the era that the restore began.
    restored: Mutex<Option<(u64, Option<String>)>>,
}

async fn watch(watched: Arc<WatchedRollOut>) {
    while *watched.progress.lock() != Progress::Superseded {
        watched.update();
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

impl WatchedRollOut {
    /// Acts on the state that the store has now.
    fn update(&self) {
        let mut progress = self.progress.lock();
        let stored = self.stored_state();
        let end = match stored.as_deref() {
            Some("completed") => Some(RollOutEnd::Completed),
            Some("rolled_back") => Some(RollOutEnd::RolledBack),
            Some("running") | None => None,
            Some(other) => return self.oracle.record_changed_outcome(self.id, other),
        };
        match (*progress, end) {
            (Progress::Open, Some(end)) => {
                *progress = Progress::Ended(end);
                self.oracle.record_outcome(self.id, end);
                match end {
                    RollOutEnd::Completed => self.stop_old_leafs(),
                    RollOutEnd::RolledBack => self.drain_new_leafs(),
                }
            }
            (Progress::Ended(_), Some(end)) => {
                self.clear_restored();
                self.oracle.record_outcome(self.id, end);
            }
            (Progress::Ended(_), None) if self.is_restored(stored.as_deref()) => {}
            (Progress::Ended(_), None) => {
                let state = stored.as_deref().unwrap_or("nothing");
                self.oracle.record_changed_outcome(self.id, state);
            }
            (Progress::Open, None) | (Progress::Superseded, _) => {}
        }
    }

    /// Records that the store is about to be restored from a copy, which begins this era.
    fn record_restore(&self, era: u64, copy: &StoreCopy) {
        let state = copy
            .get(KIND, &self.service)
            .and_then(|object| self.own_state(&object.status));
        *self.restored.lock() = Some((era, state));
    }

    /// Whether the state is the one that the restore has brought back. Any other was written by a daemon.
    fn is_restored(&self, stored: Option<&str>) -> bool {
        let restored = self.restored.lock();
        let (era, state) = match restored.as_ref() {
            Some((era, state)) => (*era, state.as_deref()),
            None => return false,
        };
        era == self.store.era() && state == stored
    }

    /// The store has the outcome again: from now on it must not change.
    fn clear_restored(&self) {
        let era = self.store.era();
        self.restored
            .lock()
            .take_if(|(restored, _)| *restored == era);
    }

    /// The state in the store, if it belongs to this order.
    fn stored_state(&self) -> Option<String> {
        let status = self.store.get(KIND, &self.service)?.status;
        self.own_state(&status)
    }

    fn own_state(&self, status: &Value) -> Option<String> {
        let is_own = status["target_version"] == self.version.name.as_str();
        let state = status["state"].as_str().filter(|_| is_own)?;
        Some(state.to_owned())
    }

    /// Handles that the order is replaced or withdrawn. If it has not ended, its leafs are drained.
    fn supersede(&self) {
        self.update();
        let mut progress = self.progress.lock();
        if *progress == Progress::Open {
            self.drain_new_leafs();
        }
        *progress = Progress::Superseded;
        self.oracle.record_superseded(self.id);
    }

    fn stop_old_leafs(&self) {
        let target = &self.version.name;
        let old = self.registry.retire(&self.service, |name| name != target);
        let interrupted: Vec<String> = old.iter().flat_map(LeafControl::stop).collect();
        self.oracle.record_interrupted(self.id, &interrupted);
        self.registry
            .set_version(&self.service, self.version.clone());
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_EXPIRY).await;
            old.iter().for_each(LeafControl::unregister);
        });
    }

    fn drain_new_leafs(&self) {
        let target = &self.version.name;
        let new = self.registry.retire(&self.service, |name| name == target);
        tokio::spawn(async move {
            tokio::time::sleep(DRAIN_DELAY).await;
            new.iter().for_each(LeafControl::drain);
            tokio::time::sleep(DRAIN_DURATION).await;
            for leaf in &new {
                leaf.stop();
                leaf.unregister();
            }
        });
    }

    /// Stops all leafs of the target version unannounced; their entries expire later.
    fn crash(&self) {
        if *self.progress.lock() != Progress::Open {
            return;
        }
        let target = &self.version.name;
        let new = self.registry.retire(&self.service, |name| name == target);
        new.iter().for_each(|leaf| {
            leaf.stop();
        });
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_EXPIRY).await;
            new.iter().for_each(LeafControl::unregister);
        });
    }
}
