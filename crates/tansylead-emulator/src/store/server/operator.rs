//! What the operator sees of single objects.

use super::StoreServer;
use crate::store::StoredObject;

impl StoreServer {
    /// An object as it is; the store's troubles are none of the operator's.
    pub fn observed(&self, kind: &str, name: &str) -> Option<StoredObject> {
        self.shared.objects.lock().get(kind, name).ok()
    }
}
