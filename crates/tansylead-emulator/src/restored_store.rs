//! The store comes back from a copy some seconds old. The operator and the leafs write again what it lost; what
//! the daemons wrote stays gone unless they do the same.

use crate::deployment::Deployment;
use crate::leaf::LeafControl;
use crate::store::{StoreCopy, StoreServer};
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Each leaf has written its entry again after this time.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// An entry that no leaf writes lapses after this time: three heartbeats.
const LAPSE: Duration = Duration::from_secs(6);
/// The operator has written again after this time.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_500);

/// What the operator has written, shared with whoever writes it again: it may have changed by then.
pub(crate) type SharedOperatorWords = Arc<Mutex<OperatorWords>>;

/// What the operator has written, as it stands.
#[derive(Debug, Clone, Default)]
pub(crate) struct OperatorWords {
    /// The configuration.
    pub(crate) configuration: Option<Value>,
    /// Zones that are being emptied.
    pub(crate) evacuations: BTreeSet<String>,
    /// Orders to roll out, by service.
    pub(crate) orders: BTreeMap<String, Value>,
}

impl OperatorWords {
    /// Writes again what the store has lost, and takes back what it has brought back.
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
    /// Brings the store back from a copy, and has written again what others than the daemons wrote.
    pub fn restore_store(&self, copy: StoreCopy) {
        self.lose_outcomes(&copy);
        self.store.restore(copy);
        let store = self.store.clone();
        let leafs: Vec<LeafControl> = self.leafs.iter().map(|leaf| leaf.control.clone()).collect();
        let living: BTreeSet<&str> = leafs
            .iter()
            .filter(|leaf| leaf.is_registered())
            .map(|leaf| leaf.plan().id.as_str())
            .collect();
        let names = store.names("servers");
        let dead = names
            .into_iter()
            .filter(|name| !living.contains(name.as_str()));
        let dead: Vec<_> = dead
            .filter_map(|name| store.get("servers", &name))
            .collect();
        tokio::spawn(beat(leafs.clone()));
        let words = Arc::clone(&self.operator_words);
        tokio::spawn(async move {
            tokio::time::sleep(OPERATOR_WAIT).await;
            words.lock().write(&store);
            tokio::time::sleep(LAPSE.saturating_sub(OPERATOR_WAIT)).await;
            for object in dead {
                store.delete_unchanged("servers", &object);
            }
        });
    }
}

/// Has all leafs write their entries again, one after the other.
async fn beat(leafs: Vec<LeafControl>) {
    let Some(pause) = HEARTBEAT.checked_div(leafs.len() as u32) else {
        return;
    };
    for leaf in leafs {
        tokio::time::sleep(pause).await;
        leaf.write_again();
    }
}
