//! Restores the store from a copy that is some seconds old. The operator and the leafs repeat the writes that it
//! lost; writes of the daemons stay lost unless the daemons repeat them.

use crate::deployment::Deployment;
use crate::leaf::LeafControl;
use crate::store::{StoreCopy, StoreServer};
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Within this time each leaf rewrites its entry.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// An entry that no leaf rewrites expires after this time: three heartbeats.
const ENTRY_EXPIRY: Duration = Duration::from_secs(6);
/// Delay before the operator repeats its writes.
const OPERATOR_DELAY: Duration = Duration::from_millis(1_500);

/// The operator's writes, shared with the task that repeats them: they may have changed by then.
pub(crate) type SharedOperatorState = Arc<Mutex<OperatorState>>;

/// Current state of everything that the operator has written.
#[derive(Debug, Clone, Default)]
pub(crate) struct OperatorState {
    /// The configuration.
    pub(crate) configuration: Option<Value>,
    /// Evacuated zones.
    pub(crate) evacuations: BTreeSet<String>,
    /// Orders to roll out, by service.
    pub(crate) orders: BTreeMap<String, Value>,
}

impl OperatorState {
    /// Repeats the writes that the store has lost, and withdraws again the evacuations that it has
    /// brought back.
    fn write(&self, store: &StoreServer) {
        if let Some(configuration) = self.configuration.clone() {
            store.put("config", "main", configuration);
        }
        for zone in &self.evacuations {
            store.put("evacuations", zone, json!({}));
        }
        for zone in store.names("evacuations") {
            if !self.evacuations.contains(&zone) {
                store.delete("evacuations", &zone);
            }
        }
        for (service, order) in &self.orders {
            store.put("rollouts", service, order.clone());
        }
    }
}

impl Deployment {
    /// Restores the store from a copy, and has the operator and the leafs repeat their writes.
    pub fn restore_store(&self, copy: StoreCopy) {
        self.record_restore(&copy);
        self.store.restore(copy);
        let store = self.store.clone();
        let leafs: Vec<LeafControl> = self.leafs.iter().map(|leaf| leaf.control.clone()).collect();
        let registered: BTreeSet<&str> = leafs
            .iter()
            .filter(|leaf| leaf.is_registered())
            .map(|leaf| leaf.plan().id.as_str())
            .collect();
        let names = store.names("servers");
        for name in &names {
            self.oracle.record_restored_entry(name);
        }
        let stale = names
            .into_iter()
            .filter(|name| !registered.contains(name.as_str()));
        let stale: Vec<_> = stale
            .filter_map(|name| store.get("servers", &name))
            .collect();
        tokio::spawn(send_heartbeats(leafs.clone()));
        let state = Arc::clone(&self.operator_state);
        tokio::spawn(async move {
            tokio::time::sleep(OPERATOR_DELAY).await;
            state.lock().write(&store);
            tokio::time::sleep(ENTRY_EXPIRY.saturating_sub(OPERATOR_DELAY)).await;
            for object in stale {
                store.delete_unchanged("servers", &object);
            }
        });
    }
}

/// Has all leafs rewrite their entries, one after the other.
async fn send_heartbeats(leafs: Vec<LeafControl>) {
    let Some(pause) = HEARTBEAT.checked_div(leafs.len() as u32) else {
        return;
    };
    for leaf in leafs {
        tokio::time::sleep(pause).await;
        leaf.send_heartbeat();
    }
}
