//! The platform's store: objects by kind and name, with revisions, history and watches.

mod calls;
mod objects;
mod replica;
mod server;

pub use objects::{ListPage, ObjectStore, StoreCopy, StoreError, StoredObject, WatchEvent};
pub use server::{StoreFault, StoreServer};
