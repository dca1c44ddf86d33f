//! What the operator does with single objects.

use super::StoreServer;
use crate::store::StoredObject;
use serde_json::Value;

impl StoreServer {
    /// An object as it is; the store's troubles are none of the operator's.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoredObject> {
        self.shared.objects.lock().get(kind, name).ok()
    }

    /// Replaces what an object states and leaves what is observed of it. False if there is no such object.
    pub fn replace(&self, kind: &str, name: &str, spec: Value) -> bool {
        let replaced = self.shared.objects.lock().replace(kind, name, spec, None);
        self.notify();
        replaced.is_ok()
    }
}
