//! The operator's orders to roll out, and what the platform does with leafs as they proceed.

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

/// Kind of the orders in the store.
const KIND: &str = "rollouts";
/// Period at which the platform looks at the state of a roll-out.
const CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Entries of leafs that were stopped stand for some seconds more.
const ENTRY_LAPSE: Duration = Duration::from_secs(3);
/// Leafs of a version that was rolled back drain some seconds later.
const DRAIN_AFTER: Duration = Duration::from_secs(4);
/// Leafs that drain end after this time.
const END_AFTER: Duration = Duration::from_secs(4);

/// The roll-outs under way, and what the platform does for them. All of it ends when this is dropped.
#[derive(Debug, Default)]
pub(crate) struct RollOutTasks {
    watched: HashMap<String, Arc<Watched>>,
    tasks: JoinSet<()>,
}

impl Deployment {
    /// Orders a roll-out and starts the leafs of the target version. An earlier order for the same service
    /// is replaced.
    pub async fn roll_out(&mut self, plan: &RollOutPlan) -> io::Result<RollOutId> {
        let earlier = self.supersede(&plan.service);
        let id = self.oracle.order_roll_out(RollOutOrder {
            service: plan.service.clone(),
            target: plan.target.clone(),
            kind: plan.kind(),
            is_bad: plan.is_bad(),
            duration: plan.duration,
        });
        self.write_order(plan, earlier.as_deref());
        let version = LeafVersion::new(&plan.target, plan.trouble.clone());
        if plan.leafs != TargetLeafs::Never {
            for (zone, work) in self.registry.places(&plan.service) {
                let added = self.add_leaf_of(&plan.service, &zone, work, version.clone());
                added.await?;
            }
        }
        let watched = Arc::new(Watched {
            id,
            service: plan.service.clone(),
            version,
            store: self.store.clone(),
            oracle: self.oracle.clone(),
            registry: self.registry.clone(),
            progress: Mutex::new(Progress::Open),
            lost: Mutex::default(),
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

    /// Takes the order for a service back.
    pub fn take_back(&mut self, service: &str) {
        self.supersede(service);
        self.store.delete(KIND, service);
    }

    /// Whether a service has an order that has not ended.
    pub fn is_rolling_out(&self, service: &str) -> bool {
        let watched = self.roll_outs.watched.get(service);
        watched.is_some_and(|watched| *watched.progress.lock() == Progress::Open)
    }

    /// Services of all leafs.
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

    /// Notes that the store is about to come back from a copy: what it says of roll-outs that have ended may go back
    /// with it.
    pub(crate) fn lose_outcomes(&self, copy: &StoreCopy) {
        let era = self.store.era() + 1;
        for watched in self.roll_outs.watched.values() {
            watched.lose(era, copy);
        }
    }

    /// Writes an order over an earlier one, if there is one. One for the same version is made anew: what is
    /// said of the earlier one could not be told from what is said of it.
    fn write_order(&self, plan: &RollOutPlan, earlier: Option<&str>) {
        if earlier == Some(plan.target.as_str()) {
            self.store.delete(KIND, &plan.service);
        }
        let spec = json!({
            "service": plan.service,
            "target_version": plan.target,
            "duration_s": plan.duration.as_secs_f64(),
        });
        let orders = &mut self.operator_words.lock().orders;
        orders.insert(plan.service.clone(), spec.clone());
        self.store.put(KIND, &plan.service, spec);
    }

    /// Ends the watch over the last roll-out of a service, and gives its target.
    fn supersede(&mut self, service: &str) -> Option<String> {
        let earlier = self.roll_outs.watched.remove(service)?;
        earlier.supersede();
        Some(earlier.version.name.clone())
    }
}

/// How far a roll-out has come, as the platform knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Open,
    Ended(RollOutEnd),
    Superseded,
}

/// A roll-out that the platform watches.
#[derive(Debug)]
struct Watched {
    id: RollOutId,
    service: String,
    version: LeafVersion,
    store: StoreServer,
    oracle: Oracle,
    registry: LeafRegistry,
    progress: Mutex<Progress>,
    /// What a copy that the store came back from says of it, and the era that this began.
    lost: Mutex<Option<(u64, Option<String>)>>,
}

async fn watch(watched: Arc<Watched>) {
    while *watched.progress.lock() != Progress::Superseded {
        watched.look();
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

impl Watched {
    /// Does what follows from what the store says now.
    fn look(&self) {
        let mut progress = self.progress.lock();
        let said = self.said();
        let end = match said.as_deref() {
            Some("completed") => Some(RollOutEnd::Completed),
            Some("rolled_back") => Some(RollOutEnd::RolledBack),
            Some("running") | None => None,
            Some(other) => return self.oracle.turn_roll_out(self.id, other),
        };
        match (*progress, end) {
            (Progress::Open, Some(end)) => {
                *progress = Progress::Ended(end);
                self.oracle.end_roll_out(self.id, end);
                match end {
                    RollOutEnd::Completed => self.stop_old_leafs(),
                    RollOutEnd::RolledBack => self.drain_new_leafs(),
                }
            }
            (Progress::Ended(_), Some(end)) => {
                self.forget_lost();
                self.oracle.end_roll_out(self.id, end);
            }
            (Progress::Ended(_), None) if self.is_lost(said.as_deref()) => {}
            (Progress::Ended(_), None) => {
                let state = said.as_deref().unwrap_or("nothing");
                self.oracle.turn_roll_out(self.id, state);
            }
            (Progress::Open, None) | (Progress::Superseded, _) => {}
        }
    }

    /// Notes that the store is about to come back from a copy, in this era.
    fn lose(&self, era: u64, copy: &StoreCopy) {
        let state = copy
            .get(KIND, &self.service)
            .and_then(|object| self.own_state(&object.status));
        *self.lost.lock() = Some((era, state));
    }

    /// Whether the state is the one that the store itself has gone back to. Any other was written by a daemon.
    fn is_lost(&self, said: Option<&str>) -> bool {
        let lost = self.lost.lock();
        let (era, state) = match lost.as_ref() {
            Some((era, state)) => (*era, state.as_deref()),
            None => return false,
        };
        era == self.store.era() && state == said
    }

    /// The outcome stands again: from now on it must not turn.
    fn forget_lost(&self) {
        let era = self.store.era();
        self.lost.lock().take_if(|(lost, _)| *lost == era);
    }

    /// The state that the store has, if it is one of this order.
    fn said(&self) -> Option<String> {
        let status = self.store.get(KIND, &self.service)?.status;
        self.own_state(&status)
    }

    fn own_state(&self, status: &Value) -> Option<String> {
        let is_own = status["target_version"] == self.version.name.as_str();
        let state = status["state"].as_str().filter(|_| is_own)?;
        Some(state.to_owned())
    }

    /// The order is replaced or taken back. If it had not ended, its leafs go.
    fn supersede(&self) {
        self.look();
        let mut progress = self.progress.lock();
        if *progress == Progress::Open {
            self.drain_new_leafs();
        }
        *progress = Progress::Superseded;
        self.oracle.supersede_roll_out(self.id);
    }

    fn stop_old_leafs(&self) {
        let target = &self.version.name;
        let old = self.registry.retire(&self.service, |name| name != target);
        let cut: Vec<String> = old.iter().flat_map(LeafControl::end).collect();
        self.oracle.cut(self.id, &cut);
        self.registry
            .set_version(&self.service, self.version.clone());
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_LAPSE).await;
            old.iter().for_each(LeafControl::unregister);
        });
    }

    fn drain_new_leafs(&self) {
        let target = &self.version.name;
        let new = self.registry.retire(&self.service, |name| name == target);
        tokio::spawn(async move {
            tokio::time::sleep(DRAIN_AFTER).await;
            new.iter().for_each(LeafControl::drain);
            tokio::time::sleep(END_AFTER).await;
            for leaf in &new {
                leaf.end();
                leaf.unregister();
            }
        });
    }

    /// Ends all leafs of the target version without a word; their entries lapse later.
    fn crash(&self) {
        if *self.progress.lock() != Progress::Open {
            return;
        }
        let target = &self.version.name;
        let new = self.registry.retire(&self.service, |name| name == target);
        new.iter().for_each(|leaf| {
            leaf.end();
        });
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_LAPSE).await;
            new.iter().for_each(LeafControl::unregister);
        });
    }
}
